// The commands of a list service on their way to the disk: a thread of its own writes them, one sync for all
// that came together (group commit).
#ifndef ELDERHEAD_REGISTRY_JOURNAL_HPP_
#define ELDERHEAD_REGISTRY_JOURNAL_HPP_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "store/store.hpp"

namespace elderhead::registry {

class Journal {
 public:
  struct Batch {
    std::optional<std::string> snapshot;  // of all that was written before; the records follow it
    std::vector<std::string> records;
  };
  struct Written {
    store::Status status;  // once bad nothing more is written until Open() again
    std::vector<store::Sequence> sequences;
    double took_ms = 0;  // of it
    std::uint64_t log_bytes = 0;
  };

  // `files` outlives it. `done` is called in the thread.
  Journal(store::FileSystem& files, std::string folder, store::StoreOptions options,
          std::function<void(Written)> done);
  ~Journal();

  // Recovers, in the caller's thread, while no batch is on. Also after a failure: what is found then may hold
  // records that were not answered for.
  store::Status Open(store::Examination& found);
  // One at a time: the next after `done`.
  void Write(Batch batch);

 private:
  void Run();
  Written Do(const Batch& batch);

  store::FileSystem& files_;
  const std::string folder_;
  const store::StoreOptions options_;
  const std::function<void(Written)> done_;
  std::unique_ptr<store::Store> store_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::optional<Batch> next_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace elderhead::registry

#endif  // ELDERHEAD_REGISTRY_JOURNAL_HPP_
