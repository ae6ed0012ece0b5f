// Store of records in a folder: a write-ahead log with snapshots. Records that Commit() has acknowledged
// survive crashes and power loss. The store does not interpret the records.
#ifndef GATEWAY_STORAGE_STORE_HPP_
#define GATEWAY_STORAGE_STORE_HPP_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "storage/examination.hpp"
#include "storage/file_system.hpp"
#include "storage/recovery.hpp"
#include "storage/segment.hpp"

namespace gateway::storage {

struct StoreOptions {
  std::string owner;                          // a single line; a store of another owner is not opened
  std::string program;                        // a single line: version of the program
  std::uint64_t max_segment_bytes = 1 << 20;  // a new segment is created once a segment exceeds this size
  std::uint64_t max_log_bytes = 16 << 20;     // limit for all segments; if reached, a snapshot is needed
  bool open_corrupt = false;                  // whether to open a corrupt store; only its valid data is used
};

// Not thread-safe. Calls block until the disk has completed them. After a failed call to the file system, the
// store is read-only. When the store is opened again, records that were not acknowledged may or may not
// exist. A failed sync is not retried, because the kernel may already have marked the lost pages as clean.
class Store {
 public:
  // Creates the folder if it is missing, locks it and recovers its content. Sets `examination` to the content
  // of the folder, even if the store must not be opened. `files` must outlive the store.
  static Status Open(FileSystem& files, const std::string& folder, const StoreOptions& options,
                     std::unique_ptr<Store>& store, Examination& examination);

  // Adds a record to the next commit. Returns its sequence, or 0 if the log is full until the next snapshot,
  // the payload is too long, or the store is read-only.
  Sequence Append(std::uint16_t kind, std::uint16_t version, std::string_view payload);
  // Makes all appended records durable, with one write and one sync.
  Status Commit();
  // Commits, replaces all records by the snapshot, and removes the files of these records.
  Status TakeSnapshot(std::uint16_t version, std::string_view payload);

  // Returns the sequence of the last durable record.
  Sequence durable_sequence() const { return log_.durable_sequence; }
  // Returns the total size of all segments since the last snapshot.
  std::uint64_t log_bytes() const { return log_.log_bytes; }
  bool read_only() const { return !error_.ok(); }
  // Returns the error that made the store read-only.
  const Status& error() const { return error_; }

 private:
  Store(FileSystem& files, std::string folder, StoreOptions options);

  std::string Path(const std::string& name) const { return folder_ + "/" + name; }
  Status CreateSegment();
  Status WritePending();
  Status WriteSnapshot(const std::string& name, std::string_view bytes);
  Status RemoveReplacedFiles(const std::string& snapshot_name);
  Status Fail(Status status);

  FileSystem& files_;
  const std::string folder_;
  const StoreOptions options_;
  std::unique_ptr<FileSystem::Lock> lock_;
  LogState log_;
  bool folder_needs_sync_ = false;  // true if a segment was created after the last sync of the folder
  std::string pending_;             // encoded records of the next commit
  Sequence next_sequence_ = 1;
  Status error_;
};

}  // namespace gateway::storage

#endif  // GATEWAY_STORAGE_STORE_HPP_
