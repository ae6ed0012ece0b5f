#include "registry/list_cache.hpp"

#include <memory>
#include <string>

#include "registry/registry_json.hpp"

namespace gateway::registry {
namespace {

// A delta may have this many more entries than the full list has members. A delta with even more entries is
// not sent, because its encoding is assumed to be longer than that of the full list.
constexpr std::size_t kMaxChangesBeyondMembers = 64;
constexpr std::size_t kMaxCachedDeltas = 64;

}  // namespace

Body ListCache::DeltaSince(Revision after) {
  Body& body = deltas_[after];
  if (body) return body;
  ++encoded_;
  const auto changed = catalog_.ChangedSince(after);
  const std::size_t max_changes = catalog_.members().size() + kMaxChangesBeyondMembers;
  if (changed && changed->size() <= max_changes) {
    body = Encode(/*complete=*/false, *changed);
  } else {
    body = FullList();
  }
  return body;
}

Body ListCache::FullList() {
  if (full_list_) return full_list_;
  ++encoded_;
  std::vector<const Member*> members;
  for (const auto& [id, member] : catalog_.members()) members.push_back(&member);
  full_list_ = Encode(/*complete=*/true, members);
  return full_list_;
}

void ListCache::Clear() {
  deltas_.clear();
  full_list_.reset();
}

void ListCache::Trim() {
  if (deltas_.size() > kMaxCachedDeltas) deltas_.clear();
}

Body ListCache::Encode(bool complete, const std::vector<const Member*>& members) const {
  return std::make_shared<const std::string>(EncodeList(catalog_, complete, members));
}

}  // namespace gateway::registry
