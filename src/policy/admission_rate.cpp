#include "policy/admission_rate.hpp"

#include <algorithm>

namespace gateway::policy {
namespace {

constexpr double kInitialRatePerEndpoint = 1000;   // tokens per second; more than any endpoint serves
constexpr double kAdditiveIncrease = 0.3;          // tokens per second for each response within its objective
constexpr double kMaximumRelativeIncrease = 0.05;  // maximum of an increase, as a share of the rate
constexpr double kDecreaseFactor = 0.85;
constexpr Millis kMinimumDecreaseIntervalMs = 100;
constexpr Millis kBucketPeriodMs = 50;            // the bucket holds the tokens that are added in this period
constexpr double kMinimumBucketTokens = 2;        // tokens
constexpr Millis kSentRateTimeConstantMs = 1000;  // for the rate of sent attempts
// Factor on the time constant if many gateways share an endpoint, since each gateway then has fewer samples.
constexpr double kSharedTimeConstantFactor = 4;

// Failure rate above which the admission rate is decreased. The threshold is higher if many gateways share an
// endpoint, since the decreases of all gateways add up.
constexpr double kFailureThreshold = 0.2;
constexpr double kSharedFailureThreshold = 0.25;

// Bounds of the weight of an outcome in the failure rate. The smoothed failure rate covers the outcomes of
// about one second, but at least 5 and at most 20 outcomes.
constexpr double kMinimumOutcomeWeight = 0.05;
constexpr double kMaximumOutcomeWeight = 0.2;

}  // namespace

double AdmissionRate::MaximumRate(const Fleet& fleet) {
  return kInitialRatePerEndpoint * std::max(1, fleet.endpoints_up);
}

double AdmissionRate::MinimumRate(const Fleet& fleet) {
  return 1.0 * fleet.endpoints_up / fleet.gateway_count;
}

Millis AdmissionRate::SentRateTimeConstant(const Fleet& fleet) {
  return kSentRateTimeConstantMs * (fleet.many_gateways_per_endpoint ? kSharedTimeConstantFactor : 1);
}

double AdmissionRate::BucketCapacity() const {
  return std::max(kMinimumBucketTokens, rate_ * kBucketPeriodMs / 1000);
}

void AdmissionRate::Advance(Millis elapsed, const Fleet& fleet) {
  const bool first = rate_ <= 0 && fleet.endpoints_up > 0;
  if (first) rate_ = kInitialRatePerEndpoint * fleet.endpoints_up;
  const double capacity = BucketCapacity();
  tokens_ = first ? capacity : std::min(tokens_ + rate_ * elapsed / 1000, capacity);
  sent_rate_.Advance(elapsed, SentRateTimeConstant(fleet));
}

void AdmissionRate::TakeToken(const Fleet& fleet) {
  tokens_ -= 1;
  sent_rate_.Add(1000 / SentRateTimeConstant(fleet));
}

bool AdmissionRate::RecordOutcome(bool within_objective, Millis sent_at, Millis now, const Fleet& fleet) {
  if (!within_objective && sent_at < decreased_at_) return false;
  const double weight = std::clamp(1 / (1 + rate_), kMinimumOutcomeWeight, kMaximumOutcomeWeight);
  failure_rate_ += weight * ((within_objective ? 0.0 : 1.0) - failure_rate_);
  if (within_objective) {
    const double increase = std::min(kAdditiveIncrease, kMaximumRelativeIncrease * rate_);
    rate_ = std::min(rate_ + increase, MaximumRate(fleet));
    return false;
  }
  const double threshold = fleet.many_gateways_per_endpoint ? kSharedFailureThreshold : kFailureThreshold;
  return failure_rate_ > threshold && now >= next_decrease_at_;
}

void AdmissionRate::Decrease(Millis now, Millis round_trip, const Fleet& fleet) {
  rate_ = std::max(MinimumRate(fleet), std::min(rate_, SentPerSecond()) * kDecreaseFactor);
  decreased_at_ = now;
  next_decrease_at_ = now + std::max(kMinimumDecreaseIntervalMs, round_trip);
}

bool AdmissionRate::AdmitsBeyondQuota() const { return failure_rate_ < kSharedFailureThreshold; }

void AdmissionRate::Export(LearnedState& state) const {
  state.rate = rate_;
  state.sent_rate = SentPerSecond();
  state.failure_rate = failure_rate_;
}

void AdmissionRate::Import(const LearnedState& state, double remaining_weight, double load_share,
                           const Fleet& fleet) {
  // The older the state is, the higher is the restored rate: an overload at the time of the export may have
  // ended since.
  if (state.rate > 0) rate_ = std::min(MaximumRate(fleet), state.rate * load_share / remaining_weight);
  tokens_ = std::min(tokens_, BucketCapacity());
  sent_rate_.Restore(state.sent_rate * load_share * remaining_weight, remaining_weight);
  failure_rate_ = state.failure_rate * remaining_weight;
}

void AdmissionRate::Scale(double factor, const Fleet& fleet) {
  rate_ = std::clamp(rate_ * factor, MinimumRate(fleet), MaximumRate(fleet));
  tokens_ = std::min(tokens_, BucketCapacity());
  sent_rate_.Scale(factor);
}

}  // namespace gateway::policy
