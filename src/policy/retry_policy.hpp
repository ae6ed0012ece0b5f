// Retries: whether a request may be attempted again, where, and within which budget.
#ifndef GATEWAY_POLICY_RETRY_POLICY_HPP_
#define GATEWAY_POLICY_RETRY_POLICY_HPP_

#include "gateway/events.hpp"
#include "gateway/settings.hpp"
#include "gateway/time.hpp"
#include "policy/active_request.hpp"

namespace gateway::policy {

// Retries are limited to a share of the requests, so that failures do not multiply the load.
class RetryBudget {
 public:
  void RecordRequest();
  bool HasToken() const { return tokens_ >= 1; }
  void TakeToken() { tokens_ -= 1; }

 private:
  double tokens_ = 1;
};

// Whether executing the request once more cannot do harm, by the attempts made so far.
bool IsSafeToRepeat(const ActiveRequest& request, const TrafficClassSettings& traffic_class);

// Whether a client that is told to retry can do so without harm: its retry may reach any endpoint.
bool IsSafeForClientToRetry(const ActiveRequest& request, const TrafficClassSettings& traffic_class);

// Whether the request may be sent to the endpoint. With an idempotency key, a request that may have been
// executed has to stay in the deduplication scope of that attempt, within the deduplication window.
bool MaySendTo(const ActiveRequest& request, const TrafficClassSettings& traffic_class,
               const EndpointInfo& endpoint, Millis now);

// The time by which a repeat must begin, after an attempt sent at `sent_at` that may have been executed.
Millis RepeatDeadline(const TrafficClassSettings& traffic_class, Millis sent_at);

// What the retry of a failed attempt depends on, besides the request itself.
struct RetryConditions {
  AttemptResult last_result = AttemptResult::kError;
  bool last_endpoint_ejected = false;
  int max_attempts = 1;
  double expected_latency = 0;  // ms, of the class
  bool budget_left = false;
};

// Whether a request none of whose attempts is in flight is attempted again: the repeat must be safe, the
// gateway must still hold the request, and the response must be likely within the latency objective. A
// time-out at a healthy endpoint is not retried, since the request itself is then likely to be slow. A retry
// waits in the queue of its class, with the queue deadline of the request (see QueueDeadline).
bool ShouldRetry(const ActiveRequest& request, const TrafficClassSettings& traffic_class,
                 const RetryConditions& conditions, Millis now);

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_RETRY_POLICY_HPP_
