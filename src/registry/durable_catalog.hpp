// The catalog over a write-ahead log: proposed commands are written in batches (group commit), and applied
// and answered once they are durable. While the storage fails, commands are rejected and the folder is opened
// again at intervals.
#ifndef GATEWAY_REGISTRY_DURABLE_CATALOG_HPP_
#define GATEWAY_REGISTRY_DURABLE_CATALOG_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/histogram.hpp"
#include "registry/catalog.hpp"
#include "registry/commit_notifier.hpp"
#include "registry/log_writer.hpp"
#include "registry/service_options.hpp"
#include "storage/file_system.hpp"

namespace gateway::registry {

// Receives the events of a DurableCatalog, in the thread of its io_context.
class CatalogObserver {
 public:
  virtual ~CatalogObserver() = default;
  // The command is durable and was applied; the proposer is answered next.
  virtual void OnApplied(const Command& command, const CommandResult& result) = 0;
  // The command was not applied; the proposer is answered next.
  virtual void OnRejected(const Command& command) = 0;
  // The storage accepts writes again. These members changed by records that were found in it.
  virtual void OnReopened(const std::vector<const Member*>& changed) = 0;
  // All commands of a batch are applied and answered, and the revision has risen.
  virtual void OnNewRevision() = 0;
};

// In the thread of the io_context, except for the log writer's own thread.
class DurableCatalog {
 public:
  using ResultHandler = std::function<void(const CommandResult&)>;

  // Recovers from the folder. Throws std::runtime_error if it can't be opened or read. `io`, `files` and
  // `observer` must outlive it; the observer is not called before the constructor has returned.
  DurableCatalog(boost::asio::io_context& io, storage::FileSystem& files, const ServiceOptions& options,
                 CatalogObserver& observer);

  const Catalog& catalog() const { return *catalog_; }
  // Calls `handler` (may be empty): at once if the command is rejected, else when it is durable and applied.
  void Propose(Command command, ResultHandler handler);

  // Why the storage accepts no writes now; empty if it does.
  const std::string& storage_error() const { return storage_error_; }
  // Bytes of log since the last snapshot.
  std::uint64_t log_bytes() const { return log_bytes_; }
  // Commands and batches written since the start, and the duration of a batch in microseconds.
  std::uint64_t commands_written() const { return commands_written_; }
  std::uint64_t batches_written() const { return batches_written_; }
  const base::Histogram& commit_time_us() const { return commit_time_us_; }

 private:
  struct Proposal {
    Command command;
    ResultHandler handler;
  };

  void Recover();
  void LoadSnapshot(const storage::Snapshot& snapshot);
  std::size_t Replay(const std::vector<storage::Record>& records);
  void LogRecovery(std::size_t replayed, base::Millis duration) const;
  void WriteFirstSnapshot();

  void WriteNextBatch();
  void OnBatchWritten(const LogWriter::BatchResult& result);
  void Apply(const Proposal& proposal);
  void Reject(const Proposal& proposal, const Error& error);
  Error StorageError() const;
  void OnStorageFailed(const storage::Status& status);
  void ScheduleReopen();
  void Reopen();

  const ServiceOptions options_;
  CatalogObserver& observer_;
  std::optional<Catalog> catalog_;       // empty only during the first recovery
  storage::Sequence applied_ = 0;        // of the last record applied
  std::vector<Proposal> queued_;         // for the next batch
  std::vector<Proposal> being_written_;  // with the log writer now
  std::string storage_error_;
  std::uint64_t log_bytes_ = 0;
  std::uint64_t commands_written_ = 0;
  std::uint64_t batches_written_ = 0;
  base::Histogram commit_time_us_;
  boost::asio::steady_timer reopen_timer_;
  CommitNotifier notifier_;
  LogWriter log_writer_;  // last: its thread ends before the notifier that it uses
};

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_DURABLE_CATALOG_HPP_
