#include "storage/store.hpp"

#include <algorithm>

namespace gateway::storage {
namespace {

constexpr const char* kManifest = "MANIFEST";
constexpr const char* kLock = "LOCK";
constexpr std::string_view kLogStem = "log";
constexpr std::string_view kSnapshotStem = "snapshot";
constexpr std::string_view kTemporary = ".new";
constexpr std::string_view kAside = "damaged-";
constexpr std::uint64_t kMostManifest = 64 << 10;

// The names of one kind, by their sequence.
std::vector<std::pair<Sequence, std::string>> Named(const std::vector<std::string>& names,
                                                    std::string_view stem) {
  std::vector<std::pair<Sequence, std::string>> found;
  for (const std::string& name : names) {
    if (const auto sequence = ParseFileName(stem, name)) found.emplace_back(*sequence, name);
  }
  return found;  // names sort as their numbers do
}

class Examiner {
 public:
  Examiner(FileSystem& files, const std::string& folder, Examination& to)
      : files_(files), folder_(folder), to_(to) {}

  Status Run(const std::string& owner) {
    std::vector<std::string> names;
    if (Status status = files_.List(folder_, /*make=*/false, names); !status.ok()) return status;
    const auto snapshots = Named(names, kSnapshotStem), segments = Named(names, kLogStem);
    for (const std::string& name : names) {
      if (name.ends_with(kTemporary)) to_.spent.push_back(name);
    }
    if (std::find(names.begin(), names.end(), kManifest) == names.end()) {
      // It is on the disk before any other file is begun.
      if (snapshots.empty() && segments.empty()) return {};
      for (const auto* kind : {&snapshots, &segments}) {
        for (const auto& [sequence, name] : *kind) Aside(name, sequence);
      }
      Damage("there are files of a state, but no manifest");
      return {};
    }
    if (Status status = ReadTheManifest(owner); !status.ok()) return status;
    if (to_.found == Found::kForeign) return {};
    if (to_.found == Found::kDamaged) {
      for (const auto* kind : {&snapshots, &segments}) {
        for (const auto& [sequence, name] : *kind) Aside(name, sequence);
      }
      return {};
    }
    to_.found = Found::kWhole;
    if (Status status = ReadSnapshots(snapshots); !status.ok()) return status;
    return ReadSegments(segments);
  }

 private:
  void Damage(const std::string& why) {
    if (to_.found != Found::kDamaged) to_.why = why;
    to_.found = Found::kDamaged;
  }
  void Aside(const std::string& name, Sequence sequence) {
    to_.aside.push_back(name);
    to_.highest = std::max(to_.highest, sequence);
  }
  Status Read(const std::string& name, std::uint64_t most, std::string& bytes) {
    return files_.Read(folder_ + "/" + name, most, bytes);
  }

  Status ReadTheManifest(const std::string& owner) {
    std::string bytes, why;
    if (Status status = Read(kManifest, kMostManifest, bytes); !status.ok()) return status;
    to_.manifest = ReadManifest(bytes, why);
    to_.files.push_back({kManifest, bytes.size(), "manifest", why});
    if (!to_.manifest) {
      Damage("the manifest: " + why);
    } else if (to_.manifest->format > kFormat) {
      to_.found = Found::kForeign;
      to_.why = "it is of format " + std::to_string(to_.manifest->format) + ", this program reads up to " +
                std::to_string(kFormat);
    } else if (!owner.empty() && to_.manifest->owner != owner) {
      to_.found = Found::kForeign;
      to_.why = "it belongs to '" + to_.manifest->owner + "', not to '" + owner + "'";
    } else {
      to_.begin = to_.manifest->begin;
    }
    return {};
  }

  // The newest that is whole. One that is not was whole once, for it got its name only then.
  Status ReadSnapshots(const std::vector<std::pair<Sequence, std::string>>& snapshots) {
    for (auto at = snapshots.rbegin(); at != snapshots.rend(); ++at) {
      const auto& [sequence, name] = *at;
      to_.highest = std::max(to_.highest, sequence);
      if (to_.snapshot) {
        to_.spent.push_back(name);
        continue;
      }
      std::string bytes, why;
      if (Status status = Read(name, kMostSnapshot, bytes); !status.ok()) return status;
      to_.snapshot = ReadSnapshot(bytes, why);
      if (to_.snapshot && to_.snapshot->sequence != sequence) {
        why = "it is another's, by its name";
        to_.snapshot.reset();
      }
      to_.files.push_back({name, bytes.size(), "snapshot up to " + std::to_string(sequence), why});
      if (to_.snapshot) continue;
      Damage(name + ": " + why);
      Aside(name, sequence);
    }
    return {};
  }

