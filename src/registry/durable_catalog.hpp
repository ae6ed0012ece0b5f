// Catalog with a write-ahead log. Proposed commands are written in batches (group commit). When a command is
// durable, it is applied and its proposer gets the result. After a storage failure, commands are rejected
// until the store can be reopened.
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
  // Called when the command is durable and applied, before its proposer gets the result.
  virtual void OnApplied(const Command& command, const CommandResult& result) = 0;
  // Called when the command was not applied, before its proposer gets the error.
  virtual void OnRejected(const Command& command) = 0;
  // Called when the storage accepts writes again. `changed` contains the members that were changed by
  // records recovered from the log.
  virtual void OnReopened(const std::vector<const Member*>& changed) = 0;
  // Called after a batch or a recovery that has increased the revision. The proposers of the batch already
  // have their results.
  virtual void OnNewRevision() = 0;
};

// Must be used in the thread of the io_context. The log writer has a thread of its own.
class DurableCatalog {
 public:
  using ResultHandler = std::function<void(const CommandResult&)>;

  // Recovers the catalog from the state folder. Throws std::runtime_error if the folder cannot be opened or
  // read. `io`, `files` and `observer` must outlive this object. The observer is not called before the
  // constructor has returned.
  DurableCatalog(boost::asio::io_context& io, storage::FileSystem& files, const ServiceOptions& options,
                 CatalogObserver& observer);

  const Catalog& catalog() const { return *catalog_; }
  // Writes and applies the command. If the command is rejected, calls `handler` at once. Otherwise calls
  // `handler` when the command is durable and applied. `handler` may be empty.
  void Propose(Command command, ResultHandler handler);

  // Returns why the storage currently rejects writes, or an empty string if the storage accepts writes.
  const std::string& storage_error() const { return storage_error_; }
  // Returns the size of the log since the last snapshot.
  std::uint64_t log_bytes() const { return log_bytes_; }
  // Return totals since the start: the number of commands written, the number of batches written, and a
  // histogram of the time to write a batch, in microseconds.
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
  std::optional<Catalog> catalog_;           // empty only during the first recovery
  storage::Sequence applied_ = 0;            // sequence of the last applied record
  std::vector<Proposal> queued_;             // commands of the next batch
  std::vector<Proposal> batch_in_progress_;  // commands of the batch that the log writer is writing
  std::string storage_error_;
  std::uint64_t log_bytes_ = 0;
  std::uint64_t commands_written_ = 0;
  std::uint64_t batches_written_ = 0;
  base::Histogram commit_time_us_;
  boost::asio::steady_timer reopen_timer_;
  CommitNotifier notifier_;
  LogWriter log_writer_;  // last member, so that its thread ends before the notifier is destroyed
};

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_DURABLE_CATALOG_HPP_
