#include "storage/examination.hpp"

#include <algorithm>
#include <utility>

#include "storage/file_names.hpp"

namespace gateway::storage {
namespace {

std::string DescribeMismatch(Sequence in_header, Sequence in_name) {
  return "the sequence " + std::to_string(in_header) + " in the header does not match the sequence " +
         std::to_string(in_name) + " in the file name";
}

class Examiner {
 public:
  Examiner(FileSystem& files, const std::string& folder, Examination& result)
      : files_(files), folder_(folder), result_(result) {}

  Status Run(const std::string& owner);

 private:
  void MarkCorrupt(const std::string& error);
  void ExcludeFile(const NumberedFile& file);
  void ExcludeAllFiles();
  Status Read(const std::string& name, std::uint64_t max_bytes, std::string& bytes);

  Status ExamineManifest(const std::string& owner);
  void CheckManifest(const std::string& owner);
  Status ExamineSnapshots();
  Status ExamineSnapshot(const NumberedFile& file);
  Status ExamineSegments();
  Status ExamineSegment(const NumberedFile& file, bool is_last);
  void ReportSegment(const NumberedFile& file, std::size_t bytes, const Segment& segment);
  void ApplySegment(const NumberedFile& file, Segment segment, bool is_last);
  void DropEmptyActiveSegment();

