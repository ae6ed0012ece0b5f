// Tests of the conditions for a retry, of the endpoints of retries and of the retry budget.
#include "policy/retry_policy.hpp"

#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>

#include "fake_gateway.hpp"
#include "policy/endpoint.hpp"

namespace gateway::policy::testing {
namespace {

TEST(RetryPolicyTest, RetriesRejectedRequestAtAnotherEndpoint) {
  FakeGateway gateway;
  gateway.AddEndpoints(2);
  const std::string first = FakeGateway::SentEndpoint(gateway.SendRequest("a", "pay"));
  const std::string second =
      FakeGateway::SentEndpoint(gateway.FinishAttempt("a", first, AttemptResult::kRejected, 1));
  EXPECT_FALSE(second.empty());
  EXPECT_NE(first, second);
}

TEST(RetryPolicyTest, FailsNonIdempotentRequestThatMayHaveBeenExecuted) {
  FakeGateway gateway;
  gateway.AddEndpoints(2);
  const std::string first = FakeGateway::SentEndpoint(gateway.SendRequest("a", "pay"));
  const auto actions = gateway.FinishAttempt("a", first, AttemptResult::kError, 1);
  EXPECT_EQ(FakeGateway::CountActions<Send>(actions), 0);
  EXPECT_EQ(FakeGateway::CountActions<Fail>(actions), 1);
}

TEST(RetryPolicyTest, RetriesRequestWithIdempotencyKeyInTheSameCell) {
  for (int seed = 0; seed < 20; ++seed) {
    FakeGateway gateway(MakeSettings(), seed);
    gateway.ReplaceEndpoints(
        {MakeEndpoint("a0", "0"), MakeEndpoint("a1", "0"), MakeEndpoint("b0", "1"), MakeEndpoint("b1", "1")});
    const std::string first = FakeGateway::SentEndpoint(gateway.SendRequest("a", "key"));
    const std::string second =
        FakeGateway::SentEndpoint(gateway.FinishAttempt("a", first, AttemptResult::kError, 1));
    ASSERT_FALSE(second.empty());
    EXPECT_EQ(first[0], second[0]);
    EXPECT_NE(first, second);
  }
}

TEST(RetryPolicyTest, RetriesRequestWithIdempotencyKeyInTheSameZone) {
  Settings settings = MakeSettings();
  settings.classes[1].deduplication_scope = DeduplicationScope::kZone;
  const auto make_endpoint = [](std::string id, std::string zone, std::string cell) {
    EndpointInfo endpoint = MakeEndpoint(std::move(id), std::move(cell));
    endpoint.zone = std::move(zone);
    return endpoint;
  };
  int retried = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    FakeGateway gateway(settings, seed);
    gateway.ReplaceEndpoints({make_endpoint("a0", "a", "0"), make_endpoint("a1", "a", "1"),
                              make_endpoint("b0", "b", "0"), make_endpoint("b1", "b", "1")});
    const std::string first = FakeGateway::SentEndpoint(gateway.SendRequest("r", "key"));
    gateway.now += 20;
    gateway.FinishAttempt("r", first, AttemptResult::kError, 20);
    if (gateway.sent.size() < 2) continue;
    ++retried;
    EXPECT_EQ(gateway.sent[1].endpoint[0], first[0])
        << "the retry was sent to another zone, whose endpoints do not deduplicate it";
    EXPECT_NE(gateway.sent[1].endpoint, first);
  }
  EXPECT_GT(retried, 10);
}

TEST(RetryPolicyTest, BudgetLimitsRetriesToATenthOfTheRequests) {
  FakeGateway gateway;
  gateway.AddEndpoints(300);
  gateway.ServeRequests(200);
  int first_attempts = 0;
  int retries = 0;
  for (int i = 0; i < 400; ++i) {
    const std::string id = "r" + std::to_string(i);
    const std::string endpoint = FakeGateway::SentEndpoint(gateway.SendRequest(id));
    gateway.now += 20;
    if (endpoint.empty()) continue;
    ++first_attempts;
    std::string retry_endpoint;
    for (const Action& action : gateway.FinishAttempt(id, endpoint, AttemptResult::kRejected, 20)) {
      const auto* send = std::get_if<Send>(&action);
      if (send != nullptr && send->request == id) retry_endpoint = send->endpoint;
    }
    if (retry_endpoint.empty()) continue;
    ++retries;
    gateway.now += 20;
    gateway.FinishAttempt(id, retry_endpoint, AttemptResult::kServed, 20, 1);
  }
  EXPECT_GT(first_attempts, 100);
  EXPECT_GT(retries, 0);
  EXPECT_LT(retries, 0.1 * (first_attempts + 200) + 2);
}

// A request with an idempotency key would be executed twice if its retry arrived after the deduplication
// window. Therefore the policy must not send a retry too late, and Send::start_writing_within must keep the
// gateway from writing the retry too late.
TEST(RetryPolicyTest, RetryWithIdempotencyKeyArrivesWithinTheDeduplicationWindow) {
  for (const Millis window : {50.0, 400.0, 5000.0}) {
    Settings settings = MakeSettings();
    settings.classes[1].deduplication_window = window;
    settings.classes[1].deduplication_scope = DeduplicationScope::kAll;
    for (Millis latency = 10; latency < window + 200; latency += window / 8) {
      FakeGateway gateway(settings);
      gateway.AddEndpoints(3);
      gateway.ServeRequests(20, 5, "key");
      const std::string first = FakeGateway::SentEndpoint(gateway.SendRequest("k", "key", 20000));
      const std::size_t sent = gateway.sent.size();
      gateway.now += latency;
      gateway.FinishAttempt("k", first, AttemptResult::kReset, latency);
      gateway.AdvanceTime(20);
      if (latency >= window - 100) {
        EXPECT_EQ(gateway.sent.size(), sent) << "window " << window << " ms, latency " << latency << " ms";
      }
      if (gateway.sent.size() == sent) continue;
      EXPECT_LE(latency + gateway.sent.back().start_writing_within, window - 100 + 20)
          << "window " << window << " ms, latency " << latency << " ms";
    }
  }
}

TEST(RetryPolicyTest, RejectsRequestInsteadOfRetryWhenItIsNotBuffered) {
  for (const bool buffered : {true, false}) {
    FakeGateway gateway;
    gateway.AddEndpoints(2);
    gateway.ServeRequests(100, 50);
    const std::string endpoint = FakeGateway::SentEndpoint(gateway.SendRequest("r", "pay"));
    const auto actions = gateway.Handle(
        AttemptOutcome{"r", 0, endpoint, AttemptResult::kConnectFailed, false, 0, {}, buffered});
    EXPECT_EQ(FakeGateway::CountActions<Send>(actions), buffered ? 1 : 0);
    // Not executed, so the request is answered with a Reject, not with a Fail.
    EXPECT_EQ(FakeGateway::CountActions<Reject>(actions), buffered ? 0 : 1);
  }
}

TEST(RetryBudgetTest, GrantsOneRetryPerTenRequestsAndStoresUpToTwenty) {
  RetryBudget budget;
  budget.TakeToken();
  for (int i = 0; i < 9; ++i) budget.RecordRequest();
  EXPECT_FALSE(budget.HasToken());
  for (int i = 0; i < 2; ++i) budget.RecordRequest();
  EXPECT_TRUE(budget.HasToken());
  for (int i = 0; i < 1000; ++i) budget.RecordRequest();
  for (int i = 0; i < 20; ++i) budget.TakeToken();
  EXPECT_FALSE(budget.HasToken());
}

// Provides a request with one attempt, which has ended at an endpoint of cell 0 and may have been executed.
class RetryRulesTest : public ::testing::Test {
 protected:
  RetryRulesTest() {
    endpoint_.info = MakeEndpoint("a", "0");
    request_.objective_ends_at = 1000;
    request_.repeat_deadline_at = 500;
    request_.attempts = {Attempt{&endpoint_, 0, /*in_flight=*/false, /*may_have_executed=*/true}};
  }

