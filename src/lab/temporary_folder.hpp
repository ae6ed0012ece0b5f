// A temporary folder that is removed on destruction.
#ifndef GATEWAY_LAB_TEMPORARY_FOLDER_HPP_
#define GATEWAY_LAB_TEMPORARY_FOLDER_HPP_

#include <stdlib.h>

#include <filesystem>
#include <stdexcept>
#include <string>

namespace gateway::lab {

// Creates an empty folder in the system's folder for temporary files. The destructor removes it with its
// content. The constructor throws std::runtime_error if the folder can't be created.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string path = (std::filesystem::temp_directory_path() / "elderhead-lab-XXXXXX").string();
    if (mkdtemp(path.data()) == nullptr)
      throw std::runtime_error("can't create a temporary folder with the template " + path);
    path_ = path;
  }
  ~TemporaryFolder() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  const std::filesystem::path& path() const { return path_; }

 private:
  std::filesystem::path path_;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_TEMPORARY_FOLDER_HPP_
