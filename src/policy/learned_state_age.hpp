// Decay of learned state with its age.
#ifndef GATEWAY_POLICY_LEARNED_STATE_AGE_HPP_
#define GATEWAY_POLICY_LEARNED_STATE_AGE_HPP_

#include <cmath>

#include "gateway/time.hpp"

namespace gateway::policy {

constexpr Millis kFailureHalfLifeMs = 15000;  // half-life of failure rates and ejections
constexpr Millis kLatencyHalfLifeMs = 60000;  // half-life of latencies and concurrency limits
constexpr Millis kRateHalfLifeMs = 20000;     // half-life of rates and throughput

// Returns the weight in [0, 1] of state that was learned at `learned_at`. If `learned_at` is in the future,
// the clock was set back and the age of the state is unknown, so the weight is 0.
inline double RemainingWeight(Millis learned_at, Millis now, Millis half_life) {
  return learned_at > now ? 0 : std::exp2((learned_at - now) / half_life);
}

// Returns the factor that converts an exported rate to a rate of this gateway if the number of gateways has
// changed from `exported_count` to `gateway_count`. The total rate of all gateways stays the same, and each
// gateway gets an equal share. An `exported_count` of 0 means that the number has not changed.
inline double ShareOfExportedTotal(int exported_count, int gateway_count) {
  return exported_count > 0 ? 1.0 * exported_count / gateway_count : 1;
}

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_LEARNED_STATE_AGE_HPP_
