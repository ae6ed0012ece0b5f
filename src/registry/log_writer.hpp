// Writes batches of commands to the write-ahead log in a separate thread, with one sync per batch (group
// commit).
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
    std::optional<std::string> snapshot;  // replaces all earlier records; written before `records`
    std::vector<std::string> records;
  };
  struct BatchResult {
    storage::Status status;  // after an error, all further writes fail until the next Open()
    std::vector<storage::Sequence> sequences;
    double duration_ms = 0;
    std::uint64_t log_bytes = 0;  // size of the log since the last snapshot
  };

  // `files` must outlive the writer. `on_written` is called once per batch in the writer's thread.
  LogWriter(storage::FileSystem& files, std::string folder, storage::StoreOptions options,
            std::function<void(BatchResult)> on_written);
  ~LogWriter();
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  // Opens and recovers the store in the caller's thread. Must not be called while a batch is being written.
  // After a failure, `examination` may contain records of a failed batch.
  storage::Status Open(storage::Examination& examination);
  // Starts to write a batch and returns at once. Must not be called again before `on_written`.
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
  std::optional<Batch> next_batch_;  // guarded by mutex_
  bool stopping_ = false;            // guarded by mutex_
  std::thread thread_;               // last member, because the thread uses the members above
};

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_LOG_WRITER_HPP_
