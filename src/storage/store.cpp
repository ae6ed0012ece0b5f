#include "storage/store.hpp"

#include <utility>

#include "storage/atomic_file.hpp"
#include "storage/file_names.hpp"

namespace gateway::storage {

Store::Store(FileSystem& files, std::string folder, StoreOptions options)
    : files_(files), folder_(std::move(folder)), options_(std::move(options)) {}

Status Store::Open(FileSystem& files, const std::string& folder, const StoreOptions& options,
                   std::unique_ptr<Store>& store, Examination& examination) {
  std::vector<std::string> names;
  if (Status status = files.List(folder, /*create_missing=*/true, names); !status.ok()) return status;
  std::unique_ptr<Store> opened(new Store(files, folder, options));
  if (Status status = files.AcquireLock(opened->Path(kLockName), opened->lock_); !status.ok()) return status;
  if (Status status = Examine(files, folder, options.owner, examination); !status.ok()) return status;
  const bool is_corrupt = examination.condition == StoreCondition::kCorrupt;
  if (examination.must_not_be_modified() || (is_corrupt && !options.open_corrupt))
    return {{}, folder + ": " + examination.error};
  if (Status status = Recover(files, folder, options.owner, options.program, examination, opened->log_);
      !status.ok()) {
    return status;
  }
  opened->next_sequence_ = opened->log_.durable_sequence + 1;
  store = std::move(opened);
  return {};
}

// Makes the store read-only and returns `status`.
Status Store::Fail(Status status) {
  error_ = std::move(status);
  log_.segment.reset();
  pending_.clear();
  return error_;
}

// ---- Append ---------------------------------------------------------------------------------------

Sequence Store::Append(std::uint16_t kind, std::uint16_t version, std::string_view payload) {
  if (read_only() || payload.size() > kMaxPayloadBytes) return 0;
  if (log_.log_bytes + pending_.size() + payload.size() > options_.max_log_bytes) return 0;
  AppendRecord(pending_, {next_sequence_, kind, version, std::string(payload)}, log_.durable_sequence);
  return next_sequence_++;
}

Status Store::Commit() {
  if (read_only()) return error_;
  if (pending_.empty()) return {};
  if (Status status = WritePending(); !status.ok()) return Fail(std::move(status));
  log_.segment_bytes += pending_.size();
  log_.log_bytes += pending_.size();
  pending_.clear();
  log_.durable_sequence = next_sequence_ - 1;
  return {};
}

Status Store::WritePending() {
  if (!log_.segment || log_.segment_bytes > options_.max_segment_bytes) {
    if (Status status = CreateSegment(); !status.ok()) return status;
  }
  if (Status status = log_.segment->Append(pending_); !status.ok()) return status;
  if (Status status = log_.segment->Sync(); !status.ok()) return status;
  if (!folder_needs_sync_) return {};
  if (Status status = files_.SyncFolder(folder_); !status.ok()) return status;
  folder_needs_sync_ = false;
  return {};
}

Status Store::CreateSegment() {
  const Sequence first = log_.durable_sequence + 1;
  const std::string name = NumberedName(kLogStem, first);
  if (Status status = files_.Create(Path(name), log_.segment); !status.ok()) return status;
  log_.files.push_back(name);
  folder_needs_sync_ = true;
  const std::string header = EncodeSegmentHeader(first);
  log_.segment_bytes = header.size();
  log_.log_bytes += header.size();
  return log_.segment->Append(header);
}

// ---- Snapshots ------------------------------------------------------------------------------------

Status Store::TakeSnapshot(std::uint16_t version, std::string_view payload) {
  if (Status status = Commit(); !status.ok()) return status;
  const std::string name = NumberedName(kSnapshotStem, log_.durable_sequence);
  const std::string bytes = EncodeSnapshot({log_.durable_sequence, version, std::string(payload)});
  if (bytes.size() > kMaxSnapshotBytes) {
    return {{},
            "a snapshot of " + std::to_string(bytes.size()) + " bytes exceeds the limit of " +
                std::to_string(kMaxSnapshotBytes) + " bytes"};
  }
  if (Status status = WriteSnapshot(name, bytes); !status.ok()) return Fail(std::move(status));
  log_.segment.reset();  // the next commit creates a new segment
  log_.segment_bytes = 0;
  log_.log_bytes = 0;
  if (Status status = RemoveReplacedFiles(name); !status.ok()) return Fail(std::move(status));
  return {};
}

Status Store::WriteSnapshot(const std::string& name, std::string_view bytes) {
  if (Status status = ReplaceFile(files_, Path(name), bytes); !status.ok()) return status;
  return files_.SyncFolder(folder_);
}

Status Store::RemoveReplacedFiles(const std::string& snapshot_name) {
  for (const std::string& file : std::exchange(log_.files, {snapshot_name})) {
    if (file == snapshot_name) continue;
    if (Status status = files_.Remove(Path(file)); !status.ok()) return status;
  }
  return {};
}

}  // namespace gateway::storage
