#include "registry/list_cache.hpp"

#include <memory>
#include <string>
#include <vector>

#include "registry/form.hpp"

namespace gateway::registry {
namespace {

constexpr std::size_t kMostChangesBeyondList = 64;  // more changes than members and these: the full list
constexpr std::size_t kMostBodies = 64;             // kept by Trim()

}  // namespace

Body ListCache::Since(Revision after) {
  Body& body = since_[after];
  if (body) return body;
  ++encoded_;
  const auto changed = catalog_.Since(after);
  const std::size_t most_changes = catalog_.members().size() + kMostChangesBeyondList;
  body = changed && changed->size() <= most_changes ? Encode(/*complete=*/false, *changed) : Whole();
  return body;
}

Body ListCache::Whole() {
  if (whole_) return whole_;
  ++encoded_;
  std::vector<const Member*> all;
  for (const auto& [id, member] : catalog_.members()) all.push_back(&member);
  whole_ = Encode(/*complete=*/true, all);
  return whole_;
}

void ListCache::Clear() {
  since_.clear();
  whole_.reset();
}

void ListCache::Trim() {
  if (since_.size() > kMostBodies) since_.clear();
}

Body ListCache::Encode(bool complete, const std::vector<const Member*>& members) const {
  return std::make_shared<const std::string>(ListText(catalog_, complete, members));
}

}  // namespace gateway::registry
