// When a process that ended is started again, and when not. No I/O, no clock, no randomness: all three are
// handed in.
#ifndef GATEWAY_BASE_SUPERVISOR_HPP_
#define GATEWAY_BASE_SUPERVISOR_HPP_

#include <deque>

#include "base/base.hpp"

namespace gateway::base {

class Supervisor {
 public:
  struct Options {
    Millis first_wait =
        200;  // before the first start after a crash; doubles with each further one, and is jittered
    Millis longest_wait = 30000;
    Millis well_after = 10000;    // a run of that length was well: waits begin anew
    int loop_crashes = 8;         // so many crashes
    Millis loop_within = 120000;  // within that time are a loop, and it gives up
    int state_crashes = 2;        // so many crashes in a row
    Millis state_within = 5000;   // within that time of a start with a state: the state may be the cause
  };
  struct End {
    Millis now = 0;
    Millis ran_for = 0;
    bool told = false;       // a signal to end was passed on, or it ended well by itself
    bool with_state = true;  // it was started with the state that it keeps
  };
  enum class Next { kStop, kStart, kStartWithoutState, kGiveUp };
  struct Decision {
    Next next = Next::kStop;
    Millis wait = 0;  // before the start
  };

  explicit Supervisor(Options options) : options_(options) {}

  // `draw`: uniform from 0 to 1, for the jitter.
  Decision Ended(const End& end, double draw);

 private:
  const Options options_;
  std::deque<Millis> crashes_;  // the times of those that may make up a loop
  int in_row_ = 0, on_state_ = 0;
};

}  // namespace gateway::base

#endif  // GATEWAY_BASE_SUPERVISOR_HPP_
