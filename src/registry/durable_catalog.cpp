#include "registry/durable_catalog.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "base/clock.hpp"
#include "base/log.hpp"

namespace gateway::registry {
namespace {

using base::Level;
using base::Millis;
using base::MonotonicNow;

constexpr Millis kReopenEvery = 2000;
constexpr std::size_t kMostWaiting = 20000;            // commands that wait for the disk
constexpr std::uint64_t kLeastFolderBytes = 16 << 20;  // room for the log, at least
constexpr std::uint64_t kFolderBytesPerSnapshot = 4;   // room for the log, times `snapshot_after`

storage::StoreOptions FolderOptions(const ServiceOptions& options) {
  storage::StoreOptions folder;
  folder.owner = options.owner;
  folder.program = options.program;
  folder.most_bytes = std::max(kFolderBytesPerSnapshot * options.snapshot_after, kLeastFolderBytes);
  return folder;
}

}  // namespace

DurableCatalog::DurableCatalog(boost::asio::io_context& io, storage::FileSystem& files,
                               const ServiceOptions& options, CatalogObserver& observer)
    : options_(options),
      observer_(observer),
      reopen_timer_(io),
      notifier_(io),
      journal_(files, options.state_folder, FolderOptions(options),
               [this](Journal::Written written) { notifier_.Notify(std::move(written)); }) {
  Recover();
  notifier_.Listen([this](Journal::Written written) { OnCommitted(std::move(written)); });
}

// Also after the disk failed: commands that were refused may be found there, and count.
void DurableCatalog::Recover() {
  storage::Examination found;
  if (const storage::Status status = journal_.Open(found); !status.ok()) {
    throw std::runtime_error(status.Text());
  }
  const Millis begun = MonotonicNow();
  const bool starting = !catalog_;
  if (starting && found.snapshot) LoadSnapshot(*found.snapshot);
  const bool fresh = !catalog_;
  if (fresh) catalog_.emplace(options_.epoch, options_.first, options_.bounds);
  const std::size_t replayed = Replay(found.records);
  LogRecovery(replayed, MonotonicNow() - begun);
  if (fresh && found.records.empty()) CommitFirstSnapshot();
}

void DurableCatalog::LoadSnapshot(const storage::Snapshot& snapshot) {
  std::string why;
  if (snapshot.version > kSnapshotVersion) {
    why = "of a newer program";
  } else {
    catalog_ = Catalog::FromSnapshot(snapshot.payload, options_.bounds, why);
  }
  if (!catalog_) {
    throw std::runtime_error(options_.state_folder + ": a snapshot that can't be read: " + why);
  }
  applied_ = snapshot.sequence;
}

std::size_t DurableCatalog::Replay(const std::vector<storage::Record>& records) {
  std::size_t replayed = 0;
  for (const storage::Record& record : records) {
    if (record.sequence <= applied_) continue;
    const auto command = record.version > kCommandVersion ? std::nullopt : CommandFromRecord(record.payload);
    if (!command) {
      throw std::runtime_error(
          fmt::format("{}: record {} can't be read", options_.state_folder, record.sequence));
    }
    applied_ = record.sequence;
    catalog_->Apply(*command);
    ++replayed;
  }
  return replayed;
}

void DurableCatalog::LogRecovery(std::size_t replayed, Millis took) const {
  base::Log(
      Level::kInfo, "registry", "recovered",
      fmt::format("registry: epoch {}, revision {}, {} members, {} changes known, {} records behind the "
                  "snapshot, in {:.0f} ms",
                  catalog_->epoch(), catalog_->revision(), catalog_->members().size(),
                  catalog_->history().size(), replayed, took));
}

// The epoch has to be on the disk before anyone hears it.
void DurableCatalog::CommitFirstSnapshot() {
  Journal::Batch batch;
  batch.snapshot = catalog_->Snapshot();
  journal_.Write(std::move(batch));
  const Journal::Written written = notifier_.Wait();
  if (!written.status.ok()) throw std::runtime_error(written.status.Text());
}

void DurableCatalog::Propose(Command command, Done done) {
  Proposal proposal{std::move(command), std::move(done)};
  if (!storage_error_.empty()) return Refuse({std::move(proposal)}, "storage_failed", RefusalText());
  if (waiting_.size() >= kMostWaiting) {
    return Refuse({std::move(proposal)}, "overloaded", "too many writes wait for the disk");
  }
  waiting_.push_back(std::move(proposal));
  CommitNext();
}

// One batch is on at a time: what comes meanwhile goes together into the next, and when a snapshot is taken
// all that was written is applied.
void DurableCatalog::CommitNext() {
  if (!committing_.empty() || waiting_.empty() || !storage_error_.empty()) return;
  committing_ = std::exchange(waiting_, {});
  Journal::Batch batch;
  if (log_bytes_ > options_.snapshot_after) batch.snapshot = catalog_->Snapshot();
  for (const Proposal& proposal : committing_) batch.records.push_back(ToRecord(proposal.command));
  journal_.Write(std::move(batch));
}

void DurableCatalog::OnCommitted(Journal::Written written) {
  const std::vector<Proposal> batch = std::exchange(committing_, {});
  if (!written.status.ok()) {
    Refuse(batch, "storage_failed", "it may or may not be kept: " + written.status.Text());
    return OnStorageFailed(written.status);
  }
  ++syncs_;
  commit_time_us_.Add(static_cast<std::uint64_t>(written.took_ms * 1000));
  log_bytes_ = written.log_bytes;
  const Revision before = catalog_->revision();
  for (std::size_t i = 0; i < batch.size(); ++i) {
    applied_ = written.sequences[i];
    Apply(batch[i]);
  }
  if (catalog_->revision() != before) observer_.OnNewRevision();
  CommitNext();
}

void DurableCatalog::Apply(const Proposal& proposal) {
  const Outcome outcome = catalog_->Apply(proposal.command);
  observer_.OnApplied(proposal.command, outcome);
  ++writes_;
  if (proposal.done) proposal.done(outcome);
}

void DurableCatalog::Refuse(const std::vector<Proposal>& proposals, const char* code,
                            const std::string& text) {
  for (const Proposal& proposal : proposals) {
    observer_.OnRefused(proposal.command);
    if (proposal.done) proposal.done({code, "", text});
  }
}

std::string DurableCatalog::RefusalText() const { return "nothing can be kept now: " + storage_error_; }

void DurableCatalog::OnStorageFailed(const storage::Status& status) {
  storage_error_ = status.Text();
  base::Log(
      Level::kError, "registry", "storage_failed",
      "registry: " + storage_error_ + "; lists and watches go on, writes are refused, tried again every 2 s");
  Refuse(std::exchange(waiting_, {}), "storage_failed", RefusalText());
  ReopenLater();
}

void DurableCatalog::ReopenLater() {
  reopen_timer_.expires_after(base::TimerDuration(kReopenEvery));
  reopen_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) Reopen();
  });
}

// Reads all anew; the store writes the last segment again before it believes it.
void DurableCatalog::Reopen() {
  const Revision before = catalog_->revision();
  try {
    Recover();
  } catch (const std::exception& error) {
    storage_error_ = error.what();
    return ReopenLater();
  }
  storage_error_.clear();
  observer_.OnReopened(catalog_->Since(before).value_or(std::vector<const Member*>()));
  base::Log(Level::kInfo, "registry", "storage_back", "registry: the disk takes writes again");
  if (catalog_->revision() != before) observer_.OnNewRevision();
}

}  // namespace gateway::registry
