// Cache of the encoded full list and the encoded deltas at the newest revision. Each response body is encoded
// once and sent to all clients that request it.
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
  // `catalog` must outlive the cache.
  explicit ListCache(const Catalog& catalog) : catalog_(catalog) {}

  // Returns the delta from the revision `after`. Returns the full list instead if the full list is shorter or
  // if the revision is compacted.
  Body DeltaSince(Revision after);
  Body FullList();
  // Must be called after each new revision.
  void Clear();
  // Limits the memory used between two revisions. Must be called periodically.
  void Trim();
  // Returns the number of bodies encoded so far.
  std::uint64_t encoded() const { return encoded_; }

 private:
  Body Encode(bool complete, const std::vector<const Member*>& members) const;

  const Catalog& catalog_;
  std::map<Revision, Body> deltas_;  // by the revision of the client's list
  Body full_list_;                   // null until first requested
  std::uint64_t encoded_ = 0;
};

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_LIST_CACHE_HPP_
