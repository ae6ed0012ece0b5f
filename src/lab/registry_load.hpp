// What the list service bears: many members that renew, many watchers, changes, and a loss of its process,
// against a real process on this machine's loopback and disk. The disk's own sync rate is measured in the
// same run.
#ifndef GATEWAY_LAB_REGISTRY_LOAD_HPP_
#define GATEWAY_LAB_REGISTRY_LOAD_HPP_

#include <map>
#include <string>

#include "base/millis.hpp"

namespace gateway::lab {

struct RegistryLoad {
  std::string program;  // `gatewayctl`
  int members = 2000;   // each renews three times a term
  base::Millis term = 10000;
  int watchers = 1000;
  int changes = 50;      // whose way to all watchers is timed, ten a second
  int history = 100000;  // changes before the kill
  int writers = 256;     // connections that write at the same time
};

// Throws std::runtime_error where it can't be set up. Every figure's name ends with its unit.
std::map<std::string, double> MeasureRegistry(const RegistryLoad& load);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_REGISTRY_LOAD_HPP_
