// File system interface of the store. Tests use their own implementations to simulate power loss, full disks
// and failing syncs. Not thread-safe: a single thread owns a store and its file system.
#ifndef GATEWAY_STORAGE_FILE_SYSTEM_HPP_
#define GATEWAY_STORAGE_FILE_SYSTEM_HPP_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace gateway::storage {

// Result of an operation. The default value is success.
struct [[nodiscard]] Status {
  std::error_code code;  // set if a system call failed
  std::string what;      // if `code` is set: the failed call and its path; otherwise the complete message
  bool ok() const { return !code && what.empty(); }
  std::string Text() const { return code ? what + ": " + code.message() : what; }
};

// A file that is open for appending. The destructor closes it without a sync.
class File {
 public:
  virtual ~File() = default;
  // Appends all bytes. After an error, any part of the bytes may have been written.
  virtual Status Append(std::string_view bytes) = 0;
  // Makes all appended bytes durable. After an error, the bytes since the last successful sync may be lost.
  virtual Status Sync() = 0;
};

class FileSystem {
 public:
  virtual ~FileSystem() = default;
  // Creates an empty file, or truncates an existing one. The name is durable only after SyncFolder().
  virtual Status Create(const std::string& path, std::unique_ptr<File>& file) = 0;
  // Reads the complete file. Fails if it is larger than `max_bytes`.
  virtual Status Read(const std::string& path, std::uint64_t max_bytes, std::string& bytes) = 0;
  // Replaces `to` atomically. The change is durable only after SyncFolder().
  virtual Status Rename(const std::string& from, const std::string& to) = 0;
  virtual Status Remove(const std::string& path) = 0;
  // Makes all created, renamed and removed names in the folder durable.
  virtual Status SyncFolder(const std::string& folder) = 0;
  // Lists the names of the files in the folder, sorted. If `create_missing` is set, creates a missing folder.
  virtual Status List(const std::string& folder, bool create_missing, std::vector<std::string>& names) = 0;
  // Releases the lock on destruction.
  class Lock {
   public:
    virtual ~Lock() = default;
  };
  // Acquires an exclusive lock on the file. Fails without waiting if another process holds the lock.
  virtual Status AcquireLock(const std::string& path, std::unique_ptr<Lock>& lock) = 0;
};

// Returns the file system of the operating system. Its calls block until the disk has completed them.
std::unique_ptr<FileSystem> MakePosixFileSystem();

}  // namespace gateway::storage

#endif  // GATEWAY_STORAGE_FILE_SYSTEM_HPP_
