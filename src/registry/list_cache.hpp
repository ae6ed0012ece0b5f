// Encoded answers about the newest revision: each is made once and shared by all callers that need it.
#ifndef GATEWAY_REGISTRY_LIST_CACHE_HPP_
#define GATEWAY_REGISTRY_LIST_CACHE_HPP_

#include <cstdint>
#include <map>

#include "registry/catalog.hpp"
#include "registry/response.hpp"

namespace gateway::registry {

class ListCache {
 public:
  // `catalog` must outlive it.
  explicit ListCache(const Catalog& catalog) : catalog_(catalog) {}

  // The changes after a revision, or the full list where that is shorter or the changes are not known.
  Body Since(Revision after);
  Body Whole();
  // To be called after each new revision.
  void Clear();
  // Bounds the memory between revisions. To be called now and then.
  void Trim();
  // Bodies encoded so far.
  std::uint64_t encoded() const { return encoded_; }

 private:
  Body Encode(bool complete, const std::vector<const Member*>& members) const;

  const Catalog& catalog_;
  std::map<Revision, Body> since_;  // by the revision that the caller has
  Body whole_;
  std::uint64_t encoded_ = 0;
};

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_LIST_CACHE_HPP_
