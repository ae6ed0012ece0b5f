// What a store needs of a file system. An interface, so that tests can simulate power loss, full disks and
// failing syncs. Not thread-safe: one thread owns a store and the file system that it uses.
#ifndef GATEWAY_STORAGE_FILE_SYSTEM_HPP_
#define GATEWAY_STORAGE_FILE_SYSTEM_HPP_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace gateway::storage {

// Success by default, else an error.
struct [[nodiscard]] Status {
  std::error_code code;  // of the system call; none for errors of other kinds
  std::string what;      // the call and its path, or the whole error where there is no code
  bool ok() const { return !code && what.empty(); }
  std::string Text() const { return code ? what + ": " + code.message() : what; }
};

// A file that is open for appending. Closed, without a sync, on destruction.
class File {
 public:
  virtual ~File() = default;
  // Writes all bytes. After an error any part of them may have been written.
  virtual Status Append(std::string_view bytes) = 0;
  // Makes all that was appended durable. After an error, nothing since the last successful sync may be
  // durable.
  virtual Status Sync() = 0;
};

class FileSystem {
 public:
  virtual ~FileSystem() = default;
  // Creates an empty file, or empties the one that is there. The name is durable only after SyncFolder().
  virtual Status Create(const std::string& path, std::unique_ptr<File>& file) = 0;
  // Reads the complete file. An error if it holds more than `max_bytes`.
  virtual Status Read(const std::string& path, std::uint64_t max_bytes, std::string& bytes) = 0;
  // Replaces `to` atomically. Durable only after SyncFolder().
  virtual Status Rename(const std::string& from, const std::string& to) = 0;
  virtual Status Remove(const std::string& path) = 0;
  // Makes all changes of names in the folder durable.
  virtual Status SyncFolder(const std::string& folder) = 0;
  // Gets the names in the folder, sorted. Creates a missing folder if `make` is set.
  virtual Status List(const std::string& folder, bool make, std::vector<std::string>& names) = 0;
  // Held until its destruction.
  class Lock {
   public:
    virtual ~Lock() = default;
  };
  // Locks the file against every other process. Does not wait: an error if another process holds the lock.
  virtual Status TakeLock(const std::string& path, std::unique_ptr<Lock>& lock) = 0;
};

// The file system of the machine. Calls block as long as the disk does.
std::unique_ptr<FileSystem> MakePosixFileSystem();

}  // namespace gateway::storage

#endif  // GATEWAY_STORAGE_FILE_SYSTEM_HPP_
