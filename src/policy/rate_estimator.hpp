// An exponentially decaying estimate of the rate of events.
#ifndef GATEWAY_POLICY_RATE_ESTIMATOR_HPP_
#define GATEWAY_POLICY_RATE_ESTIMATOR_HPP_

#include <algorithm>
#include <cmath>

#include "gateway/time.hpp"

namespace gateway::policy {

class RateEstimator {
 public:
  // Lets `passed` go by; `memory` is the time constant of the decay.
  void Advance(Millis passed, Millis memory) {
    const double kept = std::exp(-passed / memory);
    decayed_sum_ *= kept;
    observed_share_ = 1 - kept * (1 - observed_share_);
  }

  // Counts one event: `weight` is the time unit of Rate() over the memory.
  void Add(double weight) { decayed_sum_ += weight; }

  // Events per time unit. Time before the start counts for nothing: an estimator that has observed a tenth of
  // its memory is not diluted by the rest.
  double Rate() const { return decayed_sum_ / std::max(observed_share_, kMinimumObservedShare); }

  void Scale(double factor) { decayed_sum_ *= factor; }

  // Continues an earlier estimate of which `observed_share` of the memory is left.
  void Restore(double decayed_sum, double observed_share) {
    decayed_sum_ = decayed_sum;
    observed_share_ = observed_share;
  }

  // The decayed sum of the weights, which is below Rate() until a whole memory was observed.
  double decayed_sum() const { return decayed_sum_; }

 private:
  static constexpr double kMinimumObservedShare = 0.05;  // bounds the rate that the first events suggest

  double decayed_sum_ = 0;
  double observed_share_ = 0;  // of the memory
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_RATE_ESTIMATOR_HPP_
