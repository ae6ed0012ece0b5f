// Latency estimates of an endpoint or a machine type.
#ifndef GATEWAY_POLICY_LATENCY_ESTIMATE_HPP_
#define GATEWAY_POLICY_LATENCY_ESTIMATE_HPP_

#include "gateway/time.hpp"

namespace gateway::policy {

// Smoothed latencies. Each sample is divided by the relative latency of its request's traffic class, so that
// samples of all classes are comparable.
struct LatencyEstimate {
  Millis current = 0;    // smoothed; 0 = no sample yet
  Millis long_term = 0;  // smoothed over more samples
  Millis base = 0;       // estimate of the latency without queueing, from the lowest values of `long_term`
  int samples = 0;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_LATENCY_ESTIMATE_HPP_
