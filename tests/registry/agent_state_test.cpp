// What a member's agent does next.
#include "registry/agent_state.hpp"

#include <gtest/gtest.h>

namespace gateway::registry {
namespace {

TEST(AgentState, ChoosesTheNextAction) {
  AgentState state;
  EXPECT_EQ(state.next(), AgentAction::kNone);
  state.OnHealthCheck(true, 3);
  EXPECT_EQ(state.next(), AgentAction::kRegister);
  state.OnResult(AgentAction::kRegister, ErrorCode::kNone);
  EXPECT_EQ(state.next(), AgentAction::kRenew);
  state.OnResult(AgentAction::kRenew, ErrorCode::kUnknownMember);  // the registry lost it
  EXPECT_EQ(state.next(), AgentAction::kRegister);
  state.OnResult(AgentAction::kRegister, ErrorCode::kNone);
  for (int i = 0; i < 3; ++i) state.OnHealthCheck(false, 3);
  EXPECT_EQ(state.next(), AgentAction::kNone);  // its lease lapses
  state.OnHealthCheck(true, 3);
  state.Stop();
  EXPECT_EQ(state.next(), AgentAction::kDrain);
  state.OnResult(AgentAction::kDrain, ErrorCode::kNone);
  EXPECT_EQ(state.next(), AgentAction::kRenew);  // it stays listed as draining until the drain grace is over
  state.OnDrainGraceOver();
  EXPECT_EQ(state.next(), AgentAction::kRemove);
  state.OnResult(AgentAction::kRemove, ErrorCode::kNone);
  EXPECT_TRUE(state.done());
  AgentState other;
  other.OnHealthCheck(true, 3);
  other.OnResult(AgentAction::kRegister, ErrorCode::kStaleIncarnation);
  EXPECT_TRUE(other.replaced());
}

}  // namespace
}  // namespace gateway::registry
