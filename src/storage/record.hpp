// The bytes of a store's files, without I/O: how records, segments, snapshots and the manifest are written
// and read. All numbers are little-endian; every part carries a CRC32C (Castagnoli) of all its other bytes.
#ifndef GATEWAY_STORAGE_RECORD_HPP_
#define GATEWAY_STORAGE_RECORD_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gateway::storage {

using Sequence = std::uint64_t;  // of records, from 1; 2^64 lasts 10 years at 58 billion a second

inline constexpr std::size_t kMostPayload = 1 << 20;         // of a record
inline constexpr std::uint64_t kMostSnapshot = 64ULL << 20;  // bytes
inline constexpr std::uint64_t kMostSegment = 256ULL << 20;  // bytes that a reader takes
inline constexpr int kFormat = 1;                            // of all files here

struct Record {
  Sequence sequence = 0;
  std::uint16_t kind = 0;     // the owner's
  std::uint16_t version = 0;  // of the payload's form; the owner's
  std::string payload;
  bool operator==(const Record&) const = default;
};

std::uint32_t Crc32c(std::string_view bytes);

// crc u32, length u32, kind u16, version u16, sequence u64, durable u64, payload. `durable`: the last
// sequence that was surely on the disk when this was written, so a reader can tell a tail that was never
// synced from damage.
void AppendRecord(std::string& bytes, const Record& record, Sequence durable);
std::string SegmentHeader(Sequence first);

// What a segment holds, up to the first byte that is not right.
struct Segment {
  Sequence first = 0;           // as the header says; 0: the header is not whole
  std::vector<Record> records;  // contiguous from `first`
  std::size_t good_bytes = 0;   // header and records
  bool whole = false;           // nothing is behind them
  // Behind the first wrong byte stands a record which says that what is missing there had been synced.
  bool damaged = false;
  std::string why;  // what was wrong at good_bytes; empty if whole
};
// `named`: its first record, by the file's name.
Segment ReadSegment(std::string_view bytes, Sequence named);

struct Snapshot {
  Sequence sequence = 0;      // covers all records up to this one
  std::uint16_t version = 0;  // of the payload's form; the owner's
  std::string payload;
  bool operator==(const Snapshot&) const = default;
};
std::string WriteSnapshot(const Snapshot& snapshot);
std::optional<Snapshot> ReadSnapshot(std::string_view bytes, std::string& why);

struct Manifest {
  int format = kFormat;
  std::string owner;    // whose state it is: a site and a name
  std::string program;  // the version that began it
  Sequence begin = 1;   // its first record
};
std::string WriteManifest(const Manifest& manifest);
// Of a newer format only `format` is read.
std::optional<Manifest> ReadManifest(std::string_view bytes, std::string& why);

// "log-0000000000000001", "snapshot-..."; nothing if it is no such name.
std::string FileName(std::string_view stem, Sequence sequence);
std::optional<Sequence> ParseFileName(std::string_view stem, std::string_view name);

}  // namespace gateway::storage

#endif  // GATEWAY_STORAGE_RECORD_HPP_
