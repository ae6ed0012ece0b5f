#include "registry/record_codec.hpp"

namespace gateway::registry {
namespace {

// Bits of the flags of a member.
constexpr unsigned kDraining = 1U << 0;
constexpr unsigned kDrainedByOperator = 1U << 1;
constexpr unsigned kSuspect = 1U << 2;
constexpr unsigned kRemoved = 1U << 3;
constexpr unsigned kExpired = 1U << 4;

// Bits of the flags of a command.
constexpr unsigned kByOperator = 1U << 0;
constexpr unsigned kIfRevision = 1U << 1;
constexpr unsigned kIfIncarnation = 1U << 2;

unsigned Flag(bool set, unsigned bit) { return set ? bit : 0; }

}  // namespace

void WriteMember(ByteWriter& writer, const Member& member) {
  writer.WriteString(member.id);
  writer.WriteString(member.address);
  writer.WriteString(member.zone);
  writer.WriteString(member.machine_type);
  writer.WriteString(member.cell);
  writer.WriteString(member.version);
  writer.WriteDouble(member.size);
  writer.WriteDouble(member.lease_duration);
  writer.WriteSigned(member.incarnation);
  const unsigned flags =
      Flag(member.draining, kDraining) | Flag(member.drained_by_operator, kDrainedByOperator) |
      Flag(member.suspect, kSuspect) | Flag(member.removed, kRemoved) | Flag(member.expired, kExpired);
  writer.WriteUnsigned(flags, 1);
  writer.WriteSigned(member.revision);
}

Member ReadMember(ByteReader& reader) {
  Member member;
  member.id = reader.ReadString();
  member.address = reader.ReadString();
  member.zone = reader.ReadString();
  member.machine_type = reader.ReadString();
  member.cell = reader.ReadString();
  member.version = reader.ReadString();
  member.size = reader.ReadDouble();
  member.lease_duration = reader.ReadDouble();
  member.incarnation = reader.ReadSigned();
  const std::uint64_t flags = reader.ReadUnsigned(1);
  member.draining = (flags & kDraining) != 0;
  member.drained_by_operator = (flags & kDrainedByOperator) != 0;
  member.suspect = (flags & kSuspect) != 0;
  member.removed = (flags & kRemoved) != 0;
  member.expired = (flags & kExpired) != 0;
  member.revision = reader.ReadSigned();
  return member;
}

std::string EncodeCommand(const Command& command) {
  ByteWriter writer;
  writer.WriteUnsigned(static_cast<std::uint64_t>(command.action), 1);
  const unsigned flags = Flag(command.by_operator, kByOperator) |
                         Flag(command.if_revision.has_value(), kIfRevision) |
                         Flag(command.if_incarnation.has_value(), kIfIncarnation);
  writer.WriteUnsigned(flags, 1);
  writer.WriteString(command.idempotency_key);
  WriteMember(writer, command.member);
  writer.WriteSigned(command.if_revision.value_or(0));
  writer.WriteSigned(command.if_incarnation.value_or(0));
  return writer.Take();
}

std::optional<Command> DecodeCommand(std::string_view bytes) {
  ByteReader reader(bytes);
  Command command;
  const std::uint64_t action = reader.ReadUnsigned(1);
  const std::uint64_t flags = reader.ReadUnsigned(1);
  command.action = static_cast<Action>(action);
  command.by_operator = (flags & kByOperator) != 0;
  command.idempotency_key = reader.ReadString();
  command.member = ReadMember(reader);
  const Revision revision = reader.ReadSigned();
  const Incarnation incarnation = reader.ReadSigned();
  if ((flags & kIfRevision) != 0) command.if_revision = revision;
  if ((flags & kIfIncarnation) != 0) command.if_incarnation = incarnation;
  if (!reader.done() || action > static_cast<std::uint64_t>(Action::kExpire)) return std::nullopt;
  return command;
}

}  // namespace gateway::registry
