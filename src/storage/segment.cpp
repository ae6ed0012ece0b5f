#include "storage/segment.hpp"

#include <optional>
#include <utility>

#include "storage/byte_order.hpp"
#include "storage/checksum.hpp"

namespace gateway::storage {
namespace {

constexpr std::string_view kMagic("elhlog\0\1", 8);

// Offsets in a segment's header.
constexpr std::size_t kFirstOffset = 8;
constexpr std::size_t kHeaderCrcOffset = 16;
constexpr std::size_t kHeaderBytes = 20;

// Offsets in a record.
constexpr std::size_t kCrcOffset = 0;
constexpr std::size_t kLengthOffset = 4;
constexpr std::size_t kKindOffset = 8;
constexpr std::size_t kVersionOffset = 10;
constexpr std::size_t kSequenceOffset = 12;
constexpr std::size_t kDurableOffset = 20;
constexpr std::size_t kRecordHeaderBytes = 28;

struct DecodedRecord {
  Record record;
  std::size_t size = 0;  // bytes of the encoded record
};

// Decodes the record at the offset. Returns std::nullopt if the record is incomplete or invalid.
std::optional<DecodedRecord> DecodeRecord(std::string_view segment, std::size_t offset) {
  const std::string_view bytes = segment.substr(offset);
  if (bytes.size() < kRecordHeaderBytes) return std::nullopt;
  const auto length = ReadLittleEndian<std::uint32_t>(bytes, kLengthOffset);
  if (length > kMaxPayloadBytes || length > bytes.size() - kRecordHeaderBytes) return std::nullopt;
  const std::string_view encoded = bytes.substr(0, kRecordHeaderBytes + length);
  const auto crc = ReadLittleEndian<std::uint32_t>(encoded, kCrcOffset);
  if (Crc32c(encoded.substr(kLengthOffset)) != crc) return std::nullopt;
  DecodedRecord decoded;
  decoded.size = encoded.size();
  decoded.record.kind = ReadLittleEndian<std::uint16_t>(encoded, kKindOffset);
  decoded.record.version = ReadLittleEndian<std::uint16_t>(encoded, kVersionOffset);
  decoded.record.sequence = ReadLittleEndian<std::uint64_t>(encoded, kSequenceOffset);
  decoded.record.payload = encoded.substr(kRecordHeaderBytes);
  return decoded;
}

// Returns whether a valid record after the offset shows that the record with the sequence `missing` had been
// synced. Tries to decode a record at each offset at which both sequence fields have plausible values.
bool WasSynced(std::string_view bytes, std::size_t offset, Sequence missing) {
  for (; offset + kRecordHeaderBytes <= bytes.size(); ++offset) {
    const auto durable = ReadLittleEndian<Sequence>(bytes, offset + kDurableOffset);
    const auto sequence = ReadLittleEndian<Sequence>(bytes, offset + kSequenceOffset);
    if (durable < missing || sequence <= durable || sequence - missing > bytes.size()) continue;
    if (DecodeRecord(bytes, offset)) return true;
  }
  return false;
}

bool IsHeaderValid(std::string_view bytes) {
  if (bytes.size() < kHeaderBytes || !bytes.starts_with(kMagic)) return false;
  const auto crc = ReadLittleEndian<std::uint32_t>(bytes, kHeaderCrcOffset);
  return Crc32c(bytes.substr(0, kHeaderCrcOffset)) == crc;
}

std::string DescribeInvalidRecord(const std::optional<DecodedRecord>& found, Sequence expected) {
  const std::string number = std::to_string(expected);
  if (!found) return "record " + number + " is truncated or corrupt";
  return "expected record " + number + ", found record " + std::to_string(found->record.sequence);
}

}  // namespace

void AppendRecord(std::string& bytes, const Record& record, Sequence durable_sequence) {
  std::string checked;
  checked.reserve(kRecordHeaderBytes + record.payload.size());
  AppendLittleEndian(checked, static_cast<std::uint32_t>(record.payload.size()));
  AppendLittleEndian(checked, record.kind);
  AppendLittleEndian(checked, record.version);
  AppendLittleEndian(checked, record.sequence);
  AppendLittleEndian(checked, durable_sequence);
  checked += record.payload;
  AppendLittleEndian(bytes, Crc32c(checked));
  bytes += checked;
}

std::string EncodeSegmentHeader(Sequence first_sequence) {
  std::string bytes(kMagic);
  AppendLittleEndian(bytes, first_sequence);
  AppendLittleEndian(bytes, Crc32c(bytes));
  return bytes;
}

Segment ReadSegment(std::string_view bytes, Sequence expected_first) {
  Segment segment;
  if (!IsHeaderValid(bytes)) {
    segment.error = bytes.size() < kHeaderBytes
                        ? "the segment header is truncated"
                        : "the magic number or the checksum of the segment header does not match";
    segment.corrupt = WasSynced(bytes, 0, expected_first);
    return segment;
  }
  segment.first_sequence = ReadLittleEndian<Sequence>(bytes, kFirstOffset);
  segment.valid_bytes = kHeaderBytes;
  while (segment.valid_bytes < bytes.size()) {
    const Sequence expected = segment.first_sequence + segment.records.size();
    auto decoded = DecodeRecord(bytes, segment.valid_bytes);
    if (!decoded || decoded->record.sequence != expected) {
      segment.error = DescribeInvalidRecord(decoded, expected);
      segment.corrupt = WasSynced(bytes, segment.valid_bytes, expected);
      return segment;
    }
    segment.valid_bytes += decoded->size;
    segment.records.push_back(std::move(decoded->record));
  }
  segment.complete = true;
  return segment;
}

}  // namespace gateway::storage
