// Tests that a Policy handles invalid, duplicate and unexpected events, and that it is deterministic.
#include <gtest/gtest.h>

#include <cstddef>
#include <limits>
#include <string>
#include <variant>

#include "fake_gateway.hpp"

namespace gateway::policy::testing {
namespace {

TEST(PolicyTest, IgnoresNonFiniteNumbersInEvents) {
  FakeGateway gateway;
  EndpointInfo invalid = MakeEndpoint("s0");
  invalid.weight = std::numeric_limits<double>::quiet_NaN();
  gateway.ReplaceEndpoints({invalid, MakeEndpoint("s1")});
  Request request;
  request.id = "nan";
  request.class_name = "view";
  request.time_left = std::numeric_limits<double>::infinity();
  const std::string endpoint = FakeGateway::SentEndpoint(gateway.Handle(request));
  gateway.FinishAttempt("nan", endpoint, AttemptResult::kServed, std::numeric_limits<double>::quiet_NaN());
  gateway.ServeRequests(50);
  EXPECT_GE(gateway.sent.size(), 50u);
  for (const Send& send : gateway.sent) EXPECT_TRUE(send.timeout > 0 && send.timeout < 1e6);
}

TEST(PolicyTest, IgnoresDuplicateOutcomesAndUnknownAttempts) {
  FakeGateway gateway;
  gateway.AddEndpoints(2);
  const std::string endpoint = FakeGateway::SentEndpoint(gateway.SendRequest("a", "pay"));
  EXPECT_EQ(FakeGateway::CountActions<Fail>(gateway.FinishAttempt("a", endpoint, AttemptResult::kError, 5)),
            1);
  EXPECT_TRUE(gateway.FinishAttempt("a", endpoint, AttemptResult::kError, 5).empty());
  const std::string endpoint_of_b = FakeGateway::SentEndpoint(gateway.SendRequest("b"));
  for (const int attempt : {-1, 1, 1000000}) {
    EXPECT_TRUE(gateway.FinishAttempt("b", endpoint_of_b, AttemptResult::kServed, 5, attempt).empty());
  }
  gateway.FinishAttempt("b", endpoint_of_b, AttemptResult::kServed, 5);
  EXPECT_TRUE(gateway.Handle(ClientDisconnected{"b"}).empty());
  EXPECT_TRUE(gateway.Handle(ResponseStarted{"b", 0}).empty());
}

TEST(PolicyTest, AdvancesClockAndAnswersRequestsAfterEventsWithInvalidTimes) {
  const double nan = std::numeric_limits<double>::quiet_NaN();
  for (const double invalid : {nan, -1e12}) {
    FakeGateway gateway;
    gateway.now = invalid;  // the time of the first event is invalid too
    gateway.AddEndpoints(2);
    gateway.now = 5000;
    const std::string endpoint = FakeGateway::SentEndpoint(gateway.SendRequest("a"));
    ASSERT_FALSE(endpoint.empty());
    gateway.now = invalid;
    gateway.FinishAttempt("a", endpoint, AttemptResult::kServed, -7);
    gateway.ReplaceEndpoints({});
    EXPECT_EQ(FakeGateway::CountActions<Send>(gateway.SendRequest("queued")), 0);
    gateway.now = 5000;
    EXPECT_EQ(FakeGateway::CountActions<Reject>(gateway.AdvanceTime(300)), 1);
  }
}

TEST(PolicyTest, AnswersEachRequestOnceWhenAllArriveAtTheSameTime) {
  FakeGateway gateway;
  gateway.AddEndpoints(3);
  int sent = 0;
  int rejected = 0;
  for (int i = 0; i < 3000; ++i) {
    for (const Action& action : gateway.SendRequest("r" + std::to_string(i))) {
      sent += std::holds_alternative<Send>(action);
      rejected += std::holds_alternative<Reject>(action);
    }
  }
  EXPECT_GT(sent, 0);
  EXPECT_GT(rejected, 0);
  EXPECT_EQ(FakeGateway::CountActions<Reject>(gateway.AdvanceTime(300)), 3000 - sent - rejected);
}

TEST(PolicyTest, SameSeedAndEventsSelectTheSameEndpoints) {
  FakeGateway first(MakeSettings(), 7);
  FakeGateway second(MakeSettings(), 7);
  first.AddEndpoints(5);
  second.AddEndpoints(5);
  first.ServeRequests(100);
  second.ServeRequests(100);
  ASSERT_EQ(first.sent.size(), second.sent.size());
  for (std::size_t i = 0; i < first.sent.size(); ++i) {
    EXPECT_EQ(first.sent[i].endpoint, second.sent[i].endpoint);
  }
}

}  // namespace
}  // namespace gateway::policy::testing
