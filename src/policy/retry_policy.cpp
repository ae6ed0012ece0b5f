#include "policy/retry_policy.hpp"

#include <algorithm>

#include "policy/endpoint.hpp"

namespace gateway::policy {
namespace {

constexpr double kRetriesPerRequest = 0.1;
constexpr double kMaximumRetryTokens = 20;
constexpr Millis kMaximumTransitMs = 100;  // maximum time of a request from the gateway to the endpoint

}  // namespace

void RetryBudget::RecordRequest() { tokens_ = std::min(tokens_ + kRetriesPerRequest, kMaximumRetryTokens); }

bool IsSafeToRepeat(const ActiveRequest& request, const TrafficClassSettings& traffic_class) {
  return request.FirstPossiblyExecuted() == nullptr ||
         traffic_class.idempotency != Idempotency::kNotIdempotent;
}

bool IsSafeForClientToRetry(const ActiveRequest& request, const TrafficClassSettings& traffic_class) {
  if (request.FirstPossiblyExecuted() == nullptr) return true;
  if (traffic_class.idempotency == Idempotency::kIdempotent) return true;
  return traffic_class.idempotency == Idempotency::kIdempotencyKey &&
         traffic_class.deduplication_scope == DeduplicationScope::kAll;
}

bool MaySendTo(const ActiveRequest& request, const TrafficClassSettings& traffic_class,
               const EndpointInfo& endpoint, Millis now) {
  if (traffic_class.idempotency != Idempotency::kIdempotencyKey) return true;
  const Attempt* const executed = request.FirstPossiblyExecuted();
  if (executed == nullptr) return true;
  if (now >= request.repeat_deadline_at) return false;
  const EndpointInfo& first = executed->endpoint->info;
  switch (traffic_class.deduplication_scope) {
    case DeduplicationScope::kAll: return true;
    case DeduplicationScope::kZone: return first.zone == endpoint.zone;
    case DeduplicationScope::kCell: return first.cell == endpoint.cell;
  }
  return false;
}

Millis RepeatDeadline(const TrafficClassSettings& traffic_class, Millis sent_at) {
  return sent_at + traffic_class.deduplication_window - kMaximumTransitMs;
}

bool ShouldRetry(const ActiveRequest& request, const TrafficClassSettings& traffic_class,
                 const RetryConditions& conditions, Millis now) {
  const bool slow_request =
      conditions.last_result == AttemptResult::kTimedOut && !conditions.last_endpoint_ejected;
  const bool in_time = now + conditions.expected_latency < request.objective_ends_at;
  const bool attempts_left = static_cast<int>(request.attempts.size()) < conditions.max_attempts;
  return IsSafeToRepeat(request, traffic_class) && !slow_request && in_time && attempts_left &&
         request.buffered && conditions.budget_left;
}

}  // namespace gateway::policy
