#include "storage/recovery.hpp"

#include <algorithm>

#include "storage/atomic_file.hpp"
#include "storage/file_names.hpp"

namespace gateway::storage {
namespace {

class Recoverer {
 public:
  Recoverer(FileSystem& files, const std::string& folder, const Examination& examination, LogState& log)
      : files_(files), folder_(folder), examination_(examination), log_(log) {}

  Status Run(const std::string& owner, const std::string& program);

 private:
  std::string Path(const std::string& name) const { return folder_ + "/" + name; }
  bool IsCorrupt() const { return examination_.condition == StoreCondition::kCorrupt; }
  bool HasNoState() const { return !examination_.snapshot && examination_.records.empty(); }

  Status QuarantineCorruptFiles();
  Status RemoveObsoleteFiles();
  Status WriteManifest(const std::string& owner, const std::string& program);
  Status RewriteLastSegment();
  Status ListFiles();

  FileSystem& files_;
  const std::string& folder_;
  const Examination& examination_;
  LogState& log_;
};

Status Recoverer::Run(const std::string& owner, const std::string& program) {
  if (Status status = QuarantineCorruptFiles(); !status.ok()) return status;
  if (Status status = RemoveObsoleteFiles(); !status.ok()) return status;
  log_.durable_sequence = examination_.last_sequence();
  // No record was recovered. A sequence must never be reused, so the log continues after the highest sequence
  // in any file.
  if (IsCorrupt() && HasNoState())
    log_.durable_sequence = std::max(log_.durable_sequence, examination_.highest_sequence);
  if (Status status = WriteManifest(owner, program); !status.ok()) return status;
  if (!examination_.records.empty()) {
    if (Status status = RewriteLastSegment(); !status.ok()) return status;
  }
  if (Status status = files_.SyncFolder(folder_); !status.ok()) return status;
  return ListFiles();
}

Status Recoverer::QuarantineCorruptFiles() {
  for (const std::string& name : examination_.corrupt_files) {
    const std::string quarantined = std::string(kCorruptPrefix) + name;
    if (Status status = files_.Rename(Path(name), Path(quarantined)); !status.ok()) return status;
  }
  return {};
}

Status Recoverer::RemoveObsoleteFiles() {
  for (const std::string& name : examination_.obsolete_files) {
    if (Status status = files_.Remove(Path(name)); !status.ok()) return status;
  }
  return {};
}

// Writes a manifest if the folder is empty or has no manifest that fits the recovered records.
Status Recoverer::WriteManifest(const std::string& owner, const std::string& program) {
  const bool is_empty = examination_.condition == StoreCondition::kEmpty;
  const bool is_unusable = IsCorrupt() && (HasNoState() || !examination_.manifest);
  if (!is_empty && !is_unusable) return {};
  Manifest manifest;
  manifest.owner = owner;
  manifest.program = program;
  manifest.first_sequence = examination_.first_sequence;
  if (IsCorrupt() && HasNoState()) manifest.first_sequence = log_.durable_sequence + 1;
  return ReplaceFile(files_, Path(kManifestName), EncodeManifest(manifest));
}

// Rewrites only the last segment. Earlier segments stay unchanged.
Status Recoverer::RewriteLastSegment() {
  const Sequence active = *examination_.active_segment;
  const Sequence first = std::max(active, examination_.records.front().sequence);
  std::string bytes = EncodeSegmentHeader(first);
  for (const Record& record : examination_.records) {
    if (record.sequence >= first) AppendRecord(bytes, record, first - 1);
  }
  const std::string name = NumberedName(kLogStem, first);
  if (Status status = ReplaceFile(files_, Path(name), bytes, &log_.segment); !status.ok()) return status;
  if (first != active && !IsCorrupt()) {
    const std::string replaced = NumberedName(kLogStem, active);
    if (Status status = files_.Remove(Path(replaced)); !status.ok()) return status;
  }
  log_.segment_bytes = bytes.size();
  log_.files.push_back(name);
  return {};
}

Status Recoverer::ListFiles() {
  std::vector<std::string> names;
  if (Status status = files_.List(folder_, /*create_missing=*/false, names); !status.ok()) return status;
  for (const std::string_view stem : {kLogStem, kSnapshotStem}) {
    for (const NumberedFile& file : FindNumberedFiles(names, stem)) {
      const bool known = std::find(log_.files.begin(), log_.files.end(), file.name) != log_.files.end();
      if (!known) log_.files.push_back(file.name);
    }
  }
  for (const Examination::FileReport& file : examination_.files) {
    if (ParseNumberedName(kLogStem, file.name)) log_.log_bytes += file.bytes;
  }
  return {};
}

}  // namespace

Status Recover(FileSystem& files, const std::string& folder, const std::string& owner,
               const std::string& program, const Examination& examination, LogState& log) {
  return Recoverer(files, folder, examination, log).Run(owner, program);
}

}  // namespace gateway::storage
