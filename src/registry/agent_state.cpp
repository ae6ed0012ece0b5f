#include "registry/agent_state.hpp"

namespace gateway::registry {

AgentAction AgentState::next_action() const {
  if (removed_) return AgentAction::kNone;
  if (stopping_) return NextActionWhileStopping();
  if (!healthy_ || replaced_) return AgentAction::kNone;
  return listed_ ? AgentAction::kRenew : AgentAction::kRegister;
}

AgentAction AgentState::NextActionWhileStopping() const {
  if (!listed_) return AgentAction::kNone;
  if (!drained_) return AgentAction::kDrain;
  return drain_grace_elapsed_ ? AgentAction::kRemove : AgentAction::kRenew;
}

void AgentState::OnResult(AgentAction action, ErrorCode code) {
  switch (code) {
    case ErrorCode::kNone:
      if (action == AgentAction::kRegister) listed_ = true;
      if (action == AgentAction::kDrain) drained_ = true;
      if (action == AgentAction::kRemove) removed_ = true;
      return;
    case ErrorCode::kUnknownMember:  // the lease expired, or the registry lost its state
      listed_ = false;
      if (action == AgentAction::kRemove || action == AgentAction::kDrain) removed_ = true;
      return;
    case ErrorCode::kStaleIncarnation:
    case ErrorCode::kRemoved:
    case ErrorCode::kAddressConflict:
      replaced_ = true;
      listed_ = false;
      return;
    default: return;
  }
}

void AgentState::OnHealthCheck(bool passed, int failure_threshold) {
  failed_checks_ = passed ? 0 : failed_checks_ + 1;
  if (passed) healthy_ = true;
  if (failed_checks_ >= failure_threshold) healthy_ = false;
}

}  // namespace gateway::registry
