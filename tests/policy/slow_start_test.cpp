// Tests of the attempts that are sent to an endpoint while it warms up.
#include "policy/slow_start.hpp"

#include <gtest/gtest.h>

#include <cstddef>
#include <map>
#include <string>

#include "fake_gateway.hpp"

namespace gateway::policy::testing {
namespace {

TEST(SlowStartTest, LimitsRecentlyStartedEndpointToItsWarmUpFraction) {
  Settings settings = MakeSettings();
  FakeGateway gateway(settings);
  gateway.now = 100000;
  gateway.ReplaceEndpoints({MakeEndpoint("s0"), MakeEndpoint("s1"), MakeEndpoint("new", "0", gateway.now)});
  auto received = gateway.ServeRequests(200, 10);  // takes 2 s
  EXPECT_GE(received["new"], 1);
  // The warm-up fraction grows to 0.36 in these 2 s. Each of the two warm endpoints receives about half of
  // all requests.
  EXPECT_LT(received["new"], 0.36 * received["s0"] + 1);
}

TEST(SlowStartTest, WarmsUpUnreachableEndpointWhenItServesAgain) {
  FakeGateway gateway;
  gateway.now = 100000;
  gateway.AddEndpoints(3);
  gateway.ServeRequests(90, 10);
  int failed = 0;
  gateway.now += 1100;
  for (int i = 0; i < 100 && failed < 2; ++i) {
    const std::string id = "f" + std::to_string(i);
    const std::string endpoint = FakeGateway::SentEndpoint(gateway.SendRequest(id, "pay"));
    gateway.now += 10;
    if (endpoint == "s0") ++failed;
    gateway.FinishAttempt(id, endpoint,
                          endpoint == "s0" ? AttemptResult::kConnectFailed : AttemptResult::kServed, 10);
  }
  gateway.now += 1000;
  auto received = gateway.ServeRequests(300, 10);
  EXPECT_GE(received["s0"], 1);
  EXPECT_LT(received["s0"], 75);  // a quarter of the 300 requests; a warm endpoint receives a third
}

TEST(SlowStartTest, StartsNoWarmUpWhenConnectionsOfServingEndpointFail) {
  FakeGateway gateway;
  gateway.now = 100000;
  gateway.AddEndpoints(3);
  gateway.ServeRequests(90, 10);
  int received = 0;
  int failed = 0;
  for (int i = 0; i < 600; ++i) {
    const std::string id = "r" + std::to_string(i);
    const std::string endpoint = FakeGateway::SentEndpoint(gateway.SendRequest(id));
    gateway.now += 10;
    if (i >= 300) received += endpoint == "s0";
    if (endpoint == "s0" && failed < 2) {
      ++failed;
      const std::string retry_endpoint =
          FakeGateway::SentEndpoint(gateway.FinishAttempt(id, endpoint, AttemptResult::kConnectFailed, 10));
      if (!retry_endpoint.empty()) gateway.FinishAttempt(id, retry_endpoint, AttemptResult::kServed, 10, 1);
    } else if (!endpoint.empty()) {
      gateway.FinishAttempt(id, endpoint, AttemptResult::kServed, 10);
    }
  }
  EXPECT_EQ(failed, 2);
  EXPECT_GT(received, 75);
}

TEST(SlowStartTest, LimitsTotalAttemptsOfManyGatewaysToWarmingEndpoint) {
  Settings settings = MakeSettings();  // the warm-up fraction grows from 0.2 to 1 within 10 s
  settings.gateway_count = 200;
  int warming = 0;
  int warm = 0;
  int warming_later = 0;
  for (settings.gateway_index = 0; settings.gateway_index < settings.gateway_count;
       ++settings.gateway_index) {
    FakeGateway gateway(settings, settings.gateway_index);
    gateway.now = 100000;
    auto endpoints = MakeEndpoints(20);
    gateway.ReplaceEndpoints(endpoints);
    gateway.ServeRequests(50, 200);
    endpoints.push_back(MakeEndpoint("new", "0", gateway.now));
    gateway.ReplaceEndpoints(endpoints);
    const auto first = gateway.ServeRequests(10, 200);  // the first 2 s after the start of "new"
    for (const auto& [id, count] : first) (id == "new" ? warming : warm) += count;
    const auto following = gateway.ServeRequests(30, 200);  // the following 6 s
    if (following.contains("new")) warming_later += following.at("new");
  }
  // A warm endpoint receives about 100 attempts in the first 2 s. If each gateway that uses "new" immediately
  // sent one attempt, "new" would receive 60 attempts or more. The mean warm-up fraction in these 2 s is
  // 0.28. With an overload factor of 3, 3 * 0.28 = 0.84 times the load of a warm endpoint would overload
  // "new".
  EXPECT_LT(warming, 0.5 * warm / 20);
  EXPECT_GT(warming_later, warming);
}

// Each gateway uses a subset of the endpoints. The total load that a warming endpoint receives from all
// gateways must be about its warm-up fraction times the load of a warm endpoint. Otherwise the gateways
// overload the endpoint or leave it idle. A gateway that has just started has received no responses
// of warm endpoints, so it derives the service rate of an endpoint from the rate of arriving requests.
TEST(SlowStartTest, TotalAttemptsOfGatewaysWithSubsetsMatchTheWarmUpFraction) {
  Settings settings = MakeSettings();  // the warm-up fraction grows from 0.2 to 1 within 10 s
  settings.gateway_count = 100;
  double warming = 0;
  double warm = 0;
  for (const bool just_started : {false, true}) {
    warming = 0;
    warm = 0;
    for (settings.gateway_index = 0; settings.gateway_index < settings.gateway_count;
         ++settings.gateway_index) {
      FakeGateway gateway(settings, settings.gateway_index);
      gateway.now = 100000;
      auto endpoints = MakeEndpoints(60);
      gateway.ReplaceEndpoints(endpoints);
      if (!just_started) gateway.ServeRequests(300, 50);
      for (int i = 0; i < 30; ++i) endpoints[i].started_at = gateway.now;
      gateway.ReplaceEndpoints(endpoints);
      for (const auto& [id, count] : gateway.ServeRequests(60, 50)) {
        if (id.empty()) continue;
        (std::stoi(id.substr(1)) < 30 ? warming : warm) += count;
      }
    }
    // The warm-up fraction grows from 0.2 to 0.44 in these 3 s, so its mean is 0.32. A warming endpoint
    // should receive about 0.32 times the load of a warm endpoint. An endpoint fails at 2.5 to 3 times its
    // current capacity, which is 0.8 to 0.96 times the load of a warm endpoint.
    EXPECT_GT(warming, 0.08 * warm) << "gateways just started: " << just_started;
    EXPECT_LT(warming, 0.6 * warm) << "gateways just started: " << just_started;
  }
}

// The latency of the machine type "slow" is three times the latency of the machine type "fast". A warming
// endpoint of the slow type must receive fewer requests than a warming endpoint of the fast type. Otherwise
// the slow endpoint would be overloaded.
TEST(SlowStartTest, LimitsWarmingEndpointByTheServiceRateOfItsMachineType) {
  FakeGateway gateway;
  gateway.now = 100000;
  auto endpoints = MakeEndpoints(12);
  for (std::size_t i = 0; i < endpoints.size(); ++i) endpoints[i].machine_type = i % 2 ? "slow" : "fast";
  std::map<std::string, int> received;
  const auto serve_requests = [&](int count) {
    for (int i = 0; i < count; ++i) {
      const std::string id = "r" + std::to_string(gateway.served_requests++);
      const std::string endpoint = FakeGateway::SentEndpoint(gateway.SendRequest(id));
      gateway.now += 10;
      gateway.Handle(TimerFired{"sweep"});
      const bool warming = endpoint[0] == 'c';
      const bool fast = !warming && std::stoi(endpoint.substr(1)) % 2 == 0;
      const Millis latency = warming ? 1 : (fast ? 20 : 60);
      gateway.FinishAttempt(id, endpoint, AttemptResult::kServed, latency);
      ++received[endpoint];
    }
  };
  gateway.ReplaceEndpoints(endpoints);
  serve_requests(2000);
  for (const char* machine_type : {"slow", "fast"}) {
    endpoints.push_back(MakeEndpoint(std::string("cold-") + machine_type, "0", gateway.now));
    endpoints.back().machine_type = machine_type;
  }
  gateway.ReplaceEndpoints(endpoints);
  received.clear();
  serve_requests(500);
  EXPECT_GT(received["cold-fast"], 1.5 * received["cold-slow"]);
  EXPECT_GT(received["cold-slow"], 0);
}

TEST(SlowStartTest, WarmUpFractionGrowsLinearly) {
  const SlowStart slow_start(MakeSettings());  // the warm-up fraction grows from 0.2 to 1 within 10 s
  const SlowStartState state = {.started_at = 1000};
  EXPECT_DOUBLE_EQ(slow_start.WarmUpFraction(state, 6000), 0.6);
  EXPECT_DOUBLE_EQ(slow_start.WarmUpFraction(state, 11000), 1);
}

}  // namespace
}  // namespace gateway::policy::testing
