// Tests of the state machine of a member's agent.
#include "registry/agent_state.hpp"

#include <gtest/gtest.h>

namespace gateway::registry {
namespace {

// Covers a member from its start to its removal. If the agent chose another action, a healthy server would be
// missing from the list, or an unhealthy or stopped server would stay in the list.
TEST(AgentState, ChoosesTheNextActionFromStartToRemoval) {
  AgentState state;
  EXPECT_EQ(state.next_action(), AgentAction::kNone);
  state.OnHealthCheck(true, 3);
  EXPECT_EQ(state.next_action(), AgentAction::kRegister);
  state.OnResult(AgentAction::kRegister, ErrorCode::kNone);
  EXPECT_EQ(state.next_action(), AgentAction::kRenew);
  state.OnResult(AgentAction::kRenew, ErrorCode::kUnknownMember);  // the registry lost its state
  EXPECT_EQ(state.next_action(), AgentAction::kRegister);
  state.OnResult(AgentAction::kRegister, ErrorCode::kNone);
  for (int i = 0; i < 3; ++i) state.OnHealthCheck(false, 3);
  EXPECT_EQ(state.next_action(), AgentAction::kNone);  // the agent must let the lease expire
  state.OnHealthCheck(true, 3);
  state.Stop();
  EXPECT_EQ(state.next_action(), AgentAction::kDrain);
  state.OnResult(AgentAction::kDrain, ErrorCode::kNone);
  // The member stays listed as draining during the drain grace period.
  EXPECT_EQ(state.next_action(), AgentAction::kRenew);
  state.OnDrainGraceElapsed();
  EXPECT_EQ(state.next_action(), AgentAction::kRemove);
  state.OnResult(AgentAction::kRemove, ErrorCode::kNone);
  EXPECT_TRUE(state.done());
  AgentState replaced_agent;
  replaced_agent.OnHealthCheck(true, 3);
  replaced_agent.OnResult(AgentAction::kRegister, ErrorCode::kStaleIncarnation);
  EXPECT_TRUE(replaced_agent.replaced());
}

}  // namespace
}  // namespace gateway::registry
