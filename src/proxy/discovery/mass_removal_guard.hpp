// Detects lists that remove many endpoints at once. Otherwise, a list service that has lost its data could
// empty the gateway's list.
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

// A list that removes `removed` of the `known` endpoints.
struct MassRemoval {
  std::size_t removed = 0;
  std::size_t known = 0;
};

// `known` are the endpoints at `revision`. Returns a MassRemoval if `list` removes more than one of them and
// also more than `max_removed_share` (0 to 1) of them, unless an operator has confirmed a removal after
// `revision`. Otherwise returns std::nullopt.
std::optional<MassRemoval> FindUnconfirmedMassRemoval(const EndpointList& list, const EndpointsById& known,
                                                      std::int64_t revision, double max_removed_share);

// Returns the part of a rejected list that the gateway still applies: a delta at `revision` with those
// `known` endpoints that the list drains, with their known addresses. The delta may be empty.
EndpointList ExtractDrains(const EndpointList& list, const EndpointsById& known, std::int64_t revision);

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_DISCOVERY_MASS_REMOVAL_GUARD_HPP_