  Status ReadSegments(const std::vector<std::pair<Sequence, std::string>>& segments) {
    const Sequence covered = to_.last();
    bool believed = true;  // so far
    for (std::size_t i = 0; i < segments.size(); ++i) {
      const auto& [first, name] = segments[i];
      const bool is_last = i + 1 == segments.size();
      if (!is_last && segments[i + 1].first <= covered + 1) {  // the next one begins within what is covered
        to_.spent.push_back(name);
        continue;
      }
      std::string bytes;
      if (Status status = Read(name, kMostSegment, bytes); !status.ok()) return status;
      Segment segment = ReadSegment(bytes, first);
      const std::size_t count = segment.records.size();
      to_.highest = std::max(to_.highest, count == 0 ? first - 1 : first + count - 1);
      if (segment.first == 0 && !is_last) segment.damaged = true;
      if (segment.first != 0 && segment.first != first) {
        segment.why = "it is another's, by its name";
        segment.damaged = true;
        segment.records.clear();
      }
      to_.files.push_back(
          {name, bytes.size(),
           segment.records.empty() ? "no record"
                                   : "records " + std::to_string(first) + " to " +
                                         std::to_string(first + segment.records.size() - 1),
           segment.why.empty() ? "" : segment.why + ", at byte " + std::to_string(segment.good_bytes)});
      if (!believed) {
        Aside(name, first);
        continue;
      }
      if (first > to_.last() + 1) {
        Damage(name + ": records " + std::to_string(to_.last() + 1) + " to " + std::to_string(first - 1) +
               " are missing");
        believed = false;
        Aside(name, first);
        continue;
      }
      for (Record& record : segment.records) {
        if (record.sequence > to_.last()) to_.records.push_back(std::move(record));
      }
      to_.open_first = first;
      // Only the last segment may end in what was not synced: a next one is begun after a sync.
      if (!segment.whole && (segment.damaged || !is_last)) {
        Damage(name + ": " + segment.why);
        believed = false;
        Aside(name, first);
      }
    }
    // A last segment with nothing behind the snapshot.
    if (to_.open_first && to_.records.empty()) {
      if (to_.found != Found::kDamaged) to_.spent.push_back(FileName(kLogStem, *to_.open_first));
      to_.open_first.reset();
    }
    return {};
  }

