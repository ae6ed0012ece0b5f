// Latency estimates of an endpoint or a machine type.
#ifndef GATEWAY_POLICY_LATENCY_ESTIMATE_HPP_
#define GATEWAY_POLICY_LATENCY_ESTIMATE_HPP_

#include "gateway/time.hpp"

namespace gateway::policy {

// Latencies are divided by the relative latency of the request's traffic class.
struct LatencyEstimate {
  Millis current = 0;    // smoothed; 0 = no sample yet
  Millis long_term = 0;  // smoothed over more samples
  Millis base = 0;       // estimate of the latency without queueing: follows the lowest long-term values
  int samples = 0;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_LATENCY_ESTIMATE_HPP_
