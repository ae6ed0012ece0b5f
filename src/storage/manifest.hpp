// The manifest of a store: a text file that says whose state the folder holds, and in which format. No I/O.
#ifndef GATEWAY_STORAGE_MANIFEST_HPP_
#define GATEWAY_STORAGE_MANIFEST_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "storage/segment.hpp"

namespace gateway::storage {

inline constexpr int kFormatVersion = 1;  // of all files of a store
inline constexpr std::uint64_t kMaxManifestBytes = 64 << 10;

struct Manifest {
  int format = kFormatVersion;
  std::string owner;            // one line: whose state it is
  std::string program;          // one line: version of the program that created the store
  Sequence first_sequence = 1;  // of the store's first record
};

std::string EncodeManifest(const Manifest& manifest);
// Returns nothing, and the reason in `error`, if the bytes are no complete and valid manifest. Of a newer
// format only `format` is read.
std::optional<Manifest> DecodeManifest(std::string_view bytes, std::string& error);

}  // namespace gateway::storage

#endif  // GATEWAY_STORAGE_MANIFEST_HPP_
