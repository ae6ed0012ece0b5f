// The Catalog on a disk: proposed commands are logged in batches (group commit), and applied and answered
// once they are on the disk. While the disk fails, commands are refused and the folder is opened anew at
// intervals.
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
#include "registry/journal.hpp"
#include "registry/service_options.hpp"
#include "storage/file_system.hpp"

namespace gateway::registry {

// What a DurableCatalog tells its owner. Called in the thread of the io_context.
class CatalogObserver {
 public:
  virtual ~CatalogObserver() = default;
  // The command is on the disk and was applied; the proposer is answered next.
  virtual void OnApplied(const Command& command, const Outcome& outcome) = 0;
  // The command was not applied; the proposer is answered next.
  virtual void OnRefused(const Command& command) = 0;
  // The disk takes commands again. These members changed by what was found there.
  virtual void OnReopened(const std::vector<const Member*>& changed) = 0;
  // All commands of a batch are applied and answered, and the revision has risen.
  virtual void OnNewRevision() = 0;
};

class DurableCatalog {
 public:
  using Done = std::function<void(const Outcome&)>;

  // Recovers from the folder. Throws std::runtime_error if it can't. `files` and `observer` outlive it; the
  // observer is not called before the constructor has returned.
  DurableCatalog(boost::asio::io_context& io, storage::FileSystem& files, const ServiceOptions& options,
                 CatalogObserver& observer);

  const Catalog& catalog() const { return *catalog_; }
  // Answers by `done` (may be empty): at once if it is refused, else when it is on the disk and applied.
  void Propose(Command command, Done done);

  // Why the disk takes no commands now; empty if it does.
  const std::string& storage_error() const { return storage_error_; }
  // Bytes of log since the last snapshot.
  std::uint64_t log_bytes() const { return log_bytes_; }
  // Commands written since the start, syncs that they took, and the time of a batch in microseconds.
  std::uint64_t writes() const { return writes_; }
  std::uint64_t syncs() const { return syncs_; }
  const base::Histogram& commit_time_us() const { return commit_time_us_; }

 private:
  struct Proposal {
    Command command;
    Done done;
  };

  void Recover();
  void LoadSnapshot(const storage::Snapshot& snapshot);
  std::size_t Replay(const std::vector<storage::Record>& records);
  void LogRecovery(std::size_t replayed, base::Millis took) const;
  void CommitFirstSnapshot();

  void CommitNext();
  void OnCommitted(Journal::Written written);
  void Apply(const Proposal& proposal);
  void Refuse(const std::vector<Proposal>& proposals, const char* code, const std::string& text);
  std::string RefusalText() const;
  void OnStorageFailed(const storage::Status& status);
  void ReopenLater();
  void Reopen();

  const ServiceOptions options_;
  CatalogObserver& observer_;
  std::optional<Catalog> catalog_;
  storage::Sequence applied_ = 0;  // of the last record applied
  std::vector<Proposal> waiting_;
  std::vector<Proposal> committing_;  // with the journal now
  std::string storage_error_;
  std::uint64_t log_bytes_ = 0;
  std::uint64_t writes_ = 0;
  std::uint64_t syncs_ = 0;
  base::Histogram commit_time_us_;
  boost::asio::steady_timer reopen_timer_;
  CommitNotifier notifier_;
  Journal journal_;  // last: its thread ends before what it uses
};

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_DURABLE_CATALOG_HPP_
