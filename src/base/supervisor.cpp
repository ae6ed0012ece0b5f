#include "base/supervisor.hpp"

#include <algorithm>
#include <cmath>

namespace gateway::base {

Supervisor::Decision Supervisor::Ended(const End& end, double draw) {
  if (end.told) return {Next::kStop, 0};
  crashes_.push_back(end.now);
  while (crashes_.front() < end.now - options_.loop_within) crashes_.pop_front();
  if (static_cast<int>(crashes_.size()) >= options_.loop_crashes) return {Next::kGiveUp, 0};
  in_row_ = end.ran_for >= options_.well_after ? 1 : in_row_ + 1;
  // A start without the state tells nothing of the state.
  if (end.with_state) on_state_ = end.ran_for < options_.state_within ? on_state_ + 1 : 0;
  const Millis wait =
      std::min(options_.longest_wait, options_.first_wait * std::ldexp(1, std::min(in_row_ - 1, 30)));
  const bool without = on_state_ >= options_.state_crashes;
  if (without) on_state_ = 0;  // once
  return {without ? Next::kStartWithoutState : Next::kStart, wait * (0.5 + draw / 2)};
}

}  // namespace gateway::base
