#include "proxy/discovery/service_failover.hpp"

#include <algorithm>

namespace gateway::proxy {
namespace {

constexpr Millis kMaxReturnDelayMs = 600000;

}  // namespace

ServiceFailover::ServiceFailover(std::size_t service_count, Millis return_delay)
    : service_count_(service_count), return_delay_(return_delay) {}

bool ServiceFailover::RecordFailure(Millis now) {
  if (current_ == 0) {
    switched_from_first_at_ = now;
    const bool failed_soon_after_return =
        returned_to_first_at_ > 0 && now - returned_to_first_at_ < return_delay_;
    if (failed_soon_after_return) return_delay_ = std::min(2 * return_delay_, kMaxReturnDelayMs);
  }
  current_ = (current_ + 1) % service_count_;
  ++consecutive_failures_;
  return consecutive_failures_ % service_count_ == 0;
}

void ServiceFailover::SwitchTo(std::size_t service, Millis now) {
  if (current_ == 0) switched_from_first_at_ = now;
  if (service == 0) returned_to_first_at_ = now;
  current_ = service;
}

std::size_t ServiceFailover::NextProbe(Millis now) {
  last_probe_ = (last_probe_ + 1) % service_count_;
  if (last_probe_ == current_) last_probe_ = (last_probe_ + 1) % service_count_;
  return ReturnIsDue(now) ? 0 : last_probe_;
}

ProbeDecision ServiceFailover::EvaluateProbe(std::size_t service, const EndpointList& list,
                                             const WatchPosition& position, Millis now) const {
  if (list.epoch != position.epoch || service == current_) return ProbeDecision::kStay;
  if (service == 0 && ReturnIsDue(now) && list.revision >= position.revision) {
    return ProbeDecision::kReturnToFirst;
  }
  return list.revision > position.revision ? ProbeDecision::kSwitchUnlessCaughtUp : ProbeDecision::kStay;
}

}  // namespace gateway::proxy
