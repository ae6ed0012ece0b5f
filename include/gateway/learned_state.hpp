// State that a Policy has learned from traffic, for transfer to a successor process.
#ifndef GATEWAY_LEARNED_STATE_HPP_
#define GATEWAY_LEARNED_STATE_HPP_

#include <string>
#include <vector>

#include "gateway/time.hpp"

namespace gateway::policy {

constexpr Millis kNever = -1e15;  // earlier than any time of the clock

// Learned estimates. All times are on the clock of the Policy that exported the state.
struct LearnedState {
  struct TrafficClass {
    std::string name;
    double latency = 0;  // smoothed, ms
    int samples = 0;
    // Largest observed Request::time_left. A request with about this value is a client's first try.
    Millis longest_time_left = 0;
  };
  struct EndpointStatistics {
    // The three latencies are in ms. Each sample is divided by the relative latency of its traffic class.
    double latency = 0;            // smoothed; 0 = no sample yet
    double long_term_latency = 0;  // smoothed over more samples
    double base_latency = 0;       // estimate of the latency without queueing
    double failure_rate = 0;       // smoothed share of failed attempts, 0 to 1
    // Maximum number of attempts of this gateway in flight. Below 1, the gateway pauses between attempts.
    double concurrency_limit = 1;
    int samples = 0;
    bool ejected = false;
    bool restart_suspected = false;  // connections failed, so the process may have restarted
    Millis started_at = kNever;      // start of the endpoint's warm-up
    Millis last_outcome_at = kNever;
  };
  struct Endpoint : EndpointStatistics {
    std::string id;
  };
  // Throughput of the warm endpoints of a machine type. `served` and `endpoint_time` decay exponentially.
  struct MachineType {
    std::string name;
    double served = 0;         // responses
    double endpoint_time = 0;  // ms, sum over the endpoints of observed time * weight
  };
  double rate = 0;       // admission rate, attempts per second
  double sent_rate = 0;  // attempts sent per second, smoothed
  double failure_rate = 0;
  double mean_latency = 0;  // ms, over all classes
  int samples = 0;
  Millis exported_at = 0;
  int gateway_count = 0;  // gateways that shared the endpoints at the export; 0 = as in Settings
  std::vector<TrafficClass> classes;
  std::vector<Endpoint> endpoints;
  std::vector<MachineType> machine_types;
};

}  // namespace gateway::policy

#endif  // GATEWAY_LEARNED_STATE_HPP_
