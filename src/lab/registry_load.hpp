// Measures the capacity of the project's list service under the renewals of many members, with many watchers
// and with changes, and its restart after a crash. It runs the service as a process on this machine's
// loopback interface and disk. It measures the sync rate of the disk in the same run.
#ifndef GATEWAY_LAB_REGISTRY_LOAD_HPP_
#define GATEWAY_LAB_REGISTRY_LOAD_HPP_

#include <map>
#include <string>

#include "base/millis.hpp"

namespace gateway::lab {

struct RegistryLoad {
  std::string program;  // command that starts gatewayctl
  int members = 2000;   // each member renews its lease three times per term
  base::Millis term = 10000;
  int watchers = 1000;
  int changes = 50;      // number of changes, ten per second, whose propagation to all watchers is measured
  int history = 100000;  // number of writes before the crash
  int writers = 256;     // number of concurrent connections that send the writes
};

// Returns the figures by name. A name ends with the unit of its figure, except for counts. Blocks; handles
// SIGCHLD. Throws std::runtime_error if the service can't be started or is too slow for the load.
std::map<std::string, double> MeasureRegistry(const RegistryLoad& load);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_REGISTRY_LOAD_HPP_