  FileSystem& files_;
  const std::string& folder_;
  Examination& to_;
};

}  // namespace

Status Examine(FileSystem& files, const std::string& folder, const std::string& owner,
               Examination& examination) {
  examination = {};
  return Examiner(files, folder, examination).Run(owner);
}

Status Store::Open(FileSystem& files, const std::string& folder, const StoreOptions& options,
                   std::unique_ptr<Store>& store, Examination& examination) {
  std::vector<std::string> names;
  if (Status status = files.List(folder, /*make=*/true, names); !status.ok()) return status;
  std::unique_ptr<Store> opened(new Store(files, folder, options));
  if (Status status = files.TakeLock(folder + "/" + kLock, opened->lock_); !status.ok()) return status;
  if (Status status = Examine(files, folder, options.owner, examination); !status.ok()) return status;
  if (examination.found == Found::kForeign) return {{}, folder + ": " + examination.why};
  if (examination.found == Found::kDamaged && !options.begin_after_damage) {
    return {{}, folder + ": " + examination.why};
  }
  if (Status status = opened->Recover(examination); !status.ok()) return status;
  store = std::move(opened);
  return {};
}

// Leaves only what is believed. What the last segment holds is written anew, for it may stand in the kernel's
// memory alone, and a sync of it after one that failed would tell nothing.
Status Store::Recover(const Examination& found) {
  const bool damaged = found.found == Found::kDamaged;
  for (const std::string& name : found.aside) {
    if (Status status = files_.Rename(Path(name), Path(std::string(kAside) + name)); !status.ok())
      return status;
  }
  for (const std::string& name : found.spent) {
    if (Status status = files_.Remove(Path(name)); !status.ok()) return status;
  }
  durable_ = found.last();
  const bool nothing = !found.snapshot && found.records.empty();
  // Sequences that were given once are not given again.
  Manifest manifest{kFormat, options_.owner, options_.program, found.begin};
  if (damaged && nothing) {
    durable_ = std::max(durable_, found.highest);
    manifest.begin = durable_ + 1;
  }
  if (found.found == Found::kNothing || (damaged && (nothing || !found.manifest))) {
    if (Status status = Replace(kManifest, WriteManifest(manifest)); !status.ok()) return status;
  }
  next_ = durable_ + 1;
  if (!found.records.empty()) {
    // Records of earlier segments stay where they are.
    const Sequence first = std::max(*found.open_first, found.records.front().sequence);
    std::string bytes = SegmentHeader(first);
    for (const Record& record : found.records) {
      if (record.sequence >= first) AppendRecord(bytes, record, first - 1);
    }
    const std::string name = FileName(kLogStem, first);
    if (Status status = Replace(name, bytes, &segment_); !status.ok()) return status;
    if (first != *found.open_first && !damaged) {
      if (Status status = files_.Remove(Path(FileName(kLogStem, *found.open_first))); !status.ok())
        return status;
    }
    segment_bytes_ = bytes.size();
    old_files_.push_back(name);
  }
  std::vector<std::string> names;
  if (Status status = files_.SyncFolder(folder_); !status.ok()) return status;
  if (Status status = files_.List(folder_, /*make=*/false, names); !status.ok()) return status;
  for (const auto& stem : {kLogStem, kSnapshotStem}) {
    for (const auto& [sequence, name] : Named(names, stem)) {
      if (std::find(old_files_.begin(), old_files_.end(), name) == old_files_.end())
        old_files_.push_back(name);
    }
  }
  for (const auto& note : found.files) {
    if (ParseFileName(kLogStem, note.name)) log_bytes_ += note.bytes;
  }
  return {};
}

Status Store::Replace(const std::string& name, std::string_view bytes, std::unique_ptr<File>* keep) {
  std::unique_ptr<File> file;
  const std::string fresh = Path(name + std::string(kTemporary));
  if (Status status = files_.Create(fresh, file); !status.ok()) return status;
  if (Status status = file->Append(bytes); !status.ok()) return status;
  if (Status status = file->Sync(); !status.ok()) return status;
  if (keep != nullptr) *keep = std::move(file);
  return files_.Rename(fresh, Path(name));
}

Status Store::Fail(Status status) {
  error_ = std::move(status);
  segment_.reset();
  pending_.clear();
  return error_;
}

Sequence Store::Append(std::uint16_t kind, std::uint16_t version, std::string_view payload) {
  if (read_only() || payload.size() > kMostPayload) return 0;
  if (log_bytes_ + pending_.size() + payload.size() > options_.most_bytes) return 0;
  AppendRecord(pending_, {next_, kind, version, std::string(payload)}, durable_);
  return next_++;
}

Status Store::BeginSegment() {
  const std::string name = FileName(kLogStem, durable_ + 1);
  if (Status status = files_.Create(Path(name), segment_); !status.ok()) return status;
  old_files_.push_back(name);
  folder_unsynced_ = true;
  const std::string header = SegmentHeader(durable_ + 1);
  segment_bytes_ = header.size();
  log_bytes_ += header.size();
  return segment_->Append(header);
}

Status Store::Commit() {
  if (read_only()) return error_;
  if (pending_.empty()) return {};
  if (!segment_ || segment_bytes_ > options_.segment_bytes) {
    if (Status status = BeginSegment(); !status.ok()) return Fail(status);
  }
  if (Status status = segment_->Append(pending_); !status.ok()) return Fail(status);
  if (Status status = segment_->Sync(); !status.ok()) return Fail(status);
  if (folder_unsynced_) {
    if (Status status = files_.SyncFolder(folder_); !status.ok()) return Fail(status);
    folder_unsynced_ = false;
  }
  segment_bytes_ += pending_.size();
  log_bytes_ += pending_.size();
  pending_.clear();
  durable_ = next_ - 1;
  return {};
}

Status Store::TakeSnapshot(std::uint16_t version, std::string_view payload) {
  if (Status status = Commit(); !status.ok()) return status;
  const std::string name = FileName(kSnapshotStem, durable_);
  const std::string bytes = WriteSnapshot({durable_, version, std::string(payload)});
  if (bytes.size() > kMostSnapshot)
    return {{}, "a snapshot of " + std::to_string(bytes.size()) + " bytes is too long"};
  if (Status status = Replace(name, bytes); !status.ok()) return Fail(status);
  if (Status status = files_.SyncFolder(folder_); !status.ok()) return Fail(status);
  segment_.reset();  // the next record begins a new one
  segment_bytes_ = log_bytes_ = 0;
  for (const std::string& old : std::exchange(old_files_, {name})) {
    if (old == name) continue;
    if (Status status = files_.Remove(Path(old)); !status.ok()) return Fail(status);
  }
  return {};
}

}  // namespace gateway::storage
