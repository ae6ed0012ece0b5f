// Atomic replacement of files.
#ifndef GATEWAY_STORAGE_ATOMIC_FILE_HPP_
#define GATEWAY_STORAGE_ATOMIC_FILE_HPP_

#include <memory>
#include <string>
#include <string_view>

#include "storage/file_system.hpp"

namespace gateway::storage {

// Writes the bytes to a temporary file, syncs this file, and renames it to `path`. After a crash, `path`
// holds either the old or the new content. The new content is guaranteed only after a sync of the folder. If
// `open_file` is not null, it is set to the new file, which is open for appending.
Status ReplaceFile(FileSystem& files, const std::string& path, std::string_view bytes,
                   std::unique_ptr<File>* open_file = nullptr);

}  // namespace gateway::storage

#endif  // GATEWAY_STORAGE_ATOMIC_FILE_HPP_
