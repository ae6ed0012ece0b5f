// File system that injects faults, for tests and failure drills.
#ifndef GATEWAY_STORAGE_FAULTY_FILE_SYSTEM_HPP_
#define GATEWAY_STORAGE_FAULTY_FILE_SYSTEM_HPP_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

#include "storage/file_system.hpp"

namespace gateway::storage {

// Forwards calls to another file system unless the hook injects a fault.
class FaultyFileSystem : public FileSystem {
 public:
  enum class Call { kCreate, kAppend, kSync, kRead, kRename, kRemove, kSyncFolder, kList, kLock };
  // A fault that replaces the effect of a call. The default value injects no fault.
  struct Fault {
    std::error_code error;
    bool skip = false;              // reports success without making the call
    std::size_t partial_bytes = 0;  // number of bytes that a failing append writes before the error
  };
  // Invoked before each call. May block to simulate a slow disk.
  using Hook = std::function<Fault(Call call, const std::string& path)>;

  // `underlying` must outlive this object.
  FaultyFileSystem(FileSystem& underlying, Hook hook) : underlying_(underlying), hook_(std::move(hook)) {}

  Status Create(const std::string& path, std::unique_ptr<File>& file) override;
  Status Read(const std::string& path, std::uint64_t max_bytes, std::string& bytes) override;
  Status Rename(const std::string& from, const std::string& to) override;
  Status Remove(const std::string& path) override;
  Status SyncFolder(const std::string& folder) override;
  Status List(const std::string& folder, bool create_missing, std::vector<std::string>& names) override;
  Status AcquireLock(const std::string& path, std::unique_ptr<Lock>& lock) override;

 private:
  class FaultyFile;
  template <typename Forward>
  Status Run(Call call, const std::string& path, Forward forward);

  FileSystem& underlying_;
  const Hook hook_;
};

}  // namespace gateway::storage

#endif  // GATEWAY_STORAGE_FAULTY_FILE_SYSTEM_HPP_
