// Admission rate: a token bucket whose rate follows the outcomes of attempts by additive increase and
// multiplicative decrease. Each attempt takes one token.
#ifndef GATEWAY_POLICY_ADMISSION_RATE_HPP_
#define GATEWAY_POLICY_ADMISSION_RATE_HPP_

#include "gateway/learned_state.hpp"
#include "gateway/time.hpp"
#include "policy/rate_estimator.hpp"

namespace gateway::policy {

// Limits the rate at which a gateway sends attempts.
class AdmissionRate {
 public:
  // The properties of the deployment that bound the rate.
  struct Fleet {
    int endpoints_up = 0;
    int gateway_count = 1;
    bool many_gateways_per_endpoint = false;  // each gateway gets few samples from an endpoint
  };

  // Refills the bucket for the elapsed time. The first call with an endpoint that is up sets the initial
  // rate, which is high and proportional to the number of endpoints.
  void Advance(Millis elapsed, const Fleet& fleet);

  // Returns whether an attempt may be sent. A fraction of a token suffices. Therefore the number of tokens
  // can be negative after TakeToken(), but is always greater than -1.
  bool HasToken() const { return tokens_ > 0; }

  // Consumes a token for an attempt that the caller sends.
  void TakeToken(const Fleet& fleet);

  // Records the outcome of an attempt. Increases the rate if the attempt was served within its latency
  // objective. Returns true if the caller must call Decrease(). Ignores failures of attempts that were sent
  // before the last decrease.
  bool RecordOutcome(bool within_objective, Millis sent_at, Millis now, const Fleet& fleet);

  // Decreases the rate. RecordOutcome() then returns false for the time `round_trip`, or for 100 ms if
  // `round_trip` is shorter.
  void Decrease(Millis now, Millis round_trip, const Fleet& fleet);

  // Returns whether requests beyond their tenant's quota may be sent. Applies only if many gateways share an
  // endpoint; otherwise ConcurrencyLimit::HasSlot() decides.
  bool AdmitsBeyondQuota() const;

  double rate() const { return rate_; }  // tokens per second
  double tokens() const { return tokens_; }
  // Returns the smoothed share of outcomes that were not within the objective.
  double failure_rate() const { return failure_rate_; }
  double SentPerSecond() const { return sent_rate_.Rate(); }
  // Returns the estimate of SentPerSecond() without the correction for the time before the start. Soon after
  // the start, it is lower than SentPerSecond().
  double sent_decayed_sum() const { return sent_rate_.decayed_sum(); }

  void Export(LearnedState& state) const;
  // Restores the learned state. `remaining_weight` in [0, 1] is the weight of the state after decay by its
  // age. `load_share` is the factor that converts the exported rates to rates of this gateway.
  void Import(const LearnedState& state, double remaining_weight, double load_share, const Fleet& fleet);
  // Multiplies the admission rate and the sent rate by `factor`.
  void Scale(double factor, const Fleet& fleet);

 private:
  static double MaximumRate(const Fleet& fleet);
  static double MinimumRate(const Fleet& fleet);
  static Millis SentRateTimeConstant(const Fleet& fleet);
  double BucketCapacity() const;

  double tokens_ = 1;
  double rate_ = 0;
  double failure_rate_ = 0;
  RateEstimator sent_rate_;  // estimates the attempts sent per second
  Millis decreased_at_ = kNever;
  Millis next_decrease_at_ = kNever;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_ADMISSION_RATE_HPP_
