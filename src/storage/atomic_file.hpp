// Replaces files atomically.
#ifndef GATEWAY_STORAGE_ATOMIC_FILE_HPP_
#define GATEWAY_STORAGE_ATOMIC_FILE_HPP_

#include <memory>
#include <string>
#include <string_view>

#include "storage/file_system.hpp"

namespace gateway::storage {

// Writes the bytes to a temporary file, syncs it, and renames it to `path`. After a crash `path` is the old
// file or the new one; it is surely the new one only after a sync of the folder. `open_file`, if not null,
// gets the file, open for appending.
Status ReplaceFile(FileSystem& files, const std::string& path, std::string_view bytes,
                   std::unique_ptr<File>* open_file = nullptr);

}  // namespace gateway::storage

#endif  // GATEWAY_STORAGE_ATOMIC_FILE_HPP_
