// What a Policy logs: a periodic status line, and lines on events, limited in their rate.
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

// Events since the last status line. No decision depends on them.
struct PolicyCounters {
  int arrived = 0;
  int sent_directly = 0;
  int released = 0;                                 // from a queue
  Millis time_in_queue = 0;                         // of the released requests, summed up
  int rejected_queue_full = 0;                      // the queue of the class was full
  int rejected_queue_timeout = 0;                   // the queue deadline passed
  int rejected_too_late = 0;                        // no time or value left on arrival
  int failed_attempts = 0;                          // requests answered because their attempts failed
  int served_late = 0;                              // attempts served after the latency objective
  std::array<int, kAttemptResultCount> outcomes{};  // of attempts, by AttemptResult

  void Count(AttemptResult result) { ++outcomes[static_cast<std::size_t>(result)]; }
};

// The state that the status line tells besides the counters.
struct PolicyStatus {
  double rate = 0;       // tokens per second
  double sent_rate = 0;  // attempts per second, smoothed
  double tokens = 0;
  double failure_rate = 0;
  std::size_t queued = 0;
  int endpoints_up = 0;
  int endpoints_ejected = 0;
  int attempts_in_flight = 0;
  double slots = 0;  // of the endpoints that are up and not ejected
  Millis latency = 0;
};

class PolicyLog {
 public:
  PolicyCounters& counters() { return counters_; }

  // Emits a line on an event, unless another one was emitted a moment ago.
  void WriteEvent(EventContext& context, std::string text);

  // Whether a status line is due: one a period, the first a period after the first call.
  bool IsStatusDue(Millis now);
  // Emits the status line and starts the counters anew.
  void WriteStatus(EventContext& context, const PolicyStatus& status);

 private:
  PolicyCounters counters_;
  Millis next_event_at_ = kNever;
  Millis last_status_at_ = kNever;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_POLICY_LOG_HPP_
