// Determines the content and the condition of a store's folder without writing to it.
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
  kEmpty,  // nothing has been stored yet
  // All durable data is valid. A power loss may have left a torn record at the end of the log, which is
  // dropped.
  kComplete,
  kCorrupt,             // durable data is missing or invalid; records after it are not used
  kOtherOwner,          // written by another owner; must not be modified
  kUnsupportedVersion,  // written by a newer program; must not be modified
};

struct Examination {
  StoreCondition condition = StoreCondition::kEmpty;
  std::optional<Manifest> manifest;
  std::optional<Snapshot> snapshot;  // the newest valid snapshot
  std::vector<Record> records;       // contiguous records after the snapshot
  std::string error;  // why the store is corrupt or must not be modified; empty if neither applies

  struct FileReport {
    std::string name;
    std::uint64_t bytes = 0;
    std::string description;  // the content in words, such as "records 1 to 30"
    std::string error;        // why the file is invalid; empty if it is valid
  };
  std::vector<FileReport> files;

  // Used by recovery.
  Sequence first_sequence = 1;             // sequence of the store's first record
  Sequence highest_sequence = 0;           // highest sequence in any file, including corrupt files
  std::optional<Sequence> active_segment;  // first sequence of the segment that contains the last record
  std::vector<std::string> obsolete_files;
  std::vector<std::string> corrupt_files;  // includes valid files that must not be used

  // Returns the sequence of the last recovered record.
  Sequence last_sequence() const {
    if (!records.empty()) return records.back().sequence;
    return snapshot ? snapshot->sequence : first_sequence - 1;
  }
  // Returns whether another owner or a newer program wrote the store.
  bool must_not_be_modified() const {
    return condition == StoreCondition::kOtherOwner || condition == StoreCondition::kUnsupportedVersion;
  }
};

// Examines the folder and fills `examination`. If `owner` is empty, a store of any owner is accepted. Returns
// an error only if the folder or a file cannot be read.
Status Examine(FileSystem& files, const std::string& folder, const std::string& owner,
               Examination& examination);

}  // namespace gateway::storage

#endif  // GATEWAY_STORAGE_EXAMINATION_HPP_
