// A process that runs many hollow gateways, and its reports to the measuring tool as JSON.
#ifndef GATEWAY_LAB_SCALE_HOLLOW_PROCESS_HPP_
#define GATEWAY_LAB_SCALE_HOLLOW_PROCESS_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "base/millis.hpp"

namespace gateway::lab {

// Options of `gatewayctl lab hollow-gateways`.
struct HollowProcessOptions {
  // Path of the configuration file, in the format of NODE_CONFIG. Its `seed` is the seed of the first
  // gateway; each further gateway has the next seed. Its `selfIndex` is ignored.
  std::string config;
  int count = 1;
  int first_index = 0;  // index of the first gateway in the fleet; each further gateway has the next index
  boost::asio::ip::tcp::endpoint control;  // address on which the process serves the measuring tool
};

// Serves until SIGTERM. Returns the exit code. Throws base::ConfigError.
int ServeHollowGateways(const HollowProcessOptions& options);

// The response to GET /state.
struct HollowState {
  int gateways = 0, ready = 0;       // ready: a call has been answered and the gateway knows hosts
  std::int64_t oldest_revision = 0;  // the lowest revision in use at any gateway
  base::Millis all_ready_at = 0;     // base::MonotonicNow; 0: not all gateways are ready
};
nlohmann::json ToJson(const HollowState& state);
HollowState HollowStateFromJson(const nlohmann::json& json_value);

// The time at which a gateway received a revision of the list; base::MonotonicNow.
struct RevisionArrival {
  std::int64_t revision = 0;
  base::Millis at = 0;
};
// The response to GET /news: for each gateway, the arrivals since the previous GET /news in chronological
// order.
using RevisionArrivals = std::vector<std::vector<RevisionArrival>>;
nlohmann::json ToJson(const RevisionArrivals& arrivals);
RevisionArrivals RevisionArrivalsFromJson(const nlohmann::json& json_value);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_SCALE_HOLLOW_PROCESS_HPP_
