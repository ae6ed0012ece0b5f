// The state of an upstream endpoint in a Policy. Slow start, outlier detection and the concurrency limit each
// define a part of the state.
#ifndef GATEWAY_POLICY_ENDPOINT_HPP_
#define GATEWAY_POLICY_ENDPOINT_HPP_

#include <cstdint>

#include "gateway/events.hpp"
#include "policy/concurrency_limit.hpp"
#include "policy/outlier_detection.hpp"
#include "policy/slow_start.hpp"

namespace gateway::policy {

// Estimates over all endpoints of one machine type.
struct MachineType {
  LatencyEstimate latency;
  double utilization = 0;  // from load reports, smoothed
  Throughput throughput;
};

// An upstream endpoint.
struct Endpoint {
  EndpointInfo info;
  MachineType* machine_type = nullptr;
  Zone* zone = nullptr;
  std::uint64_t hash = 0;  // hash of the id

  bool up = false;                      // listed with the state kUp
  bool in_subset = false;               // used by this gateway
  std::uint64_t listed_generation = 0;  // generation of the last list event with the endpoint

  int references = 0;  // attempts of active requests that point to the endpoint
  int in_flight = 0;   // attempts of this gateway with a complete request that wait for a response

  SlowStartState slow_start;
  OutlierState outlier;
  ConcurrencyState concurrency;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_ENDPOINT_HPP_
