// Tests of the state machine of a member's agent.
#include "registry/agent_state.hpp"

#include <gtest/gtest.h>

namespace gateway::registry {
namespace {

// Follows a member from its start to its removal: a wrong action would leave the server unlisted, or keep an
// unhealthy or stopped server in the list.
TEST(AgentState, ChoosesTheNextAction) {
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
  EXPECT_EQ(state.next_action(), AgentAction::kNone);  // so that its lease expires
  state.OnHealthCheck(true, 3);
  state.Stop();
  EXPECT_EQ(state.next_action(), AgentAction::kDrain);
  state.OnResult(AgentAction::kDrain, ErrorCode::kNone);
  EXPECT_EQ(state.next_action(), AgentAction::kRenew);  // stays listed as draining for the drain grace period
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
