// Admission rate: a token bucket whose rate follows the outcomes of attempts by additive increase and
// multiplicative decrease. Each attempt takes one token.
#ifndef GATEWAY_POLICY_ADMISSION_RATE_HPP_
#define GATEWAY_POLICY_ADMISSION_RATE_HPP_

#include "gateway/learned_state.hpp"
#include "gateway/time.hpp"
#include "policy/rate_estimator.hpp"

namespace gateway::policy {

class AdmissionRate {
 public:
  // The part of the deployment that bounds the rate.
  struct Fleet {
    int endpoints_up = 0;
    int gateway_count = 1;
    bool many_gateways_per_endpoint = false;  // no gateway sees much of an endpoint's traffic
  };

  // Refills the bucket for the time passed. The rate starts high, in proportion to the endpoints, with the
  // first call that has any.
  void Advance(Millis passed, const Fleet& fleet);

  // An attempt may be sent while any part of a token is left: the balance falls below 0 by less than one.
  bool HasToken() const { return tokens_ > 0; }

  // Counts an attempt that is sent.
  void TakeToken(const Fleet& fleet);

  // Records the outcome of an attempt and increases the rate if it was served within its latency objective.
  // Returns whether the rate has to be decreased. Failures of attempts sent before the last decrease do not
  // count again.
  bool RecordOutcome(bool within_objective, Millis sent_at, Millis now, const Fleet& fleet);

  // Decreases the rate, which is not done again for a `round_trip`.
  void Decrease(Millis now, Millis round_trip, const Fleet& fleet);

  // Whether requests beyond their tenant's quota may be sent where endpoints are shared by many gateways.
  bool AdmitsBeyondQuota() const;

  double rate() const { return rate_; }  // tokens per second
  double tokens() const { return tokens_; }
  double failure_rate() const {
    return failure_rate_;
  }  // smoothed share of outcomes not within the objective
  double SentPerSecond() const { return sent_.Rate(); }
  double sent_decayed_sum() const { return sent_.decayed_sum(); }

  void Export(LearnedState& state) const;
  // `kept`: the share of what was learned that still holds, by its age. `share`: this gateway's part of the
  // exported rates.
  void Import(const LearnedState& state, double kept, double share, const Fleet& fleet);
  void Scale(double factor, const Fleet& fleet);

 private:
  static double MaximumRate(const Fleet& fleet);
  static double MinimumRate(const Fleet& fleet);
  static Millis SentRateTimeConstant(const Fleet& fleet);
  double BucketCapacity() const;

  double tokens_ = 1;
  double rate_ = 0;
  double failure_rate_ = 0;
  RateEstimator sent_;  // attempts per second
  Millis decreased_at_ = kNever;
  Millis next_decrease_at_ = kNever;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_ADMISSION_RATE_HPP_
