// Decides what a member's agent asks of the registry next.
#ifndef GATEWAY_REGISTRY_AGENT_STATE_HPP_
#define GATEWAY_REGISTRY_AGENT_STATE_HPP_

#include "registry/command.hpp"

namespace gateway::registry {

enum class AgentAction { kRegister, kRenew, kDrain, kRemove, kNone };

// Registers the member while it is healthy, renews its lease, and drains and removes it after Stop(). No I/O
// and no clock. Not thread-safe.
class AgentState {
 public:
  AgentAction next() const;

  // The registry's result of an action.
  void OnResult(AgentAction action, ErrorCode code);
  // A health check. The member becomes unhealthy after `failure_threshold` failures in a row.
  void OnHealthCheck(bool passed, int failure_threshold);
  void Stop() { stopping_ = true; }
  // The time from the drain to the removal is over.
  void OnDrainGraceOver() { drain_grace_over_ = true; }

  bool listed() const { return listed_; }
  bool drained() const { return drained_; }
  bool healthy() const { return healthy_; }
  // Whether another process has taken the member's id, or operators have removed it.
  bool replaced() const { return replaced_; }
  // Whether nothing is left to do after Stop().
  bool done() const { return removed_ || (stopping_ && !listed_); }

 private:
  AgentAction NextWhileStopping() const;

  bool listed_ = false;
  bool drained_ = false;
  bool removed_ = false;
  bool stopping_ = false;
  bool drain_grace_over_ = false;
  bool healthy_ = false;
  bool replaced_ = false;
  int failed_checks_ = 0;  // in a row
};

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_AGENT_STATE_HPP_
