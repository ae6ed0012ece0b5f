// Retry policy: whether a request may be retried, at which endpoints, and the retry budget.
#ifndef GATEWAY_POLICY_RETRY_POLICY_HPP_
#define GATEWAY_POLICY_RETRY_POLICY_HPP_

#include "gateway/events.hpp"
#include "gateway/settings.hpp"
#include "gateway/time.hpp"
#include "policy/active_request.hpp"

namespace gateway::policy {

// Limits retries to a share of the requests, so that failures do not multiply the load.
class RetryBudget {
 public:
  // Adds the share of a token that a request earns.
  void RecordRequest();
  bool HasToken() const { return tokens_ >= 1; }
  void TakeToken() { tokens_ -= 1; }

 private:
  double tokens_ = 1;
};

// Returns whether the request can safely be executed again after its attempts so far.
bool IsSafeToRepeat(const ActiveRequest& request, const TrafficClassSettings& traffic_class);

// Returns whether the client can safely retry the request. A client's retry may reach any endpoint.
bool IsSafeForClientToRetry(const ActiveRequest& request, const TrafficClassSettings& traffic_class);

// Returns whether the request may be sent to the endpoint. After an attempt that may have been executed, a
// request with an idempotency key may be sent only within the deduplication scope of that attempt and before
// the end of the deduplication window.
bool MaySendTo(const ActiveRequest& request, const TrafficClassSettings& traffic_class,
               const EndpointInfo& endpoint, Millis now);

// Returns the latest start of a repeat after an attempt that was sent at `sent_at` and may have been
// executed.
Millis RepeatDeadline(const TrafficClassSettings& traffic_class, Millis sent_at);

// The conditions for a retry that do not depend on the request itself.
struct RetryConditions {
  AttemptResult last_result = AttemptResult::kError;
  bool last_endpoint_ejected = false;
  int max_attempts = 1;
  double expected_latency = 0;  // ms, of the class
  bool budget_left = false;
};

// Returns whether a request without an attempt in flight is retried. A retry must be safe, the gateway must
// still store the complete request, attempts and budget must be left, and the response must be expected
// within the latency objective. A timeout at a healthy endpoint is not retried, since the request itself is
// probably slow. A retry is queued in its class, with the queue deadline of the request (see QueueDeadline).
bool ShouldRetry(const ActiveRequest& request, const TrafficClassSettings& traffic_class,
                 const RetryConditions& conditions, Millis now);

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_RETRY_POLICY_HPP_
