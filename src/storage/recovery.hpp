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
  Sequence durable = 0;           // last durable sequence
  std::unique_ptr<File> segment;  // open for appending; if null, the next commit creates a segment
  std::uint64_t segment_bytes = 0;
  std::uint64_t log_bytes = 0;     // total size of all segments
  std::vector<std::string> files;  // segments and snapshots that the next snapshot replaces
};

// Removes obsolete files and renames corrupt files, so that only the files that the examination found valid
// are used. Rewrites the last segment, because after a failed sync its pages may exist only in memory, and
// another sync would not write them. Recovery can be repeated after a crash with the same result. `log` must
// be empty. `owner` and `program` are written to a new manifest.
Status Recover(FileSystem& files, const std::string& folder, const std::string& owner,
               const std::string& program, const Examination& examination, LogState& log);

}  // namespace gateway::storage

#endif  // GATEWAY_STORAGE_RECOVERY_HPP_
