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
    // Delay between the first crash and the restart. The delay doubles with each consecutive crash.
    Millis initial_backoff = 200;
    Millis maximum_backoff = 30000;
    // A crash that ends a run of at least this duration counts as a first crash again.
    Millis healthy_run_duration = 10000;
    // If the process crashes this many times within the window, it is in a crash loop and is not restarted.
    int crash_loop_threshold = 8;
    Millis crash_loop_window = 120000;
    // If the process crashes this many times in a row, each time within the window after a start with the
    // saved state, the state may be corrupt. The process is then restarted once without the saved state.
    int corrupt_state_threshold = 2;
    Millis corrupt_state_window = 5000;
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

  // Decides what to do after the process has exited. `jitter` is a random number, uniform in [0, 1]. The
  // backoff is multiplied by (1 + jitter) / 2, a factor between 0.5 and 1.
  Decision OnProcessExit(const ProcessExit& exit, double jitter);

 private:
  bool IsCrashLoop(Millis now);
  Millis Backoff(double jitter) const;

  const Options options_;
  std::deque<Millis> crashes_;   // times of the crashes within the crash loop window
  int consecutive_crashes_ = 0;  // crashes without a healthy run between them
  // Consecutive crashes, each within corrupt_state_window after a start with the saved state.
  int crashes_with_saved_state_ = 0;
};

}  // namespace gateway::base

#endif  // GATEWAY_BASE_SUPERVISOR_HPP_
