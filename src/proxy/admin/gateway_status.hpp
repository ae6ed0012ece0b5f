// A snapshot of the gateway's state, for operators and for the log.
#ifndef GATEWAY_PROXY_ADMIN_GATEWAY_STATUS_HPP_
#define GATEWAY_PROXY_ADMIN_GATEWAY_STATUS_HPP_

#include <cstddef>
#include <cstdint>

#include "proxy/clock.hpp"
#include "proxy/upstream/upstream_pool.hpp"

namespace gateway::proxy {

struct GatewayStatus {
  bool ready = false;     // takes clients
  bool stopping = false;  // SIGTERM has come
  bool draining = false;  // by an operator

  std::size_t active_requests = 0;
  std::size_t client_connections = 0;
  std::uint64_t disconnected_clients = 0;  // that had no answer yet, since the start

  std::size_t upstream_connections = 0;
  UpstreamPool::Counts upstream_counts;  // since the start

  std::size_t endpoints = 0;          // in the list, draining ones too
  std::size_t ejected_endpoints = 0;  // by outlier detection
  std::int64_t list_revision = 0;
  std::size_t list_service = 0;  // index of the list service that is watched
  Millis list_age = 0;           // since the list was last known to hold
  bool list_stale = false;       // no list service has answered for too long
  bool list_from_state = false;  // the list in force was loaded from the disk

  bool saves_state = false;  // a state folder is configured
  bool state_ok = true;      // no write has failed
  std::uint64_t state_writes = 0;
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_ADMIN_GATEWAY_STATUS_HPP_
