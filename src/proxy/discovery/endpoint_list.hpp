// The types of the endpoint list, and the conversion from and to JSON. The list service, the `known` field of
// the configuration, the transferred state and the saved state use this JSON format. In the gateway, only
// this module uses its keys ("members", "phase", "flavor", ...). The list service writes the format in
// registry/registry_json.cpp.
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

struct ListedEndpoint {
  policy::EndpointInfo info;
  boost::asio::ip::tcp::endpoint address;  // default-constructed if a removed endpoint has no address
};

// A snapshot of the endpoint list, or a delta to an earlier snapshot.
struct EndpointList {
  std::int64_t revision = 0;
  bool complete = true;  // true for a snapshot; false for a delta, which has only changed endpoints
  std::vector<ListedEndpoint> endpoints;
  // Identifies the sequence of revisions to which `revision` belongs. Revisions of different epochs can't be
  // compared. Consists of letters and digits; empty if the service sends no epoch.
  std::string epoch;
  std::int64_t confirmed_revision = 0;  // revision at which an operator last confirmed a removal; 0: none
};

// Parses a list in JSON. Returns std::nullopt if any part of `text` is malformed, so that a truncated list is
// never accepted.
std::optional<EndpointList> ParseEndpointList(std::string_view text);

// Returns `list` in JSON, without `confirmed_revision`.
std::string SerializeEndpointList(const EndpointList& list);

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_DISCOVERY_ENDPOINT_LIST_HPP_
