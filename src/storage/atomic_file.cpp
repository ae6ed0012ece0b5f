#include "storage/atomic_file.hpp"

#include <utility>

#include "storage/file_names.hpp"

namespace gateway::storage {

Status ReplaceFile(FileSystem& files, const std::string& path, std::string_view bytes,
                   std::unique_ptr<File>* open_file) {
  std::unique_ptr<File> file;
  const std::string temporary = path + std::string(kTemporarySuffix);
  if (Status status = files.Create(temporary, file); !status.ok()) return status;
  if (Status status = file->Append(bytes); !status.ok()) return status;
  if (Status status = file->Sync(); !status.ok()) return status;
  if (open_file != nullptr) *open_file = std::move(file);
  return files.Rename(temporary, path);
}

}  // namespace gateway::storage
