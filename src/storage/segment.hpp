// Encodes segments of the write-ahead log, and decodes them after a crash. Does no I/O. All integers are
// little-endian. The header and each record contain a checksum of their other bytes.
#ifndef GATEWAY_STORAGE_SEGMENT_HPP_
#define GATEWAY_STORAGE_SEGMENT_HPP_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace gateway::storage {

// Number of a record in the log, starting at 1. A number is never reused.
using Sequence = std::uint64_t;

inline constexpr std::size_t kMaxPayloadBytes = 1 << 20;         // limit for one record
inline constexpr std::uint64_t kMaxSegmentBytes = 256ULL << 20;  // larger files are not read

struct Record {
  Sequence sequence = 0;
  std::uint16_t kind = 0;     // defined by the owner of the store
  std::uint16_t version = 0;  // version of the payload's format; defined by the owner of the store
  std::string payload;
  bool operator==(const Record&) const = default;
};

// Appends the encoded record: crc u32, length u32, kind u16, version u16, sequence u64, durable sequence u64,
// payload. `durable_sequence` is the last sequence that was durable when the record was written. It lets a
// reader determine whether a corrupt record before this record had been synced.
void AppendRecord(std::string& bytes, const Record& record, Sequence durable_sequence);
// Returns the header of a segment that starts with the record `first_sequence`.
std::string EncodeSegmentHeader(Sequence first_sequence);

// Content of a segment up to the first invalid byte.
struct Segment {
  Sequence first_sequence = 0;  // first sequence according to the header; 0 if the header is torn or corrupt
  std::vector<Record> records;  // contiguous, starting at `first_sequence`
  std::size_t valid_bytes = 0;  // size of the header and the valid records
  bool complete = false;        // no bytes follow the valid records
  // True if a later record shows that the invalid record at `valid_bytes` had been synced. Then the record is
  // corrupt, not torn by a crash.
  bool corrupt = false;
  std::string error;  // describes the invalid data at `valid_bytes`; empty if complete
};
// Decodes a segment. `expected_first` is the sequence of the first record according to the file's name.
Segment ReadSegment(std::string_view bytes, Sequence expected_first);

}  // namespace gateway::storage

#endif  // GATEWAY_STORAGE_SEGMENT_HPP_
