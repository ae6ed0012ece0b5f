// Names of the files in a store's folder.
#ifndef GATEWAY_STORAGE_FILE_NAMES_HPP_
#define GATEWAY_STORAGE_FILE_NAMES_HPP_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "storage/segment.hpp"

namespace gateway::storage {

inline constexpr const char* kManifestName = "MANIFEST";
inline constexpr const char* kLockName = "LOCK";
inline constexpr std::string_view kLogStem = "log";            // segments, numbered by their first record
inline constexpr std::string_view kSnapshotStem = "snapshot";  // numbered by the last record that it replaces
inline constexpr std::string_view kTemporarySuffix = ".new";   // marks files that are being written
inline constexpr std::string_view kCorruptPrefix = "damaged-";  // marks corrupt files that were quarantined

// Returns the file name for a sequence, such as "log-0000000000000001".
std::string NumberedName(std::string_view stem, Sequence sequence);
// Returns the sequence in a file name that NumberedName() returned for this stem. Returns std::nullopt for
// any other name.
std::optional<Sequence> ParseNumberedName(std::string_view stem, std::string_view name);

struct NumberedFile {
  Sequence sequence = 0;
  std::string name;
};
// Returns the files with this stem in the order of their sequences. `names` must be sorted.
std::vector<NumberedFile> FindNumberedFiles(const std::vector<std::string>& names, std::string_view stem);

}  // namespace gateway::storage

#endif  // GATEWAY_STORAGE_FILE_NAMES_HPP_
