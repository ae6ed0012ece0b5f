// The endpoint list: its types and its JSON form, which is used by the list service, the `known` field of the
// configuration, the transferred state and the saved state. This file alone maps the keys of that form
// ("members", "phase", "flavor", ...) to the types; the list service writes it in registry/registry_json.cpp.
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

// An endpoint of the list.
struct ListedEndpoint {
  policy::EndpointInfo info;
  boost::asio::ip::tcp::endpoint address;  // default-constructed if a removed endpoint has no address
};

// A snapshot of the endpoint list, or a delta to an earlier snapshot.
struct EndpointList {
  std::int64_t revision = 0;
  bool complete = true;  // true for a snapshot, false for a delta, which names only changed endpoints
  std::vector<ListedEndpoint> endpoints;
  // Identifies the history to which `revision` belongs; revisions of different epochs can't be compared.
  // Letters and digits; empty if the service sends none.
  std::string epoch;
  std::int64_t confirmed_revision = 0;  // revision of the last removal that an operator confirmed; 0: none
};

// Returns std::nullopt if any part of `text` is malformed, so that a truncated list is never taken for a
// complete one.
std::optional<EndpointList> ParseEndpointList(std::string_view text);

// Returns the JSON form of `list`, without `confirmed_revision`.
std::string SerializeEndpointList(const EndpointList& list);

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_DISCOVERY_ENDPOINT_LIST_HPP_
