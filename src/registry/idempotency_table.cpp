#include "registry/idempotency_table.hpp"

#include <utility>

namespace gateway::registry {

const IdempotencyTable::Entry* IdempotencyTable::Find(const std::string& key) const {
  const auto found = entries_.find(key);
  return found == entries_.end() ? nullptr : &found->second;
}

void IdempotencyTable::Insert(const std::string& key, Entry entry) {
  entries_[key] = std::move(entry);
  keys_.push_back(key);
  if (keys_.size() <= capacity_) return;
  entries_.erase(keys_.front());
  keys_.pop_front();
}

void IdempotencyTable::WriteTo(ByteWriter& writer) const {
  writer.WriteUnsigned(keys_.size());
  for (const std::string& key : keys_) {
    const Entry& entry = entries_.at(key);
    writer.WriteString(key);
    writer.WriteString(entry.request);
    writer.WriteSigned(entry.revision);
  }
}

void IdempotencyTable::ReadFrom(ByteReader& reader) {
  for (std::uint64_t remaining = reader.ReadUnsigned(); remaining > 0 && reader.ok(); --remaining) {
    std::string key = reader.ReadString();
    Entry entry;
    entry.request = reader.ReadString();
    entry.revision = reader.ReadSigned();
    entries_[key] = std::move(entry);
    keys_.push_back(std::move(key));
  }
}

}  // namespace gateway::registry
