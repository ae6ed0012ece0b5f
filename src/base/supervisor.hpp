// Decides when a process that has ended is started again. A state machine without I/O, clock or randomness:
// all three are handed in.
#ifndef GATEWAY_BASE_SUPERVISOR_HPP_
#define GATEWAY_BASE_SUPERVISOR_HPP_

#include <deque>

#include "base/millis.hpp"

namespace gateway::base {

class Supervisor {
 public:
  struct Options {
    Millis initial_backoff = 200;  // before the restart after a first crash; doubles with each further one
    Millis maximum_backoff = 30000;
    Millis healthy_run = 10000;         // a crash after so long a run counts as a first one again
    int crash_loop_crashes = 8;         // so many crashes
    Millis crash_loop_window = 120000;  // within this time are a crash loop, which ends the restarts
    int bad_state_crashes = 2;          // so many crashes in a row
    Millis bad_state_run = 5000;  // within this time of a start with a saved state: the state may be bad
  };

  struct ProcessExit {
    Millis now = 0;
    Millis ran_for = 0;
    bool expected = false;         // it was asked to end, or ended by itself with success
    bool with_saved_state = true;  // it was started with its saved state
  };

  enum class Action { kStop, kRestart, kRestartWithoutState, kStopCrashLoop };

  struct Decision {
    Action action = Action::kStop;
    Millis backoff = 0;  // before a restart
  };

  explicit Supervisor(Options options) : options_(options) {}

  // Decides after the end of the process. `jitter` is uniform from 0 to 1; backoffs vary with it from half to
  // the full value.
  Decision OnProcessExit(const ProcessExit& end, double jitter);

 private:
  bool IsCrashLoop(Millis now);
  Millis Backoff(double jitter) const;

  const Options options_;
  std::deque<Millis> crashes_;      // times of the crashes within the crash loop window
  int crashes_in_row_ = 0;          // without a healthy run between them
  int crashes_on_saved_state_ = 0;  // in a row, each soon after a start with the saved state
};

}  // namespace gateway::base

#endif  // GATEWAY_BASE_SUPERVISOR_HPP_
