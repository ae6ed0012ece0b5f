// Detects mass removals, so that a list service that has lost its data can't empty the gateway's list.
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

// The number of known endpoints that a list removes.
struct MassRemoval {
  std::size_t removed = 0;
  std::size_t known = 0;
};

// Returns a MassRemoval if `list` removes more than one endpoint and more than `max_removed_share` (0 to 1)
// of the endpoints `known` at `revision`, and no operator has confirmed a removal after that revision.
// Otherwise returns std::nullopt.
std::optional<MassRemoval> FindUnconfirmedMassRemoval(const EndpointList& list, const EndpointsById& known,
                                                      std::int64_t revision, double max_removed_share);

// Returns the part of a rejected list that is applied nevertheless: a delta at `revision` with the `known`
// endpoints that the list drains, at their known addresses. May be empty.
EndpointList ExtractDrains(const EndpointList& list, const EndpointsById& known, std::int64_t revision);

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_DISCOVERY_MASS_REMOVAL_GUARD_HPP_
