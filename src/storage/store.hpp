// A store: an append-only log with snapshots in one folder. What Commit() has answered well for is there
// after any crash.
#ifndef GATEWAY_STORAGE_STORE_HPP_
#define GATEWAY_STORAGE_STORE_HPP_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "storage/file_system.hpp"
#include "storage/record.hpp"

namespace gateway::storage {

enum class Found {
  kNothing,  // no state yet
  kWhole,    // all of it; a tail that was never synced may have been dropped, which is usual after a loss of
             // power
  kDamaged,  // something that had been synced is not there or not right: nothing behind it is believed
  kForeign   // of another owner, or of a newer program: not to be touched
};

// What a folder holds. Made without writing.
struct Examination {
  Found found = Found::kNothing;
  std::optional<Manifest> manifest;
  std::optional<Snapshot> snapshot;  // the newest that is whole and may be believed
  std::vector<Record> records;       // behind the snapshot, contiguous
  struct FileNote {
    std::string name;
    std::uint64_t bytes = 0;
    std::string what;  // what is in it
    std::string why;   // what is wrong with it; empty if nothing is
  };
  std::vector<FileNote> files;
  std::string why;  // in a sentence, where it is damaged or foreign
  Sequence last() const {
    return records.empty() ? (snapshot ? snapshot->sequence : begin - 1) : records.back().sequence;
  }

  // For Store::Open.
  Sequence begin = 1;
  Sequence highest = 0;                // seen in any file's name or head, believed or not
  std::optional<Sequence> open_first;  // of the segment in which the believed records end
  std::vector<std::string> spent;      // files that are needed no more
  std::vector<std::string> aside;      // files that are not believed
};

struct StoreOptions {
  std::string owner;                      // one line; a store of another owner is not opened
  std::string program;                    // one line
  std::uint64_t segment_bytes = 1 << 20;  // a longer segment is followed by a new one
  std::uint64_t most_bytes = 16 << 20;    // of all segments; then only a snapshot makes room
  bool begin_after_damage = false;        // else a damaged store is not opened
};

// Reads a folder and says what is there. `owner` empty: anyone's.
Status Examine(FileSystem& files, const std::string& folder, const std::string& owner,
               Examination& examination);

// Not thread-safe; calls block as long as the disk does. After any error the store only reads: what was not
// answered for may or may not be there at the next opening, which another process has to do (a kernel that
// failed a sync may hold pages for clean that are not on the disk).
class Store {
 public:
  // Recovers. `examination` tells what was found, also where it was not opened. Opening again gives the same.
  static Status Open(FileSystem& files, const std::string& folder, const StoreOptions& options,
                     std::unique_ptr<Store>& store, Examination& examination);

  // Takes a record in; nothing is written yet. Its sequence, or 0: no room before a snapshot, too long, or
  // read-only.
  Sequence Append(std::uint16_t kind, std::uint16_t version, std::string_view payload);
  // All that was taken in is on the disk: one write and one sync for all of it.
  Status Commit();
  // Commits, then replaces all records so far by this. Older files go.
  Status TakeSnapshot(std::uint16_t version, std::string_view payload);

  Sequence durable() const { return durable_; }
  std::uint64_t log_bytes() const { return log_bytes_; }
  bool read_only() const { return !error_.ok(); }
  const Status& error() const { return error_; }

 private:
  Store(FileSystem& files, std::string folder, StoreOptions options)
      : files_(files), folder_(std::move(folder)), options_(std::move(options)) {}
  std::string Path(const std::string& name) const { return folder_ + "/" + name; }
  Status Recover(const Examination& found);
  // Under a name of its own first, then in the place of what stands there.
  Status Replace(const std::string& name, std::string_view bytes, std::unique_ptr<File>* keep = nullptr);
  Status BeginSegment();
  Status Fail(Status status);

  FileSystem& files_;
  const std::string folder_;
  const StoreOptions options_;
  std::unique_ptr<FileSystem::Lock> lock_;
  std::unique_ptr<File> segment_;  // that is appended to; none: the next commit begins one
  std::uint64_t segment_bytes_ = 0, log_bytes_ = 0;
  bool folder_unsynced_ = false;        // a new segment's name
  std::vector<std::string> old_files_;  // that the next snapshot covers
  std::string pending_;
  Sequence durable_ = 0, next_ = 1;
  Status error_;
};

}  // namespace gateway::storage

#endif  // GATEWAY_STORAGE_STORE_HPP_
