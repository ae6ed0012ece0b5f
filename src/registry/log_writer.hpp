// Writes batches of commands to the write-ahead log in a thread of its own, with one sync for each batch
// (group commit).
#ifndef GATEWAY_REGISTRY_LOG_WRITER_HPP_
#define GATEWAY_REGISTRY_LOG_WRITER_HPP_

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

class LogWriter {
 public:
  struct Batch {
    std::optional<std::string> snapshot;  // replaces all that was written before; the records follow it
    std::vector<std::string> records;
  };
  struct BatchResult {
    storage::Status status;  // after an error nothing more is written until the next Open()
    std::vector<storage::Sequence> sequences;
    double duration_ms = 0;
    std::uint64_t log_bytes = 0;  // since the last snapshot
  };

  // `files` must outlive it. `on_written` is called in the writer's thread, once for each batch.
  LogWriter(storage::FileSystem& files, std::string folder, storage::StoreOptions options,
            std::function<void(BatchResult)> on_written);
  ~LogWriter();
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  // Recovers in the caller's thread; only while no batch is being written. After a failure, `found` may hold
  // records of a batch that failed.
  storage::Status Open(storage::Examination& found);
  // Returns at once. One batch at a time: the next one only after `on_written`.
  void Write(Batch batch);

 private:
  void Run();
  BatchResult WriteBatch(const Batch& batch);
  storage::Status AppendAndCommit(const Batch& batch, std::vector<storage::Sequence>& sequences);

  storage::FileSystem& files_;
  const std::string folder_;
  const storage::StoreOptions options_;
  const std::function<void(BatchResult)> on_written_;
  std::unique_ptr<storage::Store> store_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::optional<Batch> next_;  // guarded by mutex_
  bool stopping_ = false;      // guarded by mutex_
  std::thread thread_;         // last: it uses the members above
};

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_LOG_WRITER_HPP_
