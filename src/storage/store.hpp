// A store: a write-ahead log with snapshots in one folder. What Commit() has acknowledged survives any crash
// and loss of power. The store does not know what the records mean.
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
  std::string owner;                          // one line; a store of another owner is not opened
  std::string program;                        // one line; version of the program
  std::uint64_t max_segment_bytes = 1 << 20;  // a longer segment is followed by a new one
  std::uint64_t max_log_bytes = 16 << 20;     // of all segments; beyond it only a snapshot makes room
  bool open_corrupt = false;                  // else a corrupt store is not opened
};

// Not thread-safe; calls block as long as the disk does. After any error the store is read-only: records that
// were not acknowledged may or may not be there when it is opened again. A failed sync is not repeated,
// because the kernel may regard the lost pages as written.
class Store {
 public:
  // Recovers the folder and locks it; creates it if it is missing. `found` gets what was in it, also where
  // the store is not opened. `files` must outlive the store.
  static Status Open(FileSystem& files, const std::string& folder, const StoreOptions& options,
                     std::unique_ptr<Store>& store, Examination& found);

  // Adds a record to the next commit. Returns its sequence, or 0: the log is full until a snapshot, the
  // payload is too long, or the store is read-only.
  Sequence Append(std::uint16_t kind, std::uint16_t version, std::string_view payload);
  // Makes all appended records durable, with one write and one sync.
  Status Commit();
  // Commits, then replaces all records so far by the snapshot, and removes their files.
  Status TakeSnapshot(std::uint16_t version, std::string_view payload);

  // The last sequence that is durable.
  Sequence durable() const { return log_.durable; }
  // Bytes of all segments since the last snapshot.
  std::uint64_t log_bytes() const { return log_.log_bytes; }
  bool read_only() const { return !error_.ok(); }
  // The error that made the store read-only.
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
  bool folder_needs_sync_ = false;  // a segment was created since the last sync of the folder
  std::string pending_;             // encoded records of the next commit
  Sequence next_ = 1;
  Status error_;
};

}  // namespace gateway::storage

#endif  // GATEWAY_STORAGE_STORE_HPP_
