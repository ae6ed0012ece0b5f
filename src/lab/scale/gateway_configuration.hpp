// The configuration file (NODE_CONFIG) of a real or hollow gateway of a scale run.
#ifndef GATEWAY_LAB_SCALE_GATEWAY_CONFIGURATION_HPP_
#define GATEWAY_LAB_SCALE_GATEWAY_CONFIGURATION_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "lab/scale/scale_experiment.hpp"

namespace gateway::lab {

// The settings that differ between the gateways of a run.
struct GatewayConfigInput {
  int index = 0;  // index of the gateway in the fleet
  boost::asio::ip::tcp::endpoint listen;
  boost::asio::ip::tcp::endpoint list_service;
  std::optional<boost::asio::ip::tcp::endpoint> management;  // for management commands; nullopt: none
  std::uint64_t seed = 0;
  nlohmann::json initial_list;  // endpoint list at the start, as the list service returns it; null: none
};

// Builds the configuration. Traffic class i is named "class-i" and tenant i is named "tenant-i".
nlohmann::json GatewayConfiguration(const FleetSize& size, const GatewayConfigInput& input);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_SCALE_GATEWAY_CONFIGURATION_HPP_
