// The configuration file of a gateway of a scale run, real or hollow: DEPLOY's NODE_CONFIG.
#ifndef GATEWAY_LAB_SCALE_GATEWAY_CONFIGURATION_HPP_
#define GATEWAY_LAB_SCALE_GATEWAY_CONFIGURATION_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "lab/scale/scale_experiment.hpp"

namespace gateway::lab {

struct GatewayConfigInput {
  int index = 0;  // in the fleet
  boost::asio::ip::tcp::endpoint listen;
  boost::asio::ip::tcp::endpoint list_service;
  std::optional<boost::asio::ip::tcp::endpoint> management;  // for operators; none: no such listener
  std::uint64_t seed = 0;
  nlohmann::json known;  // a list in the published form; null: none
};

// Class i is named "class-i" and tenant i "tenant-i".
nlohmann::json GatewayConfiguration(const FleetSize& size, const GatewayConfigInput& input);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_SCALE_GATEWAY_CONFIGURATION_HPP_
