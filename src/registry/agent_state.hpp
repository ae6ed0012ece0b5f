// State machine that determines the next call of a member's agent to the registry.
#ifndef GATEWAY_REGISTRY_AGENT_STATE_HPP_
#define GATEWAY_REGISTRY_AGENT_STATE_HPP_

#include "registry/command.hpp"

namespace gateway::registry {

// kNone: the agent makes no call at present.
enum class AgentAction { kRegister, kRenew, kDrain, kRemove, kNone };

// Registers the member and renews its lease while it is healthy, and drains and removes it after Stop(). Does
// no I/O and reads no clock. Not thread-safe.
class AgentState {
 public:
  AgentAction next_action() const;

  // Handles the result of an action. `code` is the registry's error code, or ErrorCode::kNone if the action
  // succeeded.
  void OnResult(AgentAction action, ErrorCode code);
  // Handles the result of a health check. The member is unhealthy after `failure_threshold` consecutive
  // failures.
  void OnHealthCheck(bool passed, int failure_threshold);
  void Stop() { stopping_ = true; }
  // Must be called when the drain grace period, the time between drain and removal, has elapsed.
  void OnDrainGraceElapsed() { drain_grace_elapsed_ = true; }

  bool listed() const { return listed_; }
  bool drained() const { return drained_; }
  bool healthy() const { return healthy_; }
  // Returns whether another process has registered with the member's id, or operators have removed the
  // member.
  bool replaced() const { return replaced_; }
  // Returns whether the agent was stopped and the member is no longer listed.
  bool done() const { return removed_ || (stopping_ && !listed_); }

 private:
  AgentAction NextActionWhileStopping() const;

  bool listed_ = false;
  bool drained_ = false;
  bool removed_ = false;
  bool stopping_ = false;
  bool drain_grace_elapsed_ = false;
  bool healthy_ = false;
  bool replaced_ = false;
  int failed_checks_ = 0;  // consecutive failed health checks
};

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_AGENT_STATE_HPP_
