// A minimal gateway that serves the lab as a baseline: it has one balancing policy, no queue and no
// adaptation to the hosts. It can have a built-in defect, to test that the lab detects the defect.
#ifndef GATEWAY_LAB_STAND_IN_HPP_
#define GATEWAY_LAB_STAND_IN_HPP_

#include <string>
#include <vector>

namespace gateway::lab {

struct StandInOptions {
  std::string policy = "random";  // one of StandInPolicies()
  std::string fault = "none";     // one of StandInFaults()
};

// Returns random, round_robin, least_inflight.
std::vector<std::string> StandInPolicies();

// Returns the names of the defects:
// - none: no defect
// - twice: sends each request twice
// - ignores_drain: never updates its list of hosts
// - loses: leaves one request in 50 unanswered
// - forges: answers one request in 50 itself, without a host
// - dies: exits after 200 requests
std::vector<std::string> StandInFaults();

// Serves until SIGTERM with the configuration file that NODE_CONFIG names. Returns the exit code. Throws
// std::runtime_error if the configuration can't be read or an address is not available.
int ServeStandIn(const StandInOptions& options);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_STAND_IN_HPP_
