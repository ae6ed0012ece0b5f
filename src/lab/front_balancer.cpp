#include "lab/front_balancer.hpp"

namespace gateway::lab {
namespace {

constexpr Millis kDrainDelay = 200;  // from a "not ready" answer until the balancer sends no new connections

}  // namespace

void FrontBalancerView::OnProbe(Millis now, Probe probe) {
  switch (probe) {
    case Probe::kReady:
      was_ready_ = true;
      not_ready_since_ = -1;
      no_answer_since_ = -1;
      break;
    case Probe::kNotReady:
      no_answer_since_ = -1;
      if (not_ready_since_ < 0) not_ready_since_ = now;
      break;
    case Probe::kNoAnswer:
      if (no_answer_since_ < 0) no_answer_since_ = now;
      break;
  }
}

bool FrontBalancerView::SendsConnections(Millis now) const {
  if (!was_ready_) return false;
  if (not_ready_since_ >= 0 && now >= not_ready_since_ + kDrainDelay) return false;
  return no_answer_since_ < 0 || now < no_answer_since_ + detection_delay_;
}

}  // namespace gateway::lab
