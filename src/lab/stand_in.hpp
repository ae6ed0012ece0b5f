// The plainest gateways, for the lab to measure against: nothing learned, no queue, one policy. With a fault
// built in they show that the lab catches it.
#ifndef GATEWAY_LAB_STAND_IN_HPP_
#define GATEWAY_LAB_STAND_IN_HPP_

#include <string>
#include <vector>

namespace gateway::lab {

struct StandIn {
  std::string policy = "random";  // random, round_robin, least_inflight
  std::string fault = "none";
};

std::vector<std::string> StandInPolicies();
// none; twice: sends each request to two hosts; ignores_drain: keeps its first list; loses: lets one in 50 go
// unanswered; forges: answers one in 50 itself; dies: ends after some requests.
std::vector<std::string> StandInFaults();

// Serves as the NODE_* variables say until SIGTERM. Returns the exit code.
int ServeStandIn(const StandIn& stand_in);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_STAND_IN_HPP_
