// The endpoint list: its types and its JSON form, which the list service, the configuration's `known`, a
// transferred state and a saved state share. The words of that form ("members", "phase", "flavor", ...) are
// translated here; the list service writes the same form in registry/registry_json.cpp.
#ifndef GATEWAY_PROXY_DISCOVERY_ENDPOINT_LIST_HPP_
#define GATEWAY_PROXY_DISCOVERY_ENDPOINT_LIST_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/policy.hpp"

namespace gateway::proxy {

// An endpoint as the list describes it.
struct ListedEndpoint {
  policy::EndpointInfo info;
  boost::asio::ip::tcp::endpoint address;  // default-constructed where a removed endpoint has none
};

// A snapshot of the endpoint list, or a delta to an earlier one.
struct EndpointList {
  std::int64_t revision = 0;
  bool complete = true;  // a snapshot; otherwise a delta, which names only the endpoints that changed
  std::vector<ListedEndpoint> endpoints;
  // Identifies the history that `revision` counts in: revisions of two epochs can't be compared. Letters and
  // digits; empty where the service sends none.
  std::string epoch;
  std::int64_t confirmed_revision = 0;  // of the last removal that an operator confirmed; 0: none
};

// Returns nothing if any part of `text` is malformed: a truncated list must not pass for a complete one.
std::optional<EndpointList> ParseEndpointList(std::string_view text);

// The same JSON form, without `confirmed_revision`.
std::string SerializeEndpointList(const EndpointList& list);

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_DISCOVERY_ENDPOINT_LIST_HPP_
