// Segments of the write-ahead log: how records are encoded, and read back after a crash. No I/O. All numbers
// are little-endian; the header and each record carry a checksum of all their other bytes.
#ifndef GATEWAY_STORAGE_SEGMENT_HPP_
#define GATEWAY_STORAGE_SEGMENT_HPP_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace gateway::storage {

// Number of a record in the log, from 1. Never used twice.
using Sequence = std::uint64_t;

inline constexpr std::size_t kMaxPayloadBytes = 1 << 20;         // of a record
inline constexpr std::uint64_t kMaxSegmentBytes = 256ULL << 20;  // that are read

struct Record {
  Sequence sequence = 0;
  std::uint16_t kind = 0;     // defined by the owner of the store
  std::uint16_t version = 0;  // of the payload's form; defined by the owner
  std::string payload;
  bool operator==(const Record&) const = default;
};

// Appends: crc u32, length u32, kind u16, version u16, sequence u64, durable u64, payload. `durable` is the
// last sequence that was durable when the record was written. It tells a reader whether records before a
// corrupt place had been synced.
void AppendRecord(std::string& bytes, const Record& record, Sequence durable);
// The bytes that a segment begins with. `first`: the sequence of its first record.
std::string EncodeSegmentHeader(Sequence first);

// What a segment holds, up to the first invalid byte.
struct Segment {
  Sequence first = 0;           // by the header; 0: the header is torn or corrupt
  std::vector<Record> records;  // contiguous from `first`
  std::size_t valid_bytes = 0;  // header and records
  bool complete = false;        // nothing follows the records
  // A later record states that what is missing at `valid_bytes` had been synced, so it is no torn write.
  bool corrupt = false;
  std::string error;  // what is invalid at `valid_bytes`; empty if complete
};
// `named_first`: the sequence of the first record, by the file's name.
Segment ReadSegment(std::string_view bytes, Sequence named_first);

}  // namespace gateway::storage

#endif  // GATEWAY_STORAGE_SEGMENT_HPP_
