// How far a watch of the endpoint list has come, and which lists may follow. Pure functions.
#ifndef GATEWAY_PROXY_DISCOVERY_WATCH_POSITION_HPP_
#define GATEWAY_PROXY_DISCOVERY_WATCH_POSITION_HPP_

#include <cstdint>
#include <optional>
#include <string>

#include "proxy/clock.hpp"
#include "proxy/discovery/endpoint_list.hpp"
#include "proxy/discovery/list_error.hpp"

namespace gateway::proxy {

// The list that a watch continues from.
struct WatchPosition {
  std::int64_t revision = 0;
  std::string epoch;  // empty: unknown, or the service has none
};

// Path and query of a call that requests what follows `position`. The service may hold its response back for
// up to `max_wait` while there is nothing new; 0: it answers at once.
std::string FormatListTarget(const WatchPosition& position, Millis max_wait);

// Returns why `list` can't follow `position`; nothing if it can.
//
// A list with a lower revision of the same epoch is from a replica that lags, and would bring removed
// endpoints back; but only `same_service`, whose revision `position` is, can lag behind it. A delta of
// another epoch changes a list that is not the one at `position`.
std::optional<ListError> CheckSuccession(const EndpointList& list, const WatchPosition& position,
                                         bool same_service);

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_DISCOVERY_WATCH_POSITION_HPP_
