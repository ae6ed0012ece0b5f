// Finds out what a store's folder holds, without writing to it.
#ifndef GATEWAY_STORAGE_EXAMINATION_HPP_
#define GATEWAY_STORAGE_EXAMINATION_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "storage/file_system.hpp"
#include "storage/manifest.hpp"
#include "storage/segment.hpp"
#include "storage/snapshot.hpp"

namespace gateway::storage {

enum class StoreCondition {
  kEmpty,               // no state yet
  kComplete,            // all of it; a torn record at the end of the log is dropped, as after a loss of power
  kCorrupt,             // something durable is missing or invalid: nothing after it is used
  kOtherOwner,          // not to be changed
  kUnsupportedVersion,  // of a newer program: not to be changed
};

struct Examination {
  StoreCondition condition = StoreCondition::kEmpty;
  std::optional<Manifest> manifest;
  std::optional<Snapshot> snapshot;  // the newest valid one
  std::vector<Record> records;       // after the snapshot, contiguous
  std::string error;                 // why the store is corrupt or not to be changed; else empty

  struct FileReport {
    std::string name;
    std::uint64_t bytes = 0;
    std::string description;  // what it holds
    std::string error;        // what is invalid in it; else empty
  };
  std::vector<FileReport> files;

  // For recovery.
  Sequence first_sequence = 1;             // of the store
  Sequence highest_sequence = 0;           // in the name or header of any file, valid or not
  std::optional<Sequence> active_segment;  // the segment in which `records` end
  std::vector<std::string> obsolete_files;
  std::vector<std::string> corrupt_files;  // and those after them, which are not used

  // The last sequence that is recovered.
  Sequence last() const {
    if (!records.empty()) return records.back().sequence;
    return snapshot ? snapshot->sequence : first_sequence - 1;
  }
  // Whether another owner or a newer program wrote the store.
  bool is_foreign() const {
    return condition == StoreCondition::kOtherOwner || condition == StoreCondition::kUnsupportedVersion;
  }
};

// Fills `examination`. `owner` empty: a store of any owner. The status is an error only if the folder or a
// file can't be read.
Status Examine(FileSystem& files, const std::string& folder, const std::string& owner,
               Examination& examination);

}  // namespace gateway::storage

#endif  // GATEWAY_STORAGE_EXAMINATION_HPP_