  FileSystem& files_;
  const std::string& folder_;
  Examination& result_;
  std::vector<NumberedFile> snapshots_;
  std::vector<NumberedFile> segments_;
  bool log_intact_ = true;  // false once a corrupt or missing segment was found
};

Status Examiner::Run(const std::string& owner) {
  std::vector<std::string> names;
  if (Status status = files_.List(folder_, /*create_missing=*/false, names); !status.ok()) return status;
  snapshots_ = FindNumberedFiles(names, kSnapshotStem);
  segments_ = FindNumberedFiles(names, kLogStem);
  for (const std::string& name : names) {
    if (name.ends_with(kTemporarySuffix)) result_.obsolete_files.push_back(name);
  }
  if (std::find(names.begin(), names.end(), kManifestName) == names.end()) {
    // A new store makes its manifest durable before it creates any other file.
    if (snapshots_.empty() && segments_.empty()) return {};
    ExcludeAllFiles();
    MarkCorrupt("the folder contains log or snapshot files but no MANIFEST file");
    return {};
  }
  if (Status status = ExamineManifest(owner); !status.ok()) return status;
  if (result_.must_not_be_modified()) return {};
  if (result_.condition == StoreCondition::kCorrupt) {
    ExcludeAllFiles();
    return {};
  }
  result_.condition = StoreCondition::kComplete;
  if (Status status = ExamineSnapshots(); !status.ok()) return status;
  return ExamineSegments();
}

void Examiner::MarkCorrupt(const std::string& error) {
  if (result_.condition != StoreCondition::kCorrupt) result_.error = error;
  result_.condition = StoreCondition::kCorrupt;
}

void Examiner::ExcludeFile(const NumberedFile& file) {
  result_.corrupt_files.push_back(file.name);
  result_.highest_sequence = std::max(result_.highest_sequence, file.sequence);
}

void Examiner::ExcludeAllFiles() {
  for (const NumberedFile& file : snapshots_) ExcludeFile(file);
  for (const NumberedFile& file : segments_) ExcludeFile(file);
}

Status Examiner::Read(const std::string& name, std::uint64_t max_bytes, std::string& bytes) {
  return files_.Read(folder_ + "/" + name, max_bytes, bytes);
}

Status Examiner::ExamineManifest(const std::string& owner) {
  std::string bytes;
  if (Status status = Read(kManifestName, kMaxManifestBytes, bytes); !status.ok()) return status;
  std::string error;
  result_.manifest = DecodeManifest(bytes, error);
  result_.files.push_back({kManifestName, bytes.size(), "manifest", error});
  if (result_.manifest) {
    CheckManifest(owner);
  } else {
    MarkCorrupt("manifest: " + error);
  }
  return {};
}

void Examiner::CheckManifest(const std::string& owner) {
  const Manifest& manifest = *result_.manifest;
  if (manifest.format > kFormatVersion) {
    result_.condition = StoreCondition::kUnsupportedVersion;
    result_.error = "the store has format " + std::to_string(manifest.format) +
                    ", but this program supports formats up to " + std::to_string(kFormatVersion);
  } else if (!owner.empty() && manifest.owner != owner) {
    result_.condition = StoreCondition::kOtherOwner;
    result_.error = "the store belongs to '" + manifest.owner + "', not to '" + owner + "'";
  } else {
    result_.first_sequence = manifest.first_sequence;
  }
}

// Uses the newest valid snapshot. A snapshot file gets its final name only when it is complete. Therefore a
// crash cannot leave an invalid snapshot, and an invalid snapshot is reported as corrupt.
Status Examiner::ExamineSnapshots() {
  for (auto file = snapshots_.rbegin(); file != snapshots_.rend(); ++file) {
    result_.highest_sequence = std::max(result_.highest_sequence, file->sequence);
    if (result_.snapshot) {
      result_.obsolete_files.push_back(file->name);
      continue;
    }
    if (Status status = ExamineSnapshot(*file); !status.ok()) return status;
  }
  return {};
}

Status Examiner::ExamineSnapshot(const NumberedFile& file) {
  std::string bytes;
  if (Status status = Read(file.name, kMaxSnapshotBytes, bytes); !status.ok()) return status;
  std::string error;
  result_.snapshot = DecodeSnapshot(bytes, error);
  if (result_.snapshot && result_.snapshot->sequence != file.sequence) {
    error = DescribeMismatch(result_.snapshot->sequence, file.sequence);
    result_.snapshot.reset();
  }
  result_.files.push_back(
      {file.name, bytes.size(), "snapshot up to " + std::to_string(file.sequence), error});
  if (!result_.snapshot) {
    MarkCorrupt(file.name + ": " + error);
    ExcludeFile(file);
  }
  return {};
}

Status Examiner::ExamineSegments() {
  const Sequence last_replaced = result_.last_sequence();  // last record that the snapshot replaces
  for (std::size_t i = 0; i < segments_.size(); ++i) {
    const bool is_last = i + 1 == segments_.size();
    if (!is_last && segments_[i + 1].sequence <= last_replaced + 1) {
      result_.obsolete_files.push_back(segments_[i].name);
      continue;
    }
    if (Status status = ExamineSegment(segments_[i], is_last); !status.ok()) return status;
  }
  DropEmptyActiveSegment();
  return {};
}

Status Examiner::ExamineSegment(const NumberedFile& file, bool is_last) {
  std::string bytes;
  if (Status status = Read(file.name, kMaxSegmentBytes, bytes); !status.ok()) return status;
  Segment segment = ReadSegment(bytes, file.sequence);
  const Sequence last = file.sequence + segment.records.size() - 1;
  result_.highest_sequence = std::max(result_.highest_sequence, last);
  if (segment.first_sequence == 0 && !is_last) segment.corrupt = true;
  if (segment.first_sequence != 0 && segment.first_sequence != file.sequence) {
    segment.error = DescribeMismatch(segment.first_sequence, file.sequence);
    segment.corrupt = true;
    segment.records.clear();
  }
  ReportSegment(file, bytes.size(), segment);
  ApplySegment(file, std::move(segment), is_last);
  return {};
}

void Examiner::ReportSegment(const NumberedFile& file, std::size_t bytes, const Segment& segment) {
  Examination::FileReport report{file.name, bytes, "no records", ""};
  if (!segment.records.empty()) {
    report.description = "records " + std::to_string(file.sequence) + " to " +
                         std::to_string(file.sequence + segment.records.size() - 1);
  }
  if (!segment.error.empty()) {
    report.error = segment.error + " at byte " + std::to_string(segment.valid_bytes);
  }
  result_.files.push_back(std::move(report));
}

void Examiner::ApplySegment(const NumberedFile& file, Segment segment, bool is_last) {
  if (!log_intact_) return ExcludeFile(file);
  if (file.sequence > result_.last_sequence() + 1) {
    MarkCorrupt(file.name + ": records " + std::to_string(result_.last_sequence() + 1) + " to " +
                std::to_string(file.sequence - 1) + " are missing");
    log_intact_ = false;
    return ExcludeFile(file);
  }
  for (Record& record : segment.records) {
    if (record.sequence > result_.last_sequence()) result_.records.push_back(std::move(record));
  }
  result_.active_segment = file.sequence;
  // Only the last segment may end with a torn record, because each segment is synced before the next segment
  // is created.
  if (!segment.complete && (segment.corrupt || !is_last)) {
    MarkCorrupt(file.name + ": " + segment.error);
    log_intact_ = false;
    ExcludeFile(file);
  }
}

// If no record follows the snapshot, the last segment is obsolete: the next commit creates a new segment.
void Examiner::DropEmptyActiveSegment() {
  if (!result_.active_segment || !result_.records.empty()) return;
  if (result_.condition != StoreCondition::kCorrupt) {
    result_.obsolete_files.push_back(NumberedName(kLogStem, *result_.active_segment));
  }
  result_.active_segment.reset();
}

}  // namespace

Status Examine(FileSystem& files, const std::string& folder, const std::string& owner,
               Examination& examination) {
  examination = {};
  return Examiner(files, folder, examination).Run(owner);
}

}  // namespace gateway::storage
