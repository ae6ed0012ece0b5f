// Encodes and decodes the binary snapshot of a catalog.
#include <utility>

#include "registry/catalog.hpp"
#include "registry/record_codec.hpp"

namespace gateway::registry {

std::string Catalog::Snapshot() const {
  ByteWriter writer;
  writer.WriteString(epoch_);
  writer.WriteSigned(revision_);
  writer.WriteSigned(last_operator_removal_);
  writer.WriteUnsigned(members_.size());
  for (const auto& [id, member] : members_) WriteMember(writer, member);
  writer.WriteUnsigned(history_.size());
  for (const Member& member : history_) WriteMember(writer, member);
  results_.WriteTo(writer);
  return writer.Take();
}

std::optional<Catalog> Catalog::FromSnapshot(std::string_view bytes, RetentionLimits limits,
                                             std::string& error) {
  ByteReader reader(bytes);
  std::string epoch = reader.ReadString();
  const Revision revision = reader.ReadSigned();
  Catalog catalog(std::move(epoch), revision, limits);
  catalog.last_operator_removal_ = reader.ReadSigned();
  for (std::uint64_t remaining = reader.ReadUnsigned(); remaining > 0 && reader.ok(); --remaining) {
    Member member = ReadMember(reader);
    std::string id = member.id;
    catalog.members_.emplace(std::move(id), std::move(member));
  }
  if (!catalog.ReadHistory(reader, error)) return std::nullopt;
  catalog.results_.ReadFrom(reader);
  if (!reader.done()) {
    error = "the snapshot is truncated or has trailing bytes";
    return std::nullopt;
  }
  if (!catalog.history_.empty() && catalog.history_.back().revision != catalog.revision_) {
    error = "the history does not end at the revision of the snapshot";
    return std::nullopt;
  }
  return catalog;
}

// Reads the retained changes. Returns false, and sets `error`, if their revisions are not contiguous.
bool Catalog::ReadHistory(ByteReader& reader, std::string& error) {
  Revision last = 0;
  for (std::uint64_t remaining = reader.ReadUnsigned(); remaining > 0 && reader.ok(); --remaining) {
    Member member = ReadMember(reader);
    if (last != 0 && member.revision != last + 1) {
      error = "the history is missing revisions: revision " + std::to_string(member.revision) +
              " follows revision " + std::to_string(last);
      return false;
    }
    last = member.revision;
    if (member.removed) {
      removed_[member.id] = member;
    } else {
      removed_.erase(member.id);
    }
    history_.push_back(std::move(member));
  }
  return true;
}

}  // namespace gateway::registry
