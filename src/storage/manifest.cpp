#include "storage/manifest.hpp"

#include <array>
#include <charconv>
#include <cstdio>
#include <vector>

#include "storage/checksum.hpp"

namespace gateway::storage {
namespace {

constexpr std::string_view kChecksumKey = "crc32c ";
constexpr std::size_t kChecksumLineBytes = 24;  // sufficient for "crc32c ", 8 digits and a newline
constexpr const char* kInvalidFormatLine = "the first line of the manifest must be 'elderhead-state NUMBER'";
constexpr const char* kInvalidLines =
    "after its first line, the manifest must have the lines 'owner TEXT', 'program TEXT' and 'begin NUMBER' "
    "with a number above 0";

// The keys in the order of their lines.
enum Line { kFormatLine, kOwnerLine, kProgramLine, kFirstSequenceLine, kLineCount };
constexpr std::array<std::string_view, kLineCount> kKeys{"elderhead-state ", "owner ", "program ", "begin "};

std::string ChecksumLine(std::string_view text) {
  std::array<char, kChecksumLineBytes> line{};
  std::snprintf(line.data(), line.size(), "crc32c %08x\n", Crc32c(text));
  return line.data();
}

// Returns the values of the lines up to the first line with an unexpected key, and removes these lines from
// `text`.
std::vector<std::string_view> SplitValues(std::string_view& text) {
  std::vector<std::string_view> values;
  for (const std::string_view key : kKeys) {
    const std::size_t end = text.find('\n');
    if (end == std::string_view::npos || !text.starts_with(key)) break;
    values.push_back(text.substr(key.size(), end - key.size()));
    text.remove_prefix(end + 1);
  }
  return values;
}

// Parses a text that consists only of a number. Returns false for any other text.
template <typename Number>
bool ParseNumber(std::string_view text, Number& number) {
  const char* const end = text.data() + text.size();
  const auto [parsed_end, error] = std::from_chars(text.data(), end, number);
  return error == std::errc() && parsed_end == end;
}

}  // namespace

std::string EncodeManifest(const Manifest& manifest) {
  std::string text;
  const auto add = [&text](Line line, const std::string& value) {
    text += kKeys.at(line);
    text += value + "\n";
  };
  add(kFormatLine, std::to_string(manifest.format));
  add(kOwnerLine, manifest.owner);
  add(kProgramLine, manifest.program);
  add(kFirstSequenceLine, std::to_string(manifest.first_sequence));
  return text + ChecksumLine(text);
}

std::optional<Manifest> DecodeManifest(std::string_view bytes, std::string& error) {
  const std::size_t checksum = bytes.rfind(kChecksumKey);
  if (checksum == std::string_view::npos ||
      bytes.substr(checksum) != ChecksumLine(bytes.substr(0, checksum))) {
    error = "the checksum line is missing or does not match the content";
    return std::nullopt;
  }
  std::string_view remaining = bytes.substr(0, checksum);
  const std::vector<std::string_view> values = SplitValues(remaining);
  Manifest manifest;
  if (values.empty() || !ParseNumber(values[kFormatLine], manifest.format)) {
    error = kInvalidFormatLine;
    return std::nullopt;
  }
  if (manifest.format > kFormatVersion) return manifest;
  if (values.size() != kLineCount || !remaining.empty() ||
      !ParseNumber(values[kFirstSequenceLine], manifest.first_sequence) || manifest.first_sequence == 0) {
    error = kInvalidLines;
    return std::nullopt;
  }
  manifest.owner = values[kOwnerLine];
  manifest.program = values[kProgramLine];
  return manifest;
}

}  // namespace gateway::storage
