// HTTP requests to the registry service: the text that members send, and the query of a watch.
#ifndef GATEWAY_REGISTRY_HTTP_REQUEST_HPP_
#define GATEWAY_REGISTRY_HTTP_REQUEST_HPP_

#include <optional>
#include <string>
#include <string_view>

#include "registry/command.hpp"

namespace gateway::registry {

// Complete HTTP requests, with head and body.
std::string EncodeRequest(const Command& command);
std::string EncodeRequest(const RenewalRequest& renewal);

// The query of "/discovery/hosts?after=41&wait_ms=500&epoch=e".
struct WatchQuery {
  std::optional<Revision> after;  // the revision that the caller has; absent: none
  base::Millis wait = 0;          // how long to wait for a change; 60,000 ms at most
  std::string epoch;              // of `after`; empty: not stated
};
// Returns nothing if a number is malformed or negative. Unknown parameters are ignored.
std::optional<WatchQuery> ParseWatchQuery(std::string_view target);

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_HTTP_REQUEST_HPP_
