// The position of a watch in the sequence of revisions, and the check whether a list may follow this
// position.
#ifndef GATEWAY_PROXY_DISCOVERY_WATCH_POSITION_HPP_
#define GATEWAY_PROXY_DISCOVERY_WATCH_POSITION_HPP_

#include <cstdint>
#include <optional>
#include <string>

#include "proxy/clock.hpp"
#include "proxy/discovery/endpoint_list.hpp"
#include "proxy/discovery/list_error.hpp"

namespace gateway::proxy {

// The revision and the epoch of the list that was accepted last. A watch requests the changes after it.
struct WatchPosition {
  std::int64_t revision = 0;
  std::string epoch;  // empty if it is unknown or the service sends no epoch
};

// Returns the path and query of a call that requests the changes after `position`. While there are no
// changes, the service may delay its response by up to `max_wait`; with 0 it responds at once.
std::string FormatListTarget(const WatchPosition& position, Millis max_wait);

// Returns an error if `list` can't follow `position`, otherwise std::nullopt.
//
// A list with a lower revision in the epoch of `position` comes from a replica that has not received the
// newer revisions yet. Such a list could restore removed endpoints. This check applies only if `same_service`
// is true, that is, if `position` is known to come from the service that sent `list`. A delta of another
// epoch can't be applied to the list at `position`.
std::optional<ListError> CheckListFollows(const EndpointList& list, const WatchPosition& position,
                                          bool same_service);

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_DISCOVERY_WATCH_POSITION_HPP_
