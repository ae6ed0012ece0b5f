// What a Policy knows of an upstream endpoint. Each mechanism defines its own part of the state.
#ifndef GATEWAY_POLICY_ENDPOINT_HPP_
#define GATEWAY_POLICY_ENDPOINT_HPP_

#include <cstdint>

#include "gateway/events.hpp"
#include "policy/concurrency_limit.hpp"
#include "policy/outlier_detection.hpp"
#include "policy/slow_start.hpp"

namespace gateway::policy {

// What endpoints of one machine type have in common.
struct MachineType {
  LatencyEstimate latency;
  double utilization = 0;  // reported, smoothed
  Throughput throughput;
};

struct Endpoint {
  EndpointInfo info;
  MachineType* machine_type = nullptr;
  Zone* zone = nullptr;
  std::uint64_t hash = 0;  // of the id

  bool up = false;                      // listed as such
  bool in_subset = false;               // used by this gateway
  std::uint64_t listed_generation = 0;  // number of the last list event that named it

  int references = 0;  // attempts of active requests that name it
  int in_flight = 0;   // own attempts that await a response

  SlowStartState slow_start;
  OutlierState outlier;
  ConcurrencyState concurrency;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_ENDPOINT_HPP_
