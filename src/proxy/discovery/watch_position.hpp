// The position of a watch in the history of the endpoint list, and which lists may follow it. Pure functions.
#ifndef GATEWAY_PROXY_DISCOVERY_WATCH_POSITION_HPP_
#define GATEWAY_PROXY_DISCOVERY_WATCH_POSITION_HPP_

#include <cstdint>
#include <optional>
#include <string>

#include "proxy/clock.hpp"
#include "proxy/discovery/endpoint_list.hpp"
#include "proxy/discovery/list_error.hpp"

namespace gateway::proxy {

// The revision and epoch of the list from which a watch continues.
struct WatchPosition {
  std::int64_t revision = 0;
  std::string epoch;  // empty: unknown, or the service sends none
};

// Returns the path and query of a call that requests the changes after `position`. The service may delay its
// response by up to `max_wait` while there are no changes; with 0 it responds at once.
std::string FormatListTarget(const WatchPosition& position, Millis max_wait);

// Returns an error if `list` can't follow `position`, otherwise std::nullopt.
//
// A list with a lower revision in the epoch of `position` comes from a replica that lags behind, and would
// restore removed endpoints. This check applies only with `same_service`, that is, if `position` is known to
// come from the service that sent `list`. A delta of another epoch can't be applied to the list at
// `position`.
std::optional<ListError> CheckSuccession(const EndpointList& list, const WatchPosition& position,
                                         bool same_service);

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_DISCOVERY_WATCH_POSITION_HPP_
