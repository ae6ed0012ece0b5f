// Measures how much load the project's own list service takes: many members that renew, many watchers,
// changes, and a crash of its process, against a real process on this machine's loopback and disk. The rate
// at which the disk syncs is measured in the same run.
#ifndef GATEWAY_LAB_REGISTRY_LOAD_HPP_
#define GATEWAY_LAB_REGISTRY_LOAD_HPP_

#include <map>
#include <string>

#include "base/millis.hpp"

namespace gateway::lab {

struct RegistryLoad {
  std::string program;  // command of gatewayctl
  int members = 2000;   // each renews its lease three times in a term
  base::Millis term = 10000;
  int watchers = 1000;
  int changes = 50;      // whose way to all watchers is timed, ten per second
  int history = 100000;  // changes before the crash
  int writers = 256;     // connections that write concurrently
};

// Returns the figures by name; names end with the unit. Blocks; uses SIGCHLD. Throws std::runtime_error where
// the service can't be started or is too slow for the load.
std::map<std::string, double> MeasureRegistry(const RegistryLoad& load);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_REGISTRY_LOAD_HPP_
