#include "policy/outlier_detection.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "policy/endpoint.hpp"

namespace gateway::policy {
namespace {

constexpr double kOutcomeWeight = 0.2;            // weight of an outcome in the failure rate
constexpr double kBrokenConnectionWeight = 0.05;  // weight of a reset while other attempts are served
constexpr double kEjectionThreshold = 0.3;        // failure rate above which an endpoint is ejected
constexpr double kReadmissionThreshold = 0.1;     // failure rate below which a served probe ends the ejection

constexpr Millis kInitialProbeBackoffMs = 300;
constexpr Millis kMaximumProbeBackoffMs = 4000;
constexpr double kProbesPerRequest = 0.05;  // added to the probe budget if many gateways share an endpoint
constexpr double kMaximumProbeBudget = 2;   // in probes
constexpr double kProbeTimeShare = 0.5;     // probe timeout, as a share of the time left until the objective

constexpr Millis kInitialClassErrorBackoffMs = 300;
constexpr Millis kMaximumClassErrorBackoffMs = 4000;
constexpr int kMaximumBackoffDoublings = 30;

// A zone is unresponsive if this many of its endpoints failed since the last response from the zone.
constexpr std::size_t kUnresponsiveZoneEndpoints = 3;
// If an endpoint has not served an attempt for this time, failed connections indicate a restart.
constexpr Millis kRestartDetectionPeriodMs = 1000;

// Returns a random duration between 75 and 125% of the backoff.
Millis WithJitter(Millis backoff, RandomSource& random) { return backoff * (0.75 + 0.5 * random.Uniform()); }

}  // namespace

void OutlierDetection::Reset(OutlierState& state) const {
  state.failure_rate = 0;
  state.ejected = false;
  state.restart_suspected = false;
  state.probe_backoff = kInitialProbeBackoffMs;
  state.class_errors.assign(class_count_, {});
}

OutlierDetection::Assessment OutlierDetection::RecordOutcome(Endpoint& endpoint, const Outcome& outcome,
                                                             Millis now, RandomSource& random) const {
  OutlierState& state = endpoint.outlier;
  const bool served = outcome.result == AttemptResult::kServed;
  state.last_outcome_at = now;
  RecordClassError(state, outcome, now);
  // Connections to an overloaded endpoint fail too. Therefore a restart is suspected only if the endpoint has
  // served no attempt recently.
  const bool connection_failed =
      outcome.result == AttemptResult::kConnectFailed || outcome.result == AttemptResult::kReset;
  const bool no_recent_response = now - state.last_served_at > kRestartDetectionPeriodMs;
  if (connection_failed && no_recent_response && state.failure_rate >= kOutcomeWeight) {
    state.restart_suspected = true;
  }
  // A timeout while other attempts were served indicates a slow request, not a failing endpoint.
  const bool isolated_timeout =
      outcome.result == AttemptResult::kTimedOut && state.last_served_at > now - outcome.latency;
  // A connection that breaks while the endpoint serves other attempts indicates a network fault.
  const bool served_recently = state.last_served_at > now - kRestartDetectionPeriodMs;
  const bool broken_connection = outcome.result == AttemptResult::kReset && served_recently;
  if (served) state.last_served_at = now;
  RecordZone(endpoint, outcome, now);
  if (!isolated_timeout) {
    const double weight = broken_connection ? kBrokenConnectionWeight : kOutcomeWeight;
    state.failure_rate += weight * ((served ? 0.0 : 1.0) - state.failure_rate);
  }
  Assessment assessment;
  assessment.is_latency_sample = !isolated_timeout && !broken_connection;
  if (served && state.ejected) {
    assessment.change = RecordProbeSuccess(state, now);
  } else if (!served && !isolated_timeout && (state.failure_rate > kEjectionThreshold || state.ejected)) {
    if (Eject(state, now, random)) assessment.change = Change::kEjected;
  }
  return assessment;
}

void OutlierDetection::RecordRejection(Endpoint& endpoint, Millis now, RandomSource& random) const {
  if (endpoint.outlier.ejected) Eject(endpoint.outlier, now, random);
}

void OutlierDetection::RecordClassError(OutlierState& state, const Outcome& outcome, Millis now) const {
  OutlierState::ClassErrors& errors = state.class_errors[outcome.class_index];
  if (outcome.result == AttemptResult::kServed) errors = {};
  if (outcome.result != AttemptResult::kError) return;
  const int doublings = std::min(errors.consecutive++, kMaximumBackoffDoublings);
  errors.avoid_until =
      now + std::min(kMaximumClassErrorBackoffMs, kInitialClassErrorBackoffMs * std::exp2(doublings));
}

void OutlierDetection::RecordZone(Endpoint& endpoint, const Outcome& outcome, Millis now) const {
  Zone& zone = *endpoint.zone;
  if (outcome.result == AttemptResult::kServed) {
    zone.last_response_at = now;
    zone.unresponsive.clear();
  }
  const bool unresponsive =
      outcome.result == AttemptResult::kTimedOut || outcome.result == AttemptResult::kConnectFailed;
  const Millis sent_at = now - outcome.latency;
  if (unresponsive && sent_at > zone.last_response_at) zone.unresponsive.insert(endpoint.info.id);
}

// Ejects the endpoint, schedules its next probe and doubles the probe backoff. Returns whether the endpoint
// was not ejected before.
bool OutlierDetection::Eject(OutlierState& state, Millis now, RandomSource& random) const {
  const bool newly_ejected = !std::exchange(state.ejected, true);
  state.next_probe_at = now + WithJitter(state.probe_backoff, random);
  state.probe_backoff = std::min(state.probe_backoff * 2, kMaximumProbeBackoffMs);
  return newly_ejected;
}

OutlierDetection::Change OutlierDetection::RecordProbeSuccess(OutlierState& state, Millis now) const {
  state.next_probe_at = now;
  state.probe_backoff = kInitialProbeBackoffMs;
  state.ejected = state.failure_rate >= kReadmissionThreshold;
  if (state.restart_suspected) return Change::kRestarted;
  return state.ejected ? Change::kNone : Change::kReadmitted;
}

bool OutlierDetection::IsAvoidedForClass(const OutlierState& state, std::size_t class_index,
                                         Millis now) const {
  return now < state.class_errors[class_index].avoid_until;
}

bool OutlierDetection::IsZoneUnresponsive(const Zone& zone, std::size_t zone_count) const {
  return zone_count > 1 && zone.unresponsive.size() >= kUnresponsiveZoneEndpoints;
}

bool OutlierDetection::IsProbeDue(const Endpoint& endpoint, Millis now) const {
  return now >= endpoint.outlier.next_probe_at && endpoint.in_flight == 0;
}

void OutlierDetection::AddProbeBudget(bool many_gateways_per_endpoint) {
  const double earned = many_gateways_per_endpoint ? kProbesPerRequest : 1;
  probe_budget_ = std::min(probe_budget_ + earned, kMaximumProbeBudget);
}

void OutlierDetection::SpendProbeBudget() { probe_budget_ = std::max(0.0, probe_budget_ - 1); }

Millis OutlierDetection::ProbeDeadline(Millis now, Millis objective_ends_at) const {
  return now + kProbeTimeShare * (objective_ends_at - now);
}

void OutlierDetection::Restore(OutlierState& state, const LearnedState::EndpointStatistics& learned,
                               double remaining_weight, Millis now, RandomSource& random) const {
  state.failure_rate = remaining_weight * learned.failure_rate;
  state.ejected = learned.ejected && state.failure_rate >= kReadmissionThreshold;
  state.restart_suspected = learned.restart_suspected;
  state.last_outcome_at = learned.last_outcome_at;
  if (state.ejected) state.next_probe_at = now + WithJitter(remaining_weight * state.probe_backoff, random);
}

}  // namespace gateway::policy
