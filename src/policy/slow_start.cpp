#include "policy/slow_start.hpp"

#include <algorithm>
#include <cmath>

#include "policy/endpoint.hpp"

namespace gateway::policy {
namespace {

// The credit rate is proportional to this share of the overload factor. At the full factor, a warming
// endpoint would fail.
constexpr double kSafeOverloadShare = 0.7;
constexpr double kMaximumCreditAttempts = 1;
constexpr Millis kThroughputTimeConstantMs = 10000;
// The prior of the mean service rate is the arrival rate, divided by weight among the endpoints of the
// subset. It counts as much as observing each of these endpoints for this time.
constexpr Millis kArrivalPriorMs = 500;
// The prior of a machine type's service rate is the mean service rate. It counts as much as observing one
// endpoint of weight 1 for this time.
constexpr Millis kMachineTypePriorMs = 20000;

}  // namespace

SlowStart::SlowStart(const Settings& settings)
    : initial_fraction_(settings.warm_up_initial_fraction),
      duration_(settings.warm_up_duration),
      overload_factor_(settings.overload_factor) {}

void SlowStart::BeginWarmUp(SlowStartState& state, Millis started_at, double initial_credit,
                            Millis now) const {
  state.started_at = std::max(state.started_at, started_at);
  state.credit = initial_credit;
  state.credited_at = now;
}

double SlowStart::WarmUpFraction(const SlowStartState& state, Millis now) const {
  const Millis age = now - state.started_at;
  if (age >= duration_) return 1;
  return initial_fraction_ + (1 - initial_fraction_) * std::max(0.0, age) / duration_;
}

bool SlowStart::HasCredit(Endpoint& endpoint, Millis now) const {
  SlowStartState& state = endpoint.slow_start;
  const double fraction = WarmUpFraction(state, now);
  if (fraction >= 1) return true;
  const double earned = kSafeOverloadShare * overload_factor_ * fraction * endpoint.info.weight *
                        ServiceRatePerMs(endpoint.machine_type->throughput) * (now - state.credited_at);
  state.credit = std::min(kMaximumCreditAttempts, state.credit + earned);
  state.credited_at = now;
  return state.credit >= 1;
}

void SlowStart::RecordSend(SlowStartState& state, Millis now) const {
  if (!IsWarm(state, now)) state.credit -= 1;
}

void SlowStart::RecordServed(Endpoint& endpoint, Millis now) const {
  if (IsWarm(endpoint.slow_start, now)) endpoint.machine_type->throughput.served += 1;
}

// Counts only the endpoints of the subset, since this gateway sends no requests to other endpoints. If other
// endpoints were counted, the credits that all gateways grant to a warming endpoint would not add up to its
// service rate.
void SlowStart::UpdateServiceRates(MachineTypes& machine_types, const std::vector<Endpoint*>& subset,
                                   Millis elapsed, double arrivals_per_ms, Millis now) {
  const double decay = std::exp(-elapsed / kThroughputTimeConstantMs);
  for (auto& [name, machine_type] : machine_types) {
    machine_type.throughput.served *= decay;
    machine_type.throughput.endpoint_time *= decay;
  }
  double weight = 0;
  for (const Endpoint* const endpoint : subset) {
    if (endpoint->outlier.ejected) continue;
    weight += endpoint->info.weight;
    if (!IsWarm(endpoint->slow_start, now)) continue;
    endpoint->machine_type->throughput.endpoint_time += elapsed * endpoint->info.weight;
  }
  Throughput sum;
  for (const auto& [name, machine_type] : machine_types) {
    sum.served += machine_type.throughput.served;
    sum.endpoint_time += machine_type.throughput.endpoint_time;
  }
  mean_rate_per_ms_ = (sum.served + kArrivalPriorMs * arrivals_per_ms) /
                      std::max(1.0, sum.endpoint_time + kArrivalPriorMs * weight);
}

double SlowStart::ServiceRatePerMs(const Throughput& throughput) const {
  return (throughput.served + kMachineTypePriorMs * mean_rate_per_ms_) /
         (throughput.endpoint_time + kMachineTypePriorMs);
}

}  // namespace gateway::policy
