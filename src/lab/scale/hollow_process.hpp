// A process of many hollow gateways, and the JSON forms in which it reports to the tool.
#ifndef GATEWAY_LAB_SCALE_HOLLOW_PROCESS_HPP_
#define GATEWAY_LAB_SCALE_HOLLOW_PROCESS_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "base/millis.hpp"

namespace gateway::lab {

// Of `gatewayctl lab hollow-gateways`.
struct HollowOptions {
  std::string config;  // a gateway's, in the form of NODE_CONFIG; `seed` and `selfIndex` are of the first one
  int count = 1;
  int first = 0;                           // index of the first one
  boost::asio::ip::tcp::endpoint control;  // where the tool asks
};

// Serves until SIGTERM. Returns the exit code. Throws base::ConfigError.
int ServeHollowGateways(const HollowOptions& options);

// The answer to GET /state.
struct HollowState {
  int gateways = 0, ready = 0;       // ready: a call has been answered and hosts are known
  std::int64_t oldest_revision = 0;  // of any gateway
  base::Millis all_ready_at = 0;     // base::MonotonicNow; 0: not yet
};
nlohmann::json ToJson(const HollowState& state);
HollowState HollowStateFromJson(const nlohmann::json& form);

// When a gateway got a revision of the list; base::MonotonicNow.
struct RevisionArrival {
  std::int64_t revision = 0;
  base::Millis at = 0;
};
// By gateway, in the order of time, since the last such question: the answer to GET /news.
using RevisionArrivals = std::vector<std::vector<RevisionArrival>>;
nlohmann::json ToJson(const RevisionArrivals& arrivals);
RevisionArrivals RevisionArrivalsFromJson(const nlohmann::json& form);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_SCALE_HOLLOW_PROCESS_HPP_
