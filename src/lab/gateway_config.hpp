// The configuration file of a gateway in an experiment. NODE_CONFIG holds the path of the file.
#ifndef GATEWAY_LAB_GATEWAY_CONFIG_HPP_
#define GATEWAY_LAB_GATEWAY_CONFIG_HPP_

#include <cstdint>
#include <string>

#include "lab/addresses.hpp"
#include "lab/experiment.hpp"

namespace gateway::lab {

// The parameters of one start of a gateway process.
struct GatewayStart {
  int gateway = 0;  // number of the gateway, from 0
  int number = 0;   // number of earlier starts of this gateway
  std::uint64_t seed = 0;
  std::string known_list;    // the hosts at the start of the run, as JSON
  std::string state_folder;  // empty: the gateway saves no state
};

// The zone of a gateway, as an index into Fleet::zones.
int GatewayZoneIndex(const Experiment& experiment, int gateway);

// Returns the content of the configuration file, a JSON object.
std::string GatewayConfigText(const Experiment& experiment, const Addresses& addresses,
                              const GatewayStart& start);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_GATEWAY_CONFIG_HPP_
