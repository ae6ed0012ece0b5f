// HTTP requests to the registry service: encodes calls, and parses the query of a watch.
#ifndef GATEWAY_REGISTRY_HTTP_REQUEST_HPP_
#define GATEWAY_REGISTRY_HTTP_REQUEST_HPP_

#include <optional>
#include <string>
#include <string_view>

#include "registry/command.hpp"

namespace gateway::registry {

// Returns a complete HTTP request with headers and body.
std::string EncodeRequest(const Command& command);
std::string EncodeRequest(const RenewalRequest& renewal);

// The query parameters of a request for the list, such as "/discovery/hosts?after=41&wait_ms=500&epoch=e".
struct WatchQuery {
  std::optional<Revision> after;  // revision of the client's list; absent if it has no list
  base::Millis wait = 0;          // maximum time to wait for a change; at most 60,000 ms
  std::string epoch;              // the epoch to which `after` belongs; empty if the query has none
};
// Returns std::nullopt if a number is malformed or negative. Ignores unknown parameters.
std::optional<WatchQuery> ParseWatchQuery(std::string_view target);

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_HTTP_REQUEST_HPP_
