#include "registry/durable_catalog.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "base/clock.hpp"
#include "base/log.hpp"
#include "registry/record_codec.hpp"

namespace gateway::registry {
namespace {

using base::Level;
using base::Millis;
using base::MonotonicNow;

constexpr Millis kReopenInterval = 2000;
constexpr std::size_t kMaxQueuedCommands = 20000;
constexpr std::uint64_t kMinLogCapacityBytes = 16 << 20;
constexpr std::uint64_t kLogCapacityPerSnapshot = 4;  // log capacity, in multiples of snapshot_after_bytes
constexpr double kMicrosPerMilli = 1000;

storage::StoreOptions StoreOptionsOf(const ServiceOptions& options) {
  storage::StoreOptions store;
  store.owner = options.owner;
  store.program = options.program;
  store.max_log_bytes =
      std::max(kLogCapacityPerSnapshot * options.snapshot_after_bytes, kMinLogCapacityBytes);
  return store;
}

}  // namespace

DurableCatalog::DurableCatalog(boost::asio::io_context& io, storage::FileSystem& files,
                               const ServiceOptions& options, CatalogObserver& observer)
    : options_(options),
      observer_(observer),
      reopen_timer_(io),
      notifier_(io),
      log_writer_(files, options.state_folder, StoreOptionsOf(options),
                  [this](LogWriter::BatchResult result) { notifier_.Notify(std::move(result)); }) {
  Recover();
  notifier_.Listen([this](const LogWriter::BatchResult& result) { OnBatchWritten(result); });
}

// ---- Recovery -------------------------------------------------------------------------------------

// Runs at the start and after a storage failure. After a failure, the log may contain commands that were
// reported to their proposers as failed. These commands are applied, because they are durable.
void DurableCatalog::Recover() {
  storage::Examination examination;
  if (const storage::Status status = log_writer_.Open(examination); !status.ok()) {
    throw std::runtime_error(status.Text());
  }
  const Millis start_time = MonotonicNow();
  const bool starting = !catalog_;
  if (starting && examination.snapshot) LoadSnapshot(*examination.snapshot);
  const bool new_history = !catalog_;
  if (new_history) catalog_.emplace(options_.epoch, options_.initial_revision, options_.retention);
  const std::size_t replayed = Replay(examination.records);
  LogRecovery(replayed, MonotonicNow() - start_time);
  if (new_history && examination.records.empty()) WriteFirstSnapshot();
}

void DurableCatalog::LoadSnapshot(const storage::Snapshot& snapshot) {
  std::string error;
  if (snapshot.version > kSnapshotVersion) {
    error =
        fmt::format("a newer program wrote it: its format version is {}, the newest supported version is {}",
                    snapshot.version, kSnapshotVersion);
  } else {
    catalog_ = Catalog::FromSnapshot(snapshot.payload, options_.retention, error);
  }
  if (!catalog_) {
    throw std::runtime_error(options_.state_folder + ": cannot read the snapshot: " + error);
  }
  applied_ = snapshot.sequence;
}

// Applies the records that are not applied yet. Returns their number.
std::size_t DurableCatalog::Replay(const std::vector<storage::Record>& records) {
  std::size_t replayed = 0;
  for (const storage::Record& record : records) {
    if (record.sequence <= applied_) continue;
    const bool readable = record.version <= kCommandVersion;
    const auto command = readable ? DecodeCommand(record.payload) : std::nullopt;
    if (!command) {
      throw std::runtime_error(
          fmt::format("{}: cannot decode record {}: it is corrupt, or its version {} is above the supported "
                      "version {}",
                      options_.state_folder, record.sequence, record.version, kCommandVersion));
    }
    applied_ = record.sequence;
    catalog_->Apply(*command);
    ++replayed;
  }
  return replayed;
}

void DurableCatalog::LogRecovery(std::size_t replayed, Millis duration) const {
  base::Log(
      Level::kInfo, "registry", "recovered",
      fmt::format(
          "registry: recovered epoch {}, revision {}, {} members, {} retained changes, {} records after "
          "the snapshot, in {:.0f} ms",
          catalog_->epoch(), catalog_->revision(), catalog_->members().size(), catalog_->history().size(),
          replayed, duration));
}

// Makes the epoch durable before any client can see it.
void DurableCatalog::WriteFirstSnapshot() {
  LogWriter::Batch batch;
  batch.snapshot = catalog_->Snapshot();
  log_writer_.Write(std::move(batch));
  const LogWriter::BatchResult result = notifier_.Wait();
  if (!result.status.ok()) throw std::runtime_error(result.status.Text());
}

// ---- Writes ---------------------------------------------------------------------------------------

void DurableCatalog::Propose(Command command, ResultHandler handler) {
  Proposal proposal{std::move(command), std::move(handler)};
  if (!storage_error_.empty()) return Reject(proposal, StorageError());
  if (queued_.size() >= kMaxQueuedCommands) {
    return Reject(proposal, {ErrorCode::kOverloaded, "", "the queue of writes is full"});
  }
  queued_.push_back(std::move(proposal));
  WriteNextBatch();
}

// Writes one batch at a time. Commands that arrive during the write form the next batch. Therefore
// all commands of earlier batches are applied when a snapshot is taken.
void DurableCatalog::WriteNextBatch() {
  if (!batch_in_progress_.empty() || queued_.empty() || !storage_error_.empty()) return;
  batch_in_progress_ = std::exchange(queued_, {});
  LogWriter::Batch batch;
  if (log_bytes_ > options_.snapshot_after_bytes) batch.snapshot = catalog_->Snapshot();
  for (const Proposal& proposal : batch_in_progress_)
    batch.records.push_back(EncodeCommand(proposal.command));
  log_writer_.Write(std::move(batch));
}

void DurableCatalog::OnBatchWritten(const LogWriter::BatchResult& result) {
  const std::vector<Proposal> batch = std::exchange(batch_in_progress_, {});
  if (!result.status.ok()) {
    const Error error(ErrorCode::kStorageFailed, "",
                      "the write may or may not be durable: " + result.status.Text());
    for (const Proposal& proposal : batch) Reject(proposal, error);
    return OnStorageFailed(result.status);
  }
  ++batches_written_;
  commit_time_us_.Add(static_cast<std::uint64_t>(result.duration_ms * kMicrosPerMilli));
  log_bytes_ = result.log_bytes;
  const Revision before = catalog_->revision();
  for (std::size_t i = 0; i < batch.size(); ++i) {
    applied_ = result.sequences[i];
    Apply(batch[i]);
  }
  if (catalog_->revision() != before) observer_.OnNewRevision();
  WriteNextBatch();
}

void DurableCatalog::Apply(const Proposal& proposal) {
  const CommandResult result = catalog_->Apply(proposal.command);
  observer_.OnApplied(proposal.command, result);
  ++commands_written_;
  if (proposal.handler) proposal.handler(result);
}

void DurableCatalog::Reject(const Proposal& proposal, const Error& error) {
  observer_.OnRejected(proposal.command);
  if (proposal.handler) proposal.handler(CommandResult::Failed(error));
}

Error DurableCatalog::StorageError() const {
  return {ErrorCode::kStorageFailed, "", "storage is unavailable: " + storage_error_};
}

// ---- Storage failures -----------------------------------------------------------------------------

void DurableCatalog::OnStorageFailed(const storage::Status& status) {
  storage_error_ = status.Text();
  base::Log(Level::kError, "registry", "storage_failed",
            "registry: " + storage_error_ +
                "; lists and watches are still served, writes are rejected; reopening the storage every 2 s");
  for (const Proposal& proposal : std::exchange(queued_, {})) Reject(proposal, StorageError());
  ScheduleReopen();
}

void DurableCatalog::ScheduleReopen() {
  reopen_timer_.expires_after(base::TimerDuration(kReopenInterval));
  reopen_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) Reopen();
  });
}

// Opens the store again and applies the records that are not applied yet. The store rewrites the last segment
// of the log, because the content of the segment may not be durable after the failure.
void DurableCatalog::Reopen() {
  const Revision before = catalog_->revision();
  try {
    Recover();
  } catch (const std::exception& error) {
    storage_error_ = error.what();
    return ScheduleReopen();
  }
  storage_error_.clear();
  observer_.OnReopened(catalog_->ChangedSince(before).value_or(std::vector<const Member*>()));
  base::Log(Level::kInfo, "registry", "storage_back", "registry: storage accepts writes again");
  if (catalog_->revision() != before) observer_.OnNewRevision();
}

}  // namespace gateway::registry
