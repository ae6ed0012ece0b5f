// The guard against mass removal: a list service that lost its data must not empty the gateway's list.
#ifndef GATEWAY_PROXY_DISCOVERY_MASS_REMOVAL_GUARD_HPP_
#define GATEWAY_PROXY_DISCOVERY_MASS_REMOVAL_GUARD_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "proxy/discovery/endpoint_list.hpp"

namespace gateway::proxy {

using EndpointsById = std::map<std::string, ListedEndpoint>;

// How many of the known endpoints a list removes.
struct MassRemoval {
  std::size_t removed = 0;
  std::size_t known = 0;
};

// Returns what `list` removes if that is more than one endpoint and more than `max_removed_share` (0 to 1) of
// those `known` at `revision`, and no operator has confirmed a removal since then; otherwise nothing.
std::optional<MassRemoval> FindUnconfirmedMassRemoval(const EndpointList& list, const EndpointsById& known,
                                                      std::int64_t revision, double max_removed_share);

// The part of a rejected list that binds all the same: a delta at `revision` with the `known` endpoints that
// the list drains, at their known addresses. May be empty.
EndpointList ExtractDrains(const EndpointList& list, const EndpointsById& known, std::int64_t revision);

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_DISCOVERY_MASS_REMOVAL_GUARD_HPP_
