// Retry policy: whether a request is retried, which endpoints may receive the retry, and the retry budget.
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
  // Adds a fraction of a token for an arrived request, up to a maximum number of tokens.
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

// Returns whether the request may be sent to the endpoint. A request with an idempotency key is restricted
// once one of its attempts may have been executed: it may be sent only to endpoints in the deduplication
// scope of that attempt, and only until its repeat deadline (see RepeatDeadline).
bool MaySendTo(const ActiveRequest& request, const TrafficClassSettings& traffic_class,
               const EndpointInfo& endpoint, Millis now);

// Returns the repeat deadline: the latest time at which the request may be sent again if an attempt that was
// sent at `sent_at` may have been executed. The repeat then arrives within the deduplication window.
Millis RepeatDeadline(const TrafficClassSettings& traffic_class, Millis sent_at);

// The conditions for a retry that do not depend on the request itself.
struct RetryConditions {
  AttemptResult last_result = AttemptResult::kError;
  bool last_endpoint_ejected = false;
  int max_attempts = 1;
  double expected_latency = 0;  // ms, smoothed latency of the request's class
  bool budget_left = false;
};

// Returns whether the caller must retry a request that has no attempt in flight. All of these conditions must
// hold: the retry is safe, the gateway still stores the complete request, attempts and retry budget are left,
// and a response is expected within the latency objective. After a timeout at an endpoint that is not
// ejected, the request is not retried, since the request itself is probably slow. The caller adds the retry
// to the queues of the request's class. The QueueDeadline() of the request does not change.
bool ShouldRetry(const ActiveRequest& request, const TrafficClassSettings& traffic_class,
                 const RetryConditions& conditions, Millis now);

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_RETRY_POLICY_HPP_
