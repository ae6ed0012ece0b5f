// Tests that failed attempts decrease the admission rate and that served attempts increase it.
#include "policy/admission_rate.hpp"

#include <gtest/gtest.h>

#include <cmath>
#include <deque>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "fake_gateway.hpp"
#include "policy/rate_estimator.hpp"

namespace gateway::policy::testing {
namespace {

TEST(AdmissionRateTest, DecreasesWhenHalfOfTheAttemptsAtEachEndpointFail) {
  FakeGateway gateway;
  gateway.AddEndpoints(4);
  gateway.ServeRequests(100);
  bool decreased = false;
  for (int i = 0; i < 60; ++i) {
    const std::string id = "r" + std::to_string(i);
    const std::string endpoint = FakeGateway::SentEndpoint(gateway.SendRequest(id, "pay"));
    gateway.now += 30;
    if (endpoint.empty()) continue;
    decreased |= FakeGateway::DecreasedRate(
        gateway.FinishAttempt(id, endpoint, i % 2 ? AttemptResult::kError : AttemptResult::kServed, 30));
  }
  EXPECT_TRUE(decreased);
}

// For 100 ms, half of the requests to all endpoints get no response and time out after 200 to 800 ms. The
// first timeouts decrease the rate. The later timeouts must not decrease it again, since their attempts were
// sent before the decrease.
TEST(AdmissionRateTest, IgnoresFailuresOfAttemptsSentBeforeADecrease) {
  FakeGateway gateway;
  gateway.AddEndpoints(8);
  gateway.ServeRequests(200, 20);
  int decreases = 0;
  int requests = 0;
  // The attempts in flight, by the time at which they finish. A tuple contains the request id, the endpoint
  // id and the latency.
  std::map<Millis, std::vector<std::tuple<std::string, std::string, Millis>>> in_flight;
  for (int step = 0; step < 120; ++step) {
    for (int i = 0; i < 4 && step < 20; ++i) {
      const std::string id = "r" + std::to_string(requests++);
      const std::string endpoint = FakeGateway::SentEndpoint(gateway.SendRequest(id, "pay"));
      const bool times_out = step >= 10 && step < 20 && requests % 2 == 0;
      const Millis latency = times_out ? 200 + requests * 37 % 600 : 20;
      if (!endpoint.empty()) in_flight[gateway.now + latency].emplace_back(id, endpoint, latency);
    }
    decreases += FakeGateway::DecreasedRate(gateway.AdvanceTime(10));
    for (; !in_flight.empty() && in_flight.begin()->first <= gateway.now;
         in_flight.erase(in_flight.begin())) {
      for (const auto& [id, endpoint, latency] : in_flight.begin()->second) {
        const AttemptResult result = latency > 20 ? AttemptResult::kTimedOut : AttemptResult::kServed;
        decreases += FakeGateway::DecreasedRate(gateway.FinishAttempt(id, endpoint, result, latency));
      }
    }
  }
  EXPECT_EQ(decreases, 1);
}

// With few responses per second, one timeout in eight attempts is not significant. A decrease would leave
// endpoints idle while requests wait for tokens.
TEST(AdmissionRateTest, KeepsLowRateWhenOneAttemptInEightTimesOut) {
  Settings settings = MakeSettings();
  settings.gateway_count = 100;
  const auto count_decreases = [&](int failure_interval) {
    FakeGateway gateway(settings);
    gateway.ReplaceEndpoints(MakeEndpoints(60));
    int decreases = 0;
    for (int i = 0; i < 200; ++i) {
      const std::string id = "r" + std::to_string(i);
      const std::string endpoint = FakeGateway::SentEndpoint(gateway.SendRequest(id));
      gateway.now += 66;
      if (endpoint.empty()) continue;
      const auto actions = gateway.FinishAttempt(
          id, endpoint, i % failure_interval ? AttemptResult::kServed : AttemptResult::kTimedOut, 66);
      decreases += FakeGateway::DecreasedRate(actions);
    }
    return decreases;
  };
  EXPECT_EQ(count_decreases(8), 0);
  EXPECT_GT(count_decreases(2), 1);
}

// A decrease sets the admission rate to 0.85 times the rate of sent attempts. In the first second of a
// process, attempts have been sent only for a short time. If the time before the start counted as time
// without attempts, the rate of sent attempts would be underestimated and the decrease would be too large.
TEST(AdmissionRateTest, DecreasesToNearTheSentRateInTheFirstSecond) {
  FakeGateway gateway;
  gateway.AddEndpoints(9);
  std::deque<std::pair<std::string, std::string>> in_flight;
  bool decreased = false;
  for (int i = 0; i < 100 && !decreased; ++i) {  // 200 requests per second, all of which time out
    const std::string id = "r" + std::to_string(i);
    in_flight.push_back({id, FakeGateway::SentEndpoint(gateway.SendRequest(id))});
    ASSERT_FALSE(in_flight.back().second.empty());
    gateway.now += 5;
    if (in_flight.size() > 10) {
      decreased = FakeGateway::DecreasedRate(gateway.FinishAttempt(
          in_flight.front().first, in_flight.front().second, AttemptResult::kTimedOut, 50));
      in_flight.pop_front();
    }
  }
  ASSERT_TRUE(decreased);
  EXPECT_LT(gateway.now, 1400);
  EXPECT_GT(gateway.policy.ExportState().rate, 120);
  EXPECT_LT(gateway.policy.ExportState().rate, 220);
}

TEST(AdmissionRateTest, DecreasesOncePerRoundTripAndIncreasesWithEachResponse) {
  constexpr AdmissionRate::Fleet kFleet = {.endpoints_up = 10};
  AdmissionRate rate;
  rate.Advance(100, kFleet);
  for (int i = 0; i < 50; ++i) rate.TakeToken(kFleet);
  const auto record_failure = [&](Millis sent_at, Millis now) {
    return rate.RecordOutcome(/*within_objective=*/false, sent_at, now, kFleet);
  };
  for (int i = 0; i < 4; ++i) EXPECT_FALSE(record_failure(900, 1000));
  EXPECT_TRUE(record_failure(900, 1000)) << "failure rate " << rate.failure_rate();
  rate.Decrease(1000, /*round_trip=*/200, kFleet);
  EXPECT_DOUBLE_EQ(rate.rate(), 0.85 * rate.SentPerSecond());
  EXPECT_FALSE(record_failure(1000, 1199));
  EXPECT_FALSE(record_failure(999, 1200)) << "the attempt was sent before the decrease";
  EXPECT_TRUE(record_failure(1000, 1200));
  const double decreased = rate.rate();
  rate.RecordOutcome(/*within_objective=*/true, 1000, 1200, kFleet);
  EXPECT_DOUBLE_EQ(rate.rate(), decreased + 0.3);
  rate.Advance(1e6, kFleet);  // no attempt is sent for 1000 s
  rate.Decrease(1e6, 200, kFleet);
  EXPECT_EQ(rate.rate(), 10) << "the minimum is one attempt per second for each endpoint";
}

TEST(RateEstimatorTest, RateExcludesTimeBeforeTheStartAndDecaysWithoutEvents) {
  RateEstimator estimator;
  estimator.Advance(100, /*time_constant=*/1000);
  estimator.Add(10);
  EXPECT_NEAR(estimator.Rate(), 100, 6);
  estimator.Restore(100, /*observed_share=*/1);
  estimator.Advance(1000, /*time_constant=*/1000);
  EXPECT_DOUBLE_EQ(estimator.Rate(), 100 * std::exp(-1.0));
}

}  // namespace
}  // namespace gateway::policy::testing
