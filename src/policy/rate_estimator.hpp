// Estimator of event rates.
#ifndef GATEWAY_POLICY_RATE_ESTIMATOR_HPP_
#define GATEWAY_POLICY_RATE_ESTIMATOR_HPP_

#include <algorithm>
#include <cmath>

#include "gateway/time.hpp"

namespace gateway::policy {

// Estimates the rate of events with exponential decay.
class RateEstimator {
 public:
  // Decays the estimate by the `elapsed` time. `time_constant` is the time constant of the exponential decay.
  void Advance(Millis elapsed, Millis time_constant) {
    const double decay = std::exp(-elapsed / time_constant);
    decayed_sum_ *= decay;
    observed_share_ = 1 - decay * (1 - observed_share_);
  }

  // Counts one event. `weight` is the time unit of Rate() divided by the time constant.
  void Add(double weight) { decayed_sum_ += weight; }

  // Returns the number of events per time unit. The time before the start of the estimator does not count as
  // time without events. Therefore the estimate is not too low soon after the start.
  double Rate() const { return decayed_sum_ / std::max(observed_share_, kMinimumObservedShare); }

  // Multiplies the estimate by `factor`.
  void Scale(double factor) { decayed_sum_ *= factor; }

  // Restores an earlier estimate. `observed_share` is the share of the decay window that the estimate covers.
  void Restore(double decayed_sum, double observed_share) {
    decayed_sum_ = decayed_sum;
    observed_share_ = observed_share;
  }

  // Returns the decayed sum of the weights. The sum is less than Rate() until the estimator has observed the
  // complete decay window.
  double decayed_sum() const { return decayed_sum_; }

 private:
  static constexpr double kMinimumObservedShare = 0.05;  // bounds the estimate soon after the start

  double decayed_sum_ = 0;
  double observed_share_ = 0;  // share of the decay window that lies after the start, in [0, 1]
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_RATE_ESTIMATOR_HPP_