  Endpoint endpoint_;
  ActiveRequest request_;
  const TrafficClassSettings idempotent_ = MakeClass("view");
  TrafficClassSettings with_key_ = MakeClass("key", Idempotency::kIdempotencyKey);
};

TEST_F(RetryRulesTest, ShouldRetryOnlyWhenAllConditionsAreMet) {
  const RetryConditions met = {AttemptResult::kError, false, 3, 50, true};
  EXPECT_TRUE(ShouldRetry(request_, idempotent_, met, 949));
  EXPECT_FALSE(ShouldRetry(request_, idempotent_, met, 950)) << "the response would be late";
  EXPECT_FALSE(ShouldRetry(request_, idempotent_, {AttemptResult::kError, false, 1, 50, true}, 0));
  EXPECT_FALSE(ShouldRetry(request_, idempotent_, {AttemptResult::kError, false, 3, 50, false}, 0));
  EXPECT_FALSE(ShouldRetry(request_, idempotent_, {AttemptResult::kTimedOut, false, 3, 50, true}, 0));
  EXPECT_TRUE(ShouldRetry(request_, idempotent_, {AttemptResult::kTimedOut, true, 3, 50, true}, 0));
  EXPECT_FALSE(ShouldRetry(request_, MakeClass("pay", Idempotency::kNotIdempotent), met, 0));
  request_.buffered = false;
  EXPECT_FALSE(ShouldRetry(request_, idempotent_, met, 0));
}

TEST_F(RetryRulesTest, MaySendWithinDeduplicationScopeAndWindow) {
  EndpointInfo other_cell = MakeEndpoint("b", "1");
  other_cell.zone = endpoint_.info.zone;
  EXPECT_TRUE(MaySendTo(request_, with_key_, endpoint_.info, 499));
  EXPECT_FALSE(MaySendTo(request_, with_key_, endpoint_.info, 500));
  EXPECT_FALSE(MaySendTo(request_, with_key_, other_cell, 0));
  with_key_.deduplication_scope = DeduplicationScope::kZone;
  EXPECT_TRUE(MaySendTo(request_, with_key_, other_cell, 0));
  EXPECT_FALSE(MaySendTo(request_, with_key_, MakeEndpoint("c", "1"), 0));
}

TEST_F(RetryRulesTest, IsSafeForClientToRetryOnlyWhenIdempotentOrNotExecuted) {
  const TrafficClassSettings not_idempotent = MakeClass("pay", Idempotency::kNotIdempotent);
  EXPECT_TRUE(IsSafeForClientToRetry(request_, idempotent_));
  EXPECT_FALSE(IsSafeForClientToRetry(request_, not_idempotent));
  EXPECT_FALSE(IsSafeForClientToRetry(request_, with_key_))
      << "only the endpoints of one cell deduplicate the request";
  request_.attempts[0].may_have_executed = false;
  EXPECT_TRUE(IsSafeForClientToRetry(request_, not_idempotent));
}

}  // namespace
}  // namespace gateway::policy::testing
