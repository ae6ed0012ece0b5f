// A file system in memory that knows what a loss of power would leave, and one that fails on demand.
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

// Bytes are on the disk once their file is synced, names once their folder is; what a loss of power leaves of
// the rest is for the caller to choose. Folders are one deep and are there once they are listed with `make`.
class MemoryFileSystem : public FileSystem {
 public:
  Status Create(const std::string& path, std::unique_ptr<File>& file) override;
  Status Read(const std::string& path, std::uint64_t most, std::string& bytes) override;
  Status Rename(const std::string& from, const std::string& to) override;
  Status Remove(const std::string& path) override;
  Status SyncFolder(const std::string& folder) override;
  Status List(const std::string& folder, bool make, std::vector<std::string>& names) override;
  Status TakeLock(const std::string& path, std::unique_ptr<Lock>& lock) override;

  // What a loss of power leaves: of the changes of names that were not synced those that `keeps` says,
  // whatever their order, and of each file's unsynced bytes what `tail` makes of them. None: nothing of them.
  struct Loss {
    std::function<bool(std::size_t change)> keeps;
    std::function<std::string(std::string unsynced)> tail;
  };
  std::unique_ptr<MemoryFileSystem> AfterPowerLoss(const Loss& loss) const;
  // As it is: the process died, the machine did not.
  std::unique_ptr<MemoryFileSystem> AfterProcessDeath() const;

  // For tests that damage what is there.
  std::string* Bytes(const std::string& path);

 private:
  struct Node {
    std::string bytes;
    std::size_t synced = 0;  // how many of them are on the disk
  };
  using Names = std::map<std::string, std::shared_ptr<Node>>;
  class OpenFile;
  class HeldLock;
  void Change(std::function<void(Names&)> change);
  std::unique_ptr<MemoryFileSystem> Copy(const Names& names, const Loss* loss) const;

  Names names_, synced_names_;
  std::vector<std::function<void(Names&)>> pending_;  // changes of names that are not on the disk
  std::shared_ptr<std::set<std::string>> locks_ = std::make_shared<std::set<std::string>>();
};

// Passes calls on, but for those that the hook answers itself.
class FaultyFileSystem : public FileSystem {
 public:
  enum class Call { kCreate, kAppend, kSync, kRead, kRename, kRemove, kSyncFolder, kList, kLock };
  struct Verdict {
    std::error_code error;  // instead of the call
    bool skip = false;      // says that it was done, and does nothing
    std::size_t part = 0;   // of an append: so many bytes are written before the error
  };
  // Asked before each call, by its path; may also take its time, as a slow disk does.
  using Hook = std::function<Verdict(Call call, const std::string& path)>;

  FaultyFileSystem(FileSystem& below, Hook hook) : below_(below), hook_(std::move(hook)) {}

  Status Create(const std::string& path, std::unique_ptr<File>& file) override;
  Status Read(const std::string& path, std::uint64_t most, std::string& bytes) override;
  Status Rename(const std::string& from, const std::string& to) override;
  Status Remove(const std::string& path) override;
  Status SyncFolder(const std::string& folder) override;
  Status List(const std::string& folder, bool make, std::vector<std::string>& names) override;
  Status TakeLock(const std::string& path, std::unique_ptr<Lock>& lock) override;

 private:
  class FaultyFile;
  template <typename Through>
  Status Ask(Call call, const std::string& path, Through through);

  FileSystem& below_;
  const Hook hook_;
};

}  // namespace gateway::storage

#endif  // GATEWAY_STORAGE_MEMORY_FILE_SYSTEM_HPP_
