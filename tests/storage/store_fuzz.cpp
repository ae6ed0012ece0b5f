// libFuzzer on the readers of a store's files: whatever the bytes, no crash, and what is believed was written
// so.
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "storage/record.hpp"

namespace {

using namespace gateway::storage;

void Require(bool good) {
  if (!good) std::abort();
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  std::string why;
  const Segment segment = ReadSegment(bytes, 1);
  Require(segment.good_bytes <= size && (segment.whole || !segment.why.empty()));
  if (segment.first != 0) {
    Sequence expected = segment.first;
    for (const Record& record : segment.records) Require(record.sequence == expected++);
  }
  if (const auto snapshot = ReadSnapshot(bytes, why)) Require(WriteSnapshot(*snapshot) == bytes);
  if (const auto manifest = ReadManifest(bytes, why); manifest && manifest->format == kFormat) {
    Require(WriteManifest(*manifest) == bytes);
  }
  // The same bytes behind a right checksum, as a faulty writer would leave them.
  std::string made = SegmentHeader(1);
  if (size > 4) {
    AppendRecord(made, {1, static_cast<std::uint16_t>(data[0]), 1, std::string(bytes.substr(4))}, data[1]);
    const Segment read = ReadSegment(made, 1);
    Require(read.whole && read.records.size() == 1 && read.records[0].payload == bytes.substr(4));
    made[data[2] % made.size()] ^= static_cast<char>(1 + data[3] % 255);
    const Segment hurt = ReadSegment(made, 1);
    Require(!hurt.whole);
  }
  return 0;
}
