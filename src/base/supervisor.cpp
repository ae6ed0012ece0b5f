#include "base/supervisor.hpp"

#include <algorithm>
#include <cmath>

namespace gateway::base {
namespace {

constexpr int kMaxDoublings = 30;  // far beyond the maximum backoff; keeps the power finite

}  // namespace

Supervisor::Decision Supervisor::OnProcessExit(const ProcessExit& end, double jitter) {
  if (end.expected) return {Action::kStop, 0};
  if (IsCrashLoop(end.now)) return {Action::kStopCrashLoop, 0};
  crashes_in_row_ = end.ran_for >= options_.healthy_run ? 1 : crashes_in_row_ + 1;
  // A run without the saved state says nothing about the state and leaves the count as it is.
  if (end.with_saved_state) {
    crashes_on_saved_state_ = end.ran_for < options_.bad_state_run ? crashes_on_saved_state_ + 1 : 0;
  }
  if (crashes_on_saved_state_ < options_.bad_state_crashes) return {Action::kRestart, Backoff(jitter)};
  crashes_on_saved_state_ = 0;  // only one start goes without the state
  return {Action::kRestartWithoutState, Backoff(jitter)};
}

bool Supervisor::IsCrashLoop(Millis now) {
  crashes_.push_back(now);
  while (crashes_.front() < now - options_.crash_loop_window) crashes_.pop_front();
  return static_cast<int>(crashes_.size()) >= options_.crash_loop_crashes;
}

Millis Supervisor::Backoff(double jitter) const {
  const int doublings = std::min(crashes_in_row_ - 1, kMaxDoublings);
  const Millis backoff =
      std::min(options_.maximum_backoff, options_.initial_backoff * std::ldexp(1, doublings));
  return backoff * (0.5 + jitter / 2);
}

}  // namespace gateway::base
