// Decides whether and when a process that has exited is restarted. A state machine without I/O: the caller
// supplies the time and the random numbers.
#ifndef GATEWAY_BASE_SUPERVISOR_HPP_
#define GATEWAY_BASE_SUPERVISOR_HPP_

#include <deque>

#include "base/millis.hpp"

namespace gateway::base {

class Supervisor {
 public:
  struct Options {
    // Backoff between the first crash and the restart. The backoff doubles with each consecutive crash.
    Millis initial_backoff = 200;
    Millis maximum_backoff = 30000;
    // A crash after a run of at least this duration counts as a first crash again.
    Millis healthy_run_duration = 10000;
    // If the process crashes this many times within the window, it is in a crash loop and is not restarted.
    int crash_loop_threshold = 8;
    Millis crash_loop_window = 120000;
    // If the process crashes this many times in a row, each time within the window after a start with the
    // saved state, the state may be corrupt. The process is then restarted once without the saved state.
    int bad_state_threshold = 2;
    Millis bad_state_window = 5000;
  };

  struct ProcessExit {
    Millis now = 0;
    Millis run_duration = 0;
    bool expected = false;         // the process was asked to terminate or exited with success
    bool with_saved_state = true;  // the process was started with its saved state
  };

  enum class Action { kStop, kRestart, kRestartWithoutState, kStopCrashLoop };

  struct Decision {
    Action action = Action::kStop;
    Millis backoff = 0;  // time to wait before a restart
  };

  explicit Supervisor(Options options) : options_(options) {}

  // Decides what to do after the process has exited. `jitter` is uniform in [0, 1] and reduces the backoff to
  // a value between half and all of it.
  Decision OnProcessExit(const ProcessExit& exit, double jitter);

 private:
  bool IsCrashLoop(Millis now);
  Millis Backoff(double jitter) const;

  const Options options_;
  std::deque<Millis> crashes_;      // times of the crashes within the crash loop window
  int consecutive_crashes_ = 0;     // crashes without a healthy run between them
  int crashes_on_saved_state_ = 0;  // consecutive crashes, each soon after a start with the saved state
};

}  // namespace gateway::base

#endif  // GATEWAY_BASE_SUPERVISOR_HPP_
