// The commands of a list service on their way to the disk: a thread of its own writes them, one sync for all
// that came together (group commit).
#ifndef GATEWAY_REGISTRY_JOURNAL_HPP_
#define GATEWAY_REGISTRY_JOURNAL_HPP_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "storage/store.hpp"

namespace gateway::registry {

class Journal {
 public:
  struct Batch {
    std::optional<std::string> snapshot;  // of all that was written before; the records follow it
    std::vector<std::string> records;
  };
  struct Written {
    storage::Status status;  // once bad nothing more is written until Open() again
    std::vector<storage::Sequence> sequences;
    double took_ms = 0;  // of it
    std::uint64_t log_bytes = 0;
  };

  // `files` outlives it. `done` is called in the thread.
  Journal(storage::FileSystem& files, std::string folder, storage::StoreOptions options,
          std::function<void(Written)> done);
  ~Journal();

  // Recovers, in the caller's thread, while no batch is on. Also after a failure: what is found then may hold
  // records that were not answered for.
  storage::Status Open(storage::Examination& found);
  // One at a time: the next after `done`.
  void Write(Batch batch);

 private:
  void Run();
  Written Do(const Batch& batch);

  storage::FileSystem& files_;
  const std::string folder_;
  const storage::StoreOptions options_;
  const std::function<void(Written)> done_;
  std::unique_ptr<storage::Store> store_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::optional<Batch> next_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_JOURNAL_HPP_
