#include "registry/admission.hpp"

#include <algorithm>

namespace gateway::registry {
namespace {

constexpr base::Millis kMillisPerSecond = 1000;
constexpr std::uint64_t kRetrySpreadSeconds = 4;

}  // namespace

Admission::Admission(AdmissionLimits limits)
    : limits_(limits), whole_list_tokens_(limits.whole_lists_per_second) {}

bool Admission::AdmitCaller(const Session& session) {
  if (callers_.contains(&session)) return true;
  if (callers_.size() >= limits_.callers) return false;
  callers_.insert(&session);
  return true;
}

bool Admission::TakeWholeList() {
  if (whole_list_tokens_ < 1) return false;
  whole_list_tokens_ -= 1;
  return true;
}

void Admission::Refill(base::Millis now) {
  const double rate = limits_.whole_lists_per_second;
  if (refilled_at_ > 0) {
    whole_list_tokens_ = std::min(rate, whole_list_tokens_ + rate * (now - refilled_at_) / kMillisPerSecond);
  }
  refilled_at_ = now;
}

int Admission::TurnAway() {
  CountTurnedAway();
  return 1 + static_cast<int>(turned_away_ % kRetrySpreadSeconds);
}

}  // namespace gateway::registry
