// How fast learned state loses its weight.
#ifndef GATEWAY_POLICY_LEARNED_STATE_AGE_HPP_
#define GATEWAY_POLICY_LEARNED_STATE_AGE_HPP_

#include <cmath>

#include "gateway/time.hpp"

namespace gateway::policy {

constexpr Millis kFailureHalfLifeMs = 15000;  // of failure rates and ejections
constexpr Millis kLatencyHalfLifeMs = 60000;  // of latencies and concurrency limits
constexpr Millis kRateHalfLifeMs = 20000;     // of rates and throughput

// The weight in [0, 1] of what was learned at `learned_at`. What seems to come from the future has none: the
// clock was set back, so its age is unknown.
inline double RemainingWeight(Millis learned_at, Millis now, Millis half_life) {
  return learned_at > now ? 0 : std::exp2((learned_at - now) / half_life);
}

// This gateway's part of a total that `exported_count` gateways shared equally; 0 = as many as now.
inline double ShareOfExportedTotal(int exported_count, int gateway_count) {
  return exported_count > 0 ? 1.0 * exported_count / gateway_count : 1;
}

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_LEARNED_STATE_AGE_HPP_
