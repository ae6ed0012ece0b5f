#include "policy/policy_log.hpp"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace gateway::policy {
namespace {

constexpr Millis kStatusIntervalMs = 5000;
constexpr Millis kMinimumEventIntervalMs = 200;
constexpr std::size_t kMaximumLineBytes = 512;

std::string FormatStatus(const PolicyStatus& status, const PolicyCounters& counters) {
  const auto outcomes = [&counters](AttemptResult result) {
    return counters.outcomes[static_cast<std::size_t>(result)];
  };
  char text[kMaximumLineBytes];
  std::snprintf(
      text, sizeof text,
      "policy: rate %.0f sent_rate %.0f tokens %.1f failure_rate %.2f queued %zu endpoints %d ejected %d "
      "in_flight %d slots %.0f latency %.1f | arrived %d sent_directly %d released %d queue_time %.1f "
      "queue_full %d queue_timeout %d too_late %d attempts_failed %d | served %d served_late %d error %d "
      "rejected %d timeout %d connect %d reset %d",
      status.rate, status.sent_rate, status.tokens, status.failure_rate, status.queued, status.endpoints_up,
      status.endpoints_ejected, status.attempts_in_flight, status.slots, status.latency, counters.arrived,
      counters.sent_directly, counters.released, counters.time_in_queue / std::max(1, counters.released),
      counters.rejected_queue_full, counters.rejected_queue_timeout, counters.rejected_too_late,
      counters.failed_attempts, outcomes(AttemptResult::kServed), counters.served_late,
      outcomes(AttemptResult::kError), outcomes(AttemptResult::kRejected), outcomes(AttemptResult::kTimedOut),
      outcomes(AttemptResult::kConnectFailed), outcomes(AttemptResult::kReset));
  return text;
}

}  // namespace

void PolicyLog::WriteEvent(EventContext& context, std::string text) {
  if (context.now < next_event_at_) return;
  next_event_at_ = context.now + kMinimumEventIntervalMs;
  context.Emit(LogLine{std::move(text), /*is_status=*/false});
}

bool PolicyLog::IsStatusDue(Millis now) {
  if (now < last_status_at_ + kStatusIntervalMs) return false;
  return std::exchange(last_status_at_, now) != kNever;
}

void PolicyLog::WriteStatus(EventContext& context, const PolicyStatus& status) {
  context.Emit(LogLine{FormatStatus(status, std::exchange(counters_, {})), /*is_status=*/true});
}

}  // namespace gateway::policy
