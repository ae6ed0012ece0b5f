// In-memory file system that simulates power loss.
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

// Bytes become durable when their file is synced, and file names when their folder is synced. The caller
// chooses which unsynced changes survive a power loss. Folders are one level deep and need not be created.
class MemoryFileSystem : public FileSystem {
 public:
  Status Create(const std::string& path, std::unique_ptr<File>& file) override;
  Status Read(const std::string& path, std::uint64_t max_bytes, std::string& bytes) override;
  Status Rename(const std::string& from, const std::string& to) override;
  Status Remove(const std::string& path) override;
  Status SyncFolder(const std::string& folder) override;
  Status List(const std::string& folder, bool create_missing, std::vector<std::string>& names) override;
  Status AcquireLock(const std::string& path, std::unique_ptr<Lock>& lock) override;

  // Chooses which unsynced changes survive a power loss. An empty function keeps none.
  struct PowerLoss {
    // Returns whether an unsynced creation, renaming or removal of a file survives. `change` is its index.
    std::function<bool(std::size_t change)> keeps_change;
    // Returns the bytes that replace the unsynced bytes of a file.
    std::function<std::string(std::string unsynced)> surviving_tail;
  };
  // Returns a copy of the file system after a power loss.
  std::unique_ptr<MemoryFileSystem> AfterPowerLoss(const PowerLoss& loss) const;
  // Returns a copy of the file system after the death of the process, while the machine keeps running.
  std::unique_ptr<MemoryFileSystem> AfterProcessDeath() const;

  // Returns the content of a file, which tests may modify to corrupt it, or null if the file does not exist.
  std::string* Content(const std::string& path);

 private:
  struct Node {
    std::string bytes;
    std::size_t synced = 0;  // number of durable bytes
  };
  using Names = std::map<std::string, std::shared_ptr<Node>>;
  class OpenFile;
  class HeldLock;
  void ApplyChange(std::function<void(Names&)> change);
  std::unique_ptr<MemoryFileSystem> Copy(const Names& names, const PowerLoss* loss) const;

  Names names_;
  Names synced_names_;
  std::vector<std::function<void(Names&)>> pending_changes_;  // unsynced changes of file names, oldest first
  std::shared_ptr<std::set<std::string>> locks_ = std::make_shared<std::set<std::string>>();
};

}  // namespace gateway::storage

#endif  // GATEWAY_STORAGE_MEMORY_FILE_SYSTEM_HPP_
