// Encoded lists of the newest revision: each is encoded once and shared by all clients that need it.
#ifndef GATEWAY_REGISTRY_LIST_CACHE_HPP_
#define GATEWAY_REGISTRY_LIST_CACHE_HPP_

#include <cstdint>
#include <map>
#include <vector>

#include "registry/catalog.hpp"
#include "registry/http_response.hpp"

namespace gateway::registry {

// Not thread-safe.
class ListCache {
 public:
  // `catalog` must outlive it.
  explicit ListCache(const Catalog& catalog) : catalog_(catalog) {}

  // The delta from a revision, or the full list where that is shorter or the revision is compacted.
  Body DeltaSince(Revision after);
  Body FullList();
  // To be called after each new revision.
  void Clear();
  // Bounds the memory between two revisions. To be called now and then.
  void Trim();
  // Number of bodies encoded so far.
  std::uint64_t encoded() const { return encoded_; }

 private:
  Body Encode(bool complete, const std::vector<const Member*>& members) const;

  const Catalog& catalog_;
  std::map<Revision, Body> deltas_;  // by the revision that the client has
  Body full_list_;                   // null until it is needed
  std::uint64_t encoded_ = 0;
};

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_LIST_CACHE_HPP_
