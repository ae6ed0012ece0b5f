// The log of a Policy: a periodic status line and rate-limited lines about events.
#ifndef GATEWAY_POLICY_POLICY_LOG_HPP_
#define GATEWAY_POLICY_POLICY_LOG_HPP_

#include <array>
#include <cstddef>
#include <string>

#include "gateway/events.hpp"
#include "gateway/learned_state.hpp"
#include "gateway/time.hpp"
#include "policy/event_context.hpp"

namespace gateway::policy {

// Counts of events since the last status line. The decisions of the policy do not depend on them.
struct PolicyCounters {
  int arrived = 0;
  int sent_directly = 0;
  int released = 0;                // requests sent from a queue
  Millis time_in_queue = 0;        // total over the released requests
  int rejected_queue_full = 0;     // requests that arrived when the queues of their class were full
  int rejected_queue_timeout = 0;  // requests whose queue deadline passed
  int rejected_too_late = 0;       // requests that arrived too late for their deadline or objective
  int failed_attempts = 0;         // requests whose last attempt failed and was not retried
  int served_late = 0;             // attempts served after the latency objective
  std::array<int, kAttemptResultCount> outcomes{};  // attempts by AttemptResult

  void Count(AttemptResult result) { ++outcomes[static_cast<std::size_t>(result)]; }
};

// The state that the status line reports in addition to the counters.
struct PolicyStatus {
  double rate = 0;       // tokens per second
  double sent_rate = 0;  // attempts per second, smoothed
  double tokens = 0;
  double failure_rate = 0;
  std::size_t queued = 0;
  int endpoints_up = 0;
  int endpoints_ejected = 0;
  int attempts_in_flight = 0;
  double slots = 0;    // total over the endpoints that are up and not ejected
  Millis latency = 0;  // mean over all classes, smoothed
};

// Emits the log lines and owns the counters.
class PolicyLog {
 public:
  PolicyCounters& counters() { return counters_; }

  // Emits a line about an event. Drops the line if another such line was emitted in the last 200 ms.
  void WriteEvent(EventContext& context, std::string text);

  // Returns whether a status line is due. One line is due every 5 s. The first call starts the first interval
  // and returns false.
  bool IsStatusDue(Millis now);
  // Emits the status line and resets the counters.
  void WriteStatus(EventContext& context, const PolicyStatus& status);

 private:
  PolicyCounters counters_;
  Millis next_event_at_ = kNever;
  Millis last_status_at_ = kNever;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_POLICY_LOG_HPP_
