// Encodes and decodes members and commands in log records and snapshots.
#ifndef GATEWAY_REGISTRY_RECORD_CODEC_HPP_
#define GATEWAY_REGISTRY_RECORD_CODEC_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "registry/byte_codec.hpp"
#include "registry/command.hpp"

namespace gateway::registry {

// Versions of the binary formats, stored with each record and snapshot.
inline constexpr std::uint16_t kCommandVersion = 1;
inline constexpr std::uint16_t kSnapshotVersion = 1;

void WriteMember(ByteWriter& writer, const Member& member);
Member ReadMember(ByteReader& reader);

std::string EncodeCommand(const Command& command);
// Returns std::nullopt if the bytes are not a complete command.
std::optional<Command> DecodeCommand(std::string_view bytes);

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_RECORD_CODEC_HPP_
