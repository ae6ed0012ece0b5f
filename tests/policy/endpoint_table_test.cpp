// Tests that no attempts are sent to endpoints that are draining, removed or no longer listed.
#include <gtest/gtest.h>

#include <string>

#include "fake_gateway.hpp"

namespace gateway::policy::testing {
namespace {

TEST(EndpointTableTest, SendsNoAttemptsToDrainingOrUnlistedEndpoints) {
  FakeGateway gateway;
  gateway.AddEndpoints(3);
  EndpointInfo draining = MakeEndpoint("s0");
  draining.state = EndpointState::kDraining;
  gateway.Handle(EndpointListEvent{EndpointListEvent::Kind::kDelta, {draining}});
  for (int i = 0; i < 6; ++i) {
    EXPECT_NE(FakeGateway::SentEndpoint(gateway.SendRequest("a" + std::to_string(i))), "s0");
  }
  gateway.ReplaceEndpoints({MakeEndpoint("s2")});
  for (int i = 0; i < 4; ++i) {
    const std::string endpoint = FakeGateway::SentEndpoint(gateway.SendRequest("b" + std::to_string(i)));
    EXPECT_TRUE(endpoint.empty() || endpoint == "s2");
  }
}

TEST(EndpointTableTest, SendsNoAttemptsToEndpointsThatASnapshotRemoved) {
  FakeGateway gateway;
  gateway.AddEndpoints(3);
  gateway.ReplaceEndpoints({});
  EXPECT_EQ(FakeGateway::SentEndpoint(gateway.SendRequest("a")), "");
  gateway.ReplaceEndpoints({MakeEndpoint("s1", "0", 50)});
  EXPECT_EQ(
      FakeGateway::CountActions<Reject>(gateway.AdvanceTime(300)) + static_cast<int>(gateway.sent.size()), 1);
  gateway.Handle(EndpointListEvent{EndpointListEvent::Kind::kFailure, {}});
  EXPECT_NE(FakeGateway::SentEndpoint(gateway.SendRequest("b")), "s0");
}

}  // namespace
}  // namespace gateway::policy::testing
