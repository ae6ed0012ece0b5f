#include "policy/list_polling.hpp"

#include <algorithm>
#include <limits>

namespace gateway::policy {
namespace {

constexpr Millis kMinimumBackoffMs = 100;
constexpr Millis kSpreadPerGatewayMs = 40;   // added to the call spread for each gateway after the first
constexpr double kMaximumSpreadShare = 0.4;  // maximum call spread, as a share of the maximum poll interval
constexpr Millis kMaximumInitialDelayMs = 1000;  // from the start to the first call
constexpr Millis kMaximumCallIntervalMs = 4500;  // from the start of a failed call to the next call
constexpr double kMaximumBackoffShare = 0.25;    // maximum backoff, as a share of the maximum poll interval

constexpr Millis kNotScheduled = std::numeric_limits<Millis>::infinity();

}  // namespace

ListPolling::ListPolling(const Settings& settings, double ring_position)
    : polling_enabled_(settings.poll_endpoint_list),
      maximum_interval_(settings.maximum_poll_interval),
      gateway_count_(settings.gateway_count),
      ring_position_(ring_position) {}

Millis ListPolling::CallSpread() const {
  return std::min({kSpreadPerGatewayMs * (gateway_count_ - 1), kMaximumSpreadShare * maximum_interval_,
                   kMaximumCallIntervalMs});
}

void ListPolling::RecordFailure(Millis call_duration, Millis now, RandomSource& random) {
  const bool previous_call_failed = backoff_ > 0;
  const double jitter = previous_call_failed ? 0.75 + random.Uniform() / 4 : random.Uniform();
  const Millis maximum_backoff = std::max(maximum_interval_ * kMaximumBackoffShare, 2 * CallSpread());
  backoff_ = std::min(std::max({kMinimumBackoffMs, CallSpread(), backoff_ * 2}), maximum_backoff);
  const Millis maximum_delay = polling_enabled_ ? backoff_ : kMinimumBackoffMs;
  next_call_at_ = now + std::clamp(kMaximumCallIntervalMs - call_duration, 0.0, maximum_delay) * jitter;
}

bool ListPolling::StartCallIfDue(bool list_known, Millis now) {
  if (next_call_at_ == kNever) {
    const Millis spread = list_known ? std::min(CallSpread(), kMaximumInitialDelayMs) : 0;
    next_call_at_ = polling_enabled_ ? now + spread * ring_position_ : kNotScheduled;
  }
  if (now < next_call_at_) return false;
  next_call_at_ = kNotScheduled;
  return true;
}

}  // namespace gateway::policy
