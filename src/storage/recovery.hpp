// Prepares a store's folder so that new records can be appended to the log.
#ifndef GATEWAY_STORAGE_RECOVERY_HPP_
#define GATEWAY_STORAGE_RECOVERY_HPP_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "storage/examination.hpp"
#include "storage/file_system.hpp"

namespace gateway::storage {

// State of an open store's log.
struct LogState {
  Sequence durable_sequence = 0;  // sequence of the last durable record
  std::unique_ptr<File> segment;  // current segment, open for appending; if null, the next commit creates one
  std::uint64_t segment_bytes = 0;
  std::uint64_t log_bytes = 0;     // total size of all segments
  std::vector<std::string> files;  // segments and snapshots that the next snapshot replaces
};

// Prepares the folder. Removes obsolete files and renames corrupt files, so that only files that the
// examination found valid are used. Rewrites the last segment, because after a failed sync its pages may
// exist only in memory, and another sync would not write these pages. After a crash, recovery can be repeated
// with the same result. `log` must be empty. `owner` and `program` are stored if a new manifest is written.
Status Recover(FileSystem& files, const std::string& folder, const std::string& owner,
               const std::string& program, const Examination& examination, LogState& log);

}  // namespace gateway::storage

#endif  // GATEWAY_STORAGE_RECOVERY_HPP_
