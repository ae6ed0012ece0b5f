// The simplest gateway, as a baseline for the lab: it learns nothing, queues nothing and has one balancing
// policy. With a defect built in it shows that the lab detects that defect.
#ifndef GATEWAY_LAB_STAND_IN_HPP_
#define GATEWAY_LAB_STAND_IN_HPP_

#include <string>
#include <vector>

namespace gateway::lab {

struct StandInOptions {
  std::string policy = "random";  // of StandInPolicies
  std::string fault = "none";     // of StandInFaults
};

// random, round_robin, least_inflight
std::vector<std::string> StandInPolicies();

// none; twice: sends each request to two hosts; ignores_drain: never updates its list; loses: leaves one
// request in 50 unanswered; forges: answers one in 50 itself; dies: ends after 200 requests.
std::vector<std::string> StandInFaults();

// Serves by the configuration that NODE_CONFIG names until SIGTERM. Returns the exit code. Throws
// std::runtime_error where the configuration can't be read or an address can't be had.
int ServeStandIn(const StandInOptions& options);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_STAND_IN_HPP_
