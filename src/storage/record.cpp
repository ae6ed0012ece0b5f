#include "storage/record.hpp"

#include <algorithm>
#include <boost/crc.hpp>
#include <charconv>
#include <cstdio>

namespace gateway::storage {
namespace {

constexpr std::string_view kSegmentMagic("elhlog\0\1", 8);
constexpr std::string_view kSnapshotMagic("elhsnap\1", 8);
constexpr std::size_t kMagic = 8;
constexpr std::size_t kSegmentHeader = kMagic + 8 + 4;
constexpr std::size_t kRecordHeader = 4 + 4 + 2 + 2 + 8 + 8;
constexpr std::size_t kSnapshotHeader = kMagic + 4 + 8 + 2 + 8;

template <typename Number>
void Put(std::string& bytes, Number number) {
  for (std::size_t i = 0; i < sizeof number; ++i) bytes += static_cast<char>(number >> (8 * i) & 0xff);
}

template <typename Number>
Number Get(std::string_view bytes, std::size_t at) {
  Number number = 0;
  for (std::size_t i = 0; i < sizeof number; ++i) {
    number |= static_cast<Number>(static_cast<Number>(static_cast<unsigned char>(bytes[at + i])) << (8 * i));
  }
  return number;
}

struct Framed {
  Record record;
  Sequence durable = 0;
  std::size_t size = 0;
};

// The record that begins there, if a whole one does.
std::optional<Framed> Decode(std::string_view bytes, std::size_t at) {
  if (bytes.size() - at < kRecordHeader) return std::nullopt;
  const auto length = Get<std::uint32_t>(bytes, at + 4);
  if (length > kMostPayload || length > bytes.size() - at - kRecordHeader) return std::nullopt;
  const std::size_t size = kRecordHeader + length;
  if (Crc32c(bytes.substr(at + 4, size - 4)) != Get<std::uint32_t>(bytes, at)) return std::nullopt;
  Framed framed;
  framed.record = {Get<std::uint64_t>(bytes, at + 12), Get<std::uint16_t>(bytes, at + 8),
                   Get<std::uint16_t>(bytes, at + 10), std::string(bytes.substr(at + kRecordHeader, length))};
  framed.durable = Get<std::uint64_t>(bytes, at + 20);
  framed.size = size;
  return framed;
}

// Whether a record behind `at` says that `missing` had been synced. Cheap where nothing plausible stands.
bool SaysItWasSynced(std::string_view bytes, std::size_t at, Sequence missing) {
  for (; at + kRecordHeader <= bytes.size(); ++at) {
    const auto durable = Get<std::uint64_t>(bytes, at + 20);
    const auto sequence = Get<std::uint64_t>(bytes, at + 12);
    if (durable < missing || sequence <= durable || sequence - missing > bytes.size()) continue;
    if (Decode(bytes, at)) return true;
  }
  return false;
}

}  // namespace

std::uint32_t Crc32c(std::string_view bytes) {
  boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true> crc;
  crc.process_bytes(bytes.data(), bytes.size());
  return crc.checksum();
}

void AppendRecord(std::string& bytes, const Record& record, Sequence durable) {
  std::string rest;
  rest.reserve(kRecordHeader + record.payload.size());
  Put(rest, static_cast<std::uint32_t>(record.payload.size()));
  Put(rest, record.kind);
  Put(rest, record.version);
  Put(rest, record.sequence);
  Put(rest, durable);
  rest += record.payload;
  Put(bytes, Crc32c(rest));
  bytes += rest;
}

std::string SegmentHeader(Sequence first) {
  std::string bytes(kSegmentMagic);
  Put(bytes, first);
  Put(bytes, Crc32c(bytes));
  return bytes;
}

Segment ReadSegment(std::string_view bytes, Sequence named) {
  Segment segment;
  if (bytes.size() < kSegmentHeader || bytes.substr(0, kMagic) != kSegmentMagic ||
      Crc32c(bytes.substr(0, kMagic + 8)) != Get<std::uint32_t>(bytes, kMagic + 8)) {
    segment.why = bytes.size() < kSegmentHeader ? "the head is cut short" : "the head is wrong";
    segment.damaged = SaysItWasSynced(bytes, 0, named);
    return segment;
  }
  segment.first = Get<std::uint64_t>(bytes, kMagic);
  segment.good_bytes = kSegmentHeader;
  while (segment.good_bytes < bytes.size()) {
    const Sequence wanted = segment.first + segment.records.size();
    auto framed = Decode(bytes, segment.good_bytes);
    if (!framed || framed->record.sequence != wanted) {
      segment.why = framed ? "record " + std::to_string(framed->record.sequence) + " stands where " +
                                 std::to_string(wanted) + " should"
                           : "record " + std::to_string(wanted) + " is cut short or wrong";
      segment.damaged = SaysItWasSynced(bytes, segment.good_bytes, wanted);
      return segment;
    }
    segment.good_bytes += framed->size;
    segment.records.push_back(std::move(framed->record));
  }
  segment.whole = true;
  return segment;
}

std::string WriteSnapshot(const Snapshot& snapshot) {
  std::string rest;
  rest.reserve(kSnapshotHeader + snapshot.payload.size());
  Put(rest, snapshot.sequence);
  Put(rest, snapshot.version);
  Put(rest, static_cast<std::uint64_t>(snapshot.payload.size()));
  rest += snapshot.payload;
  std::string bytes(kSnapshotMagic);
  Put(bytes, Crc32c(rest));
  return bytes + rest;
}

std::optional<Snapshot> ReadSnapshot(std::string_view bytes, std::string& why) {
  if (bytes.size() < kSnapshotHeader || bytes.substr(0, kMagic) != kSnapshotMagic) {
    why = "the head is cut short or wrong";
    return std::nullopt;
  }
  if (Get<std::uint64_t>(bytes, kMagic + 14) != bytes.size() - kSnapshotHeader) {
    why = "it has another length than it says";
    return std::nullopt;
  }
  if (Crc32c(bytes.substr(kMagic + 4)) != Get<std::uint32_t>(bytes, kMagic)) {
    why = "its bytes are not those that were written";
    return std::nullopt;
  }
  return Snapshot{Get<std::uint64_t>(bytes, kMagic + 4), Get<std::uint16_t>(bytes, kMagic + 12),
                  std::string(bytes.substr(kSnapshotHeader))};
}

std::string WriteManifest(const Manifest& manifest) {
  std::string text = "elderhead-state " + std::to_string(manifest.format) + "\nowner " + manifest.owner +
                     "\nprogram " + manifest.program + "\nbegin " + std::to_string(manifest.begin) + "\n";
  char crc[24];
  std::snprintf(crc, sizeof crc, "crc32c %08x\n", Crc32c(text));
  return text + crc;
}

std::optional<Manifest> ReadManifest(std::string_view bytes, std::string& why) {
  Manifest manifest;
  const std::size_t last = bytes.rfind("crc32c ");
  char crc[24] = "";
  if (last != std::string_view::npos)
    std::snprintf(crc, sizeof crc, "crc32c %08x\n", Crc32c(bytes.substr(0, last)));
  if (last == std::string_view::npos || bytes.substr(last) != crc) {
    why = "its bytes are not those that were written";
    return std::nullopt;
  }
  std::string_view rest = bytes.substr(0, last);
  std::vector<std::string_view> values;
  for (const std::string_view key : {"elderhead-state ", "owner ", "program ", "begin "}) {
    const std::size_t end = rest.find('\n');
    if (end == std::string_view::npos || !rest.starts_with(key)) break;
    values.push_back(rest.substr(key.size(), end - key.size()));
    rest.remove_prefix(end + 1);
  }
  const auto number = [](std::string_view text, auto& value) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && end == text.data() + text.size();
  };
  if (values.empty() || !number(values[0], manifest.format)) {
    why = "it is no manifest of a state";
    return std::nullopt;
  }
  if (manifest.format > kFormat) return manifest;
  if (values.size() != 4 || !rest.empty() || !number(values[3], manifest.begin) || manifest.begin == 0) {
    why = "it is no manifest of a state";
    return std::nullopt;
  }
  manifest.owner = values[1];
  manifest.program = values[2];
  return manifest;
}

std::string FileName(std::string_view stem, Sequence sequence) {
  char number[24];
  std::snprintf(number, sizeof number, "%016llx", static_cast<unsigned long long>(sequence));
  return std::string(stem) + "-" + number;
}

std::optional<Sequence> ParseFileName(std::string_view stem, std::string_view name) {
  if (name.size() != stem.size() + 17 || !name.starts_with(stem) || name[stem.size()] != '-')
    return std::nullopt;
  Sequence sequence = 0;
  const auto [end, error] =
      std::from_chars(name.data() + stem.size() + 1, name.data() + name.size(), sequence, 16);
  if (error != std::errc() || end != name.data() + name.size() || FileName(stem, sequence) != name)
    return std::nullopt;
  return sequence;
}

}  // namespace gateway::storage
