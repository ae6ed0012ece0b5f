// A file system in memory that simulates loss of power.
#ifndef GATEWAY_STORAGE_MEMORY_FILE_SYSTEM_HPP_
#define GATEWAY_STORAGE_MEMORY_FILE_SYSTEM_HPP_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "storage/file_system.hpp"

namespace gateway::storage {

// Bytes are durable once their file is synced, names once their folder is; the caller chooses what a loss of
// power leaves of the rest. Folders are one level deep and need not be created.
class MemoryFileSystem : public FileSystem {
 public:
  Status Create(const std::string& path, std::unique_ptr<File>& file) override;
  Status Read(const std::string& path, std::uint64_t max_bytes, std::string& bytes) override;
  Status Rename(const std::string& from, const std::string& to) override;
  Status Remove(const std::string& path) override;
  Status SyncFolder(const std::string& folder) override;
  Status List(const std::string& folder, bool make, std::vector<std::string>& names) override;
  Status TakeLock(const std::string& path, std::unique_ptr<Lock>& lock) override;

  // What a loss of power leaves of what was not synced. An empty function leaves nothing.
  struct Loss {
    std::function<bool(std::size_t change)> keeps;  // whether it keeps this change of a name
    std::function<std::string(std::string unsynced)>
        tail;  // the bytes that it leaves of a file's unsynced ones
  };
  // A copy, as it is after the machine lost power.
  std::unique_ptr<MemoryFileSystem> AfterPowerLoss(const Loss& loss) const;
  // A copy, as it is after the process died and the machine did not.
  std::unique_ptr<MemoryFileSystem> AfterProcessDeath() const;

  // The content of a file, so that tests can corrupt it; null if there is none.
  std::string* Content(const std::string& path);

 private:
  struct Node {
    std::string bytes;
    std::size_t synced = 0;  // how many of them are durable
  };
  using Names = std::map<std::string, std::shared_ptr<Node>>;
  class OpenFile;
  class HeldLock;
  void Change(std::function<void(Names&)> change);
  std::unique_ptr<MemoryFileSystem> Copy(const Names& names, const Loss* loss) const;

  Names names_;
  Names synced_names_;
  std::vector<std::function<void(Names&)>> pending_;  // changes of names that are not durable
  std::shared_ptr<std::set<std::string>> locks_ = std::make_shared<std::set<std::string>>();
};

}  // namespace gateway::storage

#endif  // GATEWAY_STORAGE_MEMORY_FILE_SYSTEM_HPP_
