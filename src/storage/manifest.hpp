// Encodes and decodes the manifest of a store: a text file with the store's owner and format. Does no I/O.
#ifndef GATEWAY_STORAGE_MANIFEST_HPP_
#define GATEWAY_STORAGE_MANIFEST_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "storage/segment.hpp"

namespace gateway::storage {

inline constexpr int kFormatVersion = 1;  // version of the format of all files of a store
inline constexpr std::uint64_t kMaxManifestBytes = 64 << 10;

struct Manifest {
  int format = kFormatVersion;
  std::string owner;            // a single line that identifies the owner of the store
  std::string program;          // a single line: version of the program that created the store
  Sequence first_sequence = 1;  // sequence of the store's first record
};

std::string EncodeManifest(const Manifest& manifest);
// Returns std::nullopt, and sets `error`, if the bytes are not a complete and valid manifest. If the format
// is newer than kFormatVersion, only `format` is decoded.
std::optional<Manifest> DecodeManifest(std::string_view bytes, std::string& error);

}  // namespace gateway::storage

#endif  // GATEWAY_STORAGE_MANIFEST_HPP_
