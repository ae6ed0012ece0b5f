// src/store: what survives the process: an append-only log and snapshots, checked record by record, over a
// seam to the file system. Knows nothing of what the records mean. Uses src/base only.
//
// This seam holds all that the store asks of a file system, so that power loss, full disks and failing syncs
// can be played. Not thread-safe: one thread owns a store and all below it.
#ifndef GATEWAY_STORAGE_FILE_SYSTEM_HPP_
#define GATEWAY_STORAGE_FILE_SYSTEM_HPP_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace gateway::storage {

// An error with the path and the call that it came from; none by default.
struct [[nodiscard]] Status {
  std::error_code code;
  std::string what;
  bool ok() const { return !code && what.empty(); }
  std::string Text() const { return code ? what + ": " + code.message() : what; }
};

// A file that is open for appending; closed with its owner, unsynced.
class File {
 public:
  virtual ~File() = default;
  // Writes all, or says why not: then any part of it may have been written.
  virtual Status Append(std::string_view bytes) = 0;
  // What was appended is on the disk once this returns well. After an error nothing since the last good one
  // is.
  virtual Status Sync() = 0;
};

class FileSystem {
 public:
  virtual ~FileSystem() = default;
  // Makes the file, empty, whether or not there was one. Its name is sure only after SyncFolder().
  virtual Status Create(const std::string& path, std::unique_ptr<File>& file) = 0;
  // The whole file; an error if it holds more than `most` bytes.
  virtual Status Read(const std::string& path, std::uint64_t most, std::string& bytes) = 0;
  // In one step, over whatever stands there. Sure only after SyncFolder().
  virtual Status Rename(const std::string& from, const std::string& to) = 0;
  virtual Status Remove(const std::string& path) = 0;
  virtual Status SyncFolder(const std::string& folder) = 0;
  // The names in the folder, sorted; makes the folder where it is missing and `make` says so.
  virtual Status List(const std::string& folder, bool make, std::vector<std::string>& names) = 0;
  // Holds the file against every other process until the lock's end; an error at once if another holds it.
  class Lock {
   public:
    virtual ~Lock() = default;
  };
  virtual Status TakeLock(const std::string& path, std::unique_ptr<Lock>& lock) = 0;
};

// The machine's own. Calls block as long as the disk does.
std::unique_ptr<FileSystem> MakePosixFileSystem();

}  // namespace gateway::storage

#endif  // GATEWAY_STORAGE_FILE_SYSTEM_HPP_
