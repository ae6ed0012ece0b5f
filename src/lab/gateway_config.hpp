// The configuration file of a gateway of an experiment: what NODE_CONFIG names.
#ifndef GATEWAY_LAB_GATEWAY_CONFIG_HPP_
#define GATEWAY_LAB_GATEWAY_CONFIG_HPP_

#include <cstdint>
#include <string>

#include "lab/addresses.hpp"
#include "lab/experiment.hpp"

namespace gateway::lab {

// One process of a gateway.
struct GatewayStart {
  int gateway = 0;  // from 0
  int number = 0;   // of its starts, from 0
  std::uint64_t seed = 0;
  std::string known_list;    // the list at the start of the run, as JSON
  std::string state_folder;  // empty: it saves no state
};

// The zone of a gateway, as an index of Fleet::zones.
int ZoneOfGateway(const Experiment& experiment, int gateway);

// Returns the text of the file, a JSON object.
std::string GatewayConfigText(const Experiment& experiment, const Addresses& addresses,
                              const GatewayStart& start);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_GATEWAY_CONFIG_HPP_
