// What a Policy counts for its log. No decision goes by it.
#ifndef GATEWAY_POLICY_COUNTS_HPP_
#define GATEWAY_POLICY_COUNTS_HPP_

#include <string>

#include "gateway/policy.hpp"

namespace gateway::policy {

// What was done since the last line of the log that tells of it.
struct Counts {
  int arrived = 0, direct = 0, released = 0;  // requests taken, and how they were first sent
  int full = 0, waited = 0, late = 0,
      spoiled = 0;                         // given up: no place, no token in time, too late, after tries
  int outcomes[kAttemptResultCount] = {};  // of attempts, by AttemptResult
  int slow = 0;                            // of those served: after the aim
  Millis held = 0;                         // time in queues of those released, added up
};

struct State;
// The counts and the state that explains them, as one line. Starts the counts anew.
std::string Summary(State& state);
// All that was learned, for a replacement; `spent` is the rate of sends as the decisions see it.
LearnedState Remembered(const State& state, double spent);

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_COUNTS_HPP_
