// Encodes and decodes snapshot files. Does no I/O.
#ifndef GATEWAY_STORAGE_SNAPSHOT_HPP_
#define GATEWAY_STORAGE_SNAPSHOT_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "storage/segment.hpp"

namespace gateway::storage {

inline constexpr std::uint64_t kMaxSnapshotBytes = 64ULL << 20;

struct Snapshot {
  Sequence sequence = 0;      // sequence of the last record that the snapshot replaces
  std::uint16_t version = 0;  // version of the payload's format; defined by the owner of the store
  std::string payload;
  bool operator==(const Snapshot&) const = default;
};

std::string EncodeSnapshot(const Snapshot& snapshot);
// Returns std::nullopt, and sets `error`, if the bytes are not a complete and valid snapshot.
std::optional<Snapshot> DecodeSnapshot(std::string_view bytes, std::string& error);

}  // namespace gateway::storage

#endif  // GATEWAY_STORAGE_SNAPSHOT_HPP_
