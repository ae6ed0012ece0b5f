#include "base/supervisor.hpp"

#include <algorithm>
#include <cmath>

namespace gateway::base {
namespace {

constexpr int kMaxDoublings = 30;  // keeps the power of two finite; the maximum backoff is reached earlier

}  // namespace

Supervisor::Decision Supervisor::OnProcessExit(const ProcessExit& exit, double jitter) {
  if (exit.expected) return {Action::kStop, 0};
  if (IsCrashLoop(exit.now)) return {Action::kStopCrashLoop, 0};
  consecutive_crashes_ = exit.run_duration >= options_.healthy_run_duration ? 1 : consecutive_crashes_ + 1;
  // A run without the saved state does not show whether the state is corrupt, so it does not change the
  // count.
  if (exit.with_saved_state) {
    crashes_with_saved_state_ =
        exit.run_duration < options_.corrupt_state_window ? crashes_with_saved_state_ + 1 : 0;
  }
  if (crashes_with_saved_state_ < options_.corrupt_state_threshold)
    return {Action::kRestart, Backoff(jitter)};
  crashes_with_saved_state_ = 0;  // only the next start omits the saved state
  return {Action::kRestartWithoutState, Backoff(jitter)};
}

bool Supervisor::IsCrashLoop(Millis now) {
  crashes_.push_back(now);
  while (crashes_.front() < now - options_.crash_loop_window) crashes_.pop_front();
  return static_cast<int>(crashes_.size()) >= options_.crash_loop_threshold;
}

Millis Supervisor::Backoff(double jitter) const {
  const int doublings = std::min(consecutive_crashes_ - 1, kMaxDoublings);
  const Millis backoff =
      std::min(options_.maximum_backoff, options_.initial_backoff * std::ldexp(1, doublings));
  return backoff * (0.5 + jitter / 2);
}

}  // namespace gateway::base
