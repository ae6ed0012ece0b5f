// Brings a store's folder into a state in which the log can be continued.
#ifndef GATEWAY_STORAGE_RECOVERY_HPP_
#define GATEWAY_STORAGE_RECOVERY_HPP_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "storage/examination.hpp"
#include "storage/file_system.hpp"

namespace gateway::storage {

// The log of a store that is open.
struct LogState {
  Sequence durable = 0;           // the last sequence that is durable
  std::unique_ptr<File> segment;  // open for appending; null: the next commit creates one
  std::uint64_t segment_bytes = 0;
  std::uint64_t log_bytes = 0;     // of all segments
  std::vector<std::string> files;  // segments and snapshots, which the next snapshot replaces
};

// Leaves only what the examination found valid, and sets corrupt files aside. Writes the last segment again,
// because after a failed sync its pages may be in memory only, and a further sync would not write them.
// Repeating it after a crash gives the same. `log` must be empty. `owner` and `program` go into a new
// manifest.
Status Recover(FileSystem& files, const std::string& folder, const std::string& owner,
               const std::string& program, const Examination& found, LogState& log);

}  // namespace gateway::storage

#endif  // GATEWAY_STORAGE_RECOVERY_HPP_
