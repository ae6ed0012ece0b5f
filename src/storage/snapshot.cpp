#include "storage/snapshot.hpp"

#include "storage/byte_order.hpp"
#include "storage/checksum.hpp"

namespace gateway::storage {
namespace {

constexpr std::string_view kMagic("elhsnap\1", 8);
constexpr std::size_t kCrcOffset = 8;
constexpr std::size_t kSequenceOffset = 12;
constexpr std::size_t kVersionOffset = 20;
constexpr std::size_t kLengthOffset = 22;
constexpr std::size_t kHeaderBytes = 30;

}  // namespace

std::string EncodeSnapshot(const Snapshot& snapshot) {
  std::string checked;
  checked.reserve(kHeaderBytes + snapshot.payload.size());
  AppendLittleEndian(checked, snapshot.sequence);
  AppendLittleEndian(checked, snapshot.version);
  AppendLittleEndian(checked, static_cast<std::uint64_t>(snapshot.payload.size()));
  checked += snapshot.payload;
  std::string bytes(kMagic);
  AppendLittleEndian(bytes, Crc32c(checked));
  return bytes + checked;
}

std::optional<Snapshot> DecodeSnapshot(std::string_view bytes, std::string& error) {
  if (bytes.size() < kHeaderBytes || !bytes.starts_with(kMagic)) {
    error = "the snapshot header is truncated or its magic number does not match";
    return std::nullopt;
  }
  const auto length = ReadLittleEndian<std::uint64_t>(bytes, kLengthOffset);
  const std::size_t payload_bytes = bytes.size() - kHeaderBytes;
  if (length != payload_bytes) {
    error = "the header states a payload of " + std::to_string(length) + " bytes, but the payload has " +
            std::to_string(payload_bytes) + " bytes";
    return std::nullopt;
  }
  if (Crc32c(bytes.substr(kSequenceOffset)) != ReadLittleEndian<std::uint32_t>(bytes, kCrcOffset)) {
    error = "the checksum does not match the content";
    return std::nullopt;
  }
  Snapshot snapshot;
  snapshot.sequence = ReadLittleEndian<Sequence>(bytes, kSequenceOffset);
  snapshot.version = ReadLittleEndian<std::uint16_t>(bytes, kVersionOffset);
  snapshot.payload = bytes.substr(kHeaderBytes);
  return snapshot;
}

}  // namespace gateway::storage
