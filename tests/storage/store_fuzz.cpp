// Fuzz target (libFuzzer) for the decoders of a store's files. No input may crash a decoder. If a decoder
// accepts an input, encoding the decoded data must reproduce the input.
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "storage/manifest.hpp"
#include "storage/segment.hpp"
#include "storage/snapshot.hpp"

namespace {

using namespace gateway::storage;

void Require(bool condition) {
  if (!condition) std::abort();
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  std::string error;
  const Segment segment = ReadSegment(bytes, 1);
  Require(segment.valid_bytes <= size && (segment.complete || !segment.error.empty()));
  if (segment.first_sequence != 0) {
    Sequence expected = segment.first_sequence;
    for (const Record& record : segment.records) Require(record.sequence == expected++);
  }
  if (const auto snapshot = DecodeSnapshot(bytes, error)) Require(EncodeSnapshot(*snapshot) == bytes);
  if (const auto manifest = DecodeManifest(bytes, error); manifest && manifest->format == kFormatVersion) {
    Require(EncodeManifest(*manifest) == bytes);
  }
  // Uses the bytes as the payload of a valid record, then changes one byte of the segment.
  std::string encoded = EncodeSegmentHeader(1);
  if (size > 4) {
    AppendRecord(encoded, {1, static_cast<std::uint16_t>(data[0]), 1, std::string(bytes.substr(4))}, data[1]);
    const Segment decoded = ReadSegment(encoded, 1);
    Require(decoded.complete && decoded.records.size() == 1 && decoded.records[0].payload == bytes.substr(4));
    encoded[data[2] % encoded.size()] ^= static_cast<char>(1 + data[3] % 255);
    const Segment corrupted = ReadSegment(encoded, 1);
    Require(!corrupted.complete);
  }
  return 0;
}
