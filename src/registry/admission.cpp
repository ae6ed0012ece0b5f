#include "registry/admission.hpp"

#include <algorithm>

namespace gateway::registry {
namespace {

constexpr base::Millis kMillisPerSecond = 1000;
constexpr std::uint64_t kRetrySpreadSeconds = 4;

}  // namespace

Admission::Admission(AdmissionLimits limits)
    : limits_(limits), full_list_tokens_(limits.full_lists_per_second) {}

bool Admission::AdmitClient(const Session& session) {
  if (clients_.contains(&session)) return true;
  if (clients_.size() >= limits_.clients) return false;
  clients_.insert(&session);
  return true;
}

bool Admission::AdmitFullList() {
  if (full_list_tokens_ < 1) return false;
  full_list_tokens_ -= 1;
  return true;
}

void Admission::Refill(base::Millis now) {
  const double rate = limits_.full_lists_per_second;
  if (refilled_at_ > 0) {
    const double tokens = rate * (now - refilled_at_) / kMillisPerSecond;
    full_list_tokens_ = std::min(rate, full_list_tokens_ + tokens);
  }
  refilled_at_ = now;
}

int Admission::RejectWithRetryAfter() {
  CountRejected();
  return 1 + static_cast<int>(rejected_ % kRetrySpreadSeconds);
}

}  // namespace gateway::registry
