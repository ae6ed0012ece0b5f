// The status of a gateway at one point in time, for management commands and log records.
#ifndef GATEWAY_PROXY_ADMIN_GATEWAY_STATUS_HPP_
#define GATEWAY_PROXY_ADMIN_GATEWAY_STATUS_HPP_

#include <cstddef>
#include <cstdint>

#include "proxy/clock.hpp"
#include "proxy/upstream/upstream_pool.hpp"

namespace gateway::proxy {

struct GatewayStatus {
  bool ready = false;     // whether the gateway accepts clients
  bool stopping = false;  // whether the gateway has received SIGTERM
  bool draining = false;  // whether an operator has requested a drain

  std::size_t active_requests = 0;
  std::size_t client_connections = 0;
  std::uint64_t disconnected_clients = 0;  // since the start: clients that disconnected before their response
  std::size_t held_bytes = 0;              // memory that clients make the process hold
  std::size_t resident_bytes = 0;          // memory of the process when it was last measured
  std::uint64_t allocation_failures = 0;   // since the start
  std::uint64_t evictions = 0;             // since the start: connections closed to make room for others
  std::uint64_t memory_refusals = 0;       // since the start: requests refused to save memory
  std::uint64_t repeated_requests = 0;  // since the start: requests refused because their ID was used before

  // Since the start: incomplete requests that were refused because others use their share of the connections.
  std::uint64_t incomplete_refusals = 0;

  std::size_t upstream_connections = 0;
  UpstreamCounts upstream_counts;  // counted since the start

  std::size_t endpoints = 0;          // endpoints in the list, including draining endpoints
  std::size_t ejected_endpoints = 0;  // endpoints ejected by outlier detection
  std::int64_t list_revision = 0;
  std::size_t list_service = 0;  // index of the watched list service, from 0
  Millis list_age = 0;           // time since the list was last known to be current
  bool list_stale = false;       // whether no list was accepted for Config::list_stale_after
  bool list_from_state = false;  // whether the current list was loaded from disk

  bool saves_state = false;        // whether a state folder is configured
  bool state_ok = true;            // false after the first failed write
  std::uint64_t state_writes = 0;  // number of states written since the start
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_ADMIN_GATEWAY_STATUS_HPP_
