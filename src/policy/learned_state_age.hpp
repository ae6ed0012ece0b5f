// Decay of learned state with its age.
#ifndef GATEWAY_POLICY_LEARNED_STATE_AGE_HPP_
#define GATEWAY_POLICY_LEARNED_STATE_AGE_HPP_

#include <cmath>

#include "gateway/time.hpp"

namespace gateway::policy {

constexpr Millis kFailureHalfLifeMs = 15000;  // of failure rates and ejections
constexpr Millis kLatencyHalfLifeMs = 60000;  // of latencies and concurrency limits
constexpr Millis kRateHalfLifeMs = 20000;     // of rates and throughput

// Returns the weight in [0, 1] of state learned at `learned_at`. State from the future has weight 0: the
// clock was set back, so the age of the state is unknown.
inline double RemainingWeight(Millis learned_at, Millis now, Millis half_life) {
  return learned_at > now ? 0 : std::exp2((learned_at - now) / half_life);
}

// Returns the factor that converts an exported rate to this gateway's equal share of the same total rate, if
// the number of gateways has changed from `exported_count` to `gateway_count`. An `exported_count` of 0 means
// no change.
inline double ShareOfExportedTotal(int exported_count, int gateway_count) {
  return exported_count > 0 ? 1.0 * exported_count / gateway_count : 1;
}

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_LEARNED_STATE_AGE_HPP_
