// Tests of how the load balancer chooses the endpoint of an attempt.
#include "policy/load_balancer.hpp"

#include <gtest/gtest.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "fake_gateway.hpp"
#include "policy/endpoint_table.hpp"

namespace gateway::policy::testing {
namespace {

TEST(LoadBalancerTest, PrefersFasterEndpoint) {
  FakeGateway gateway;
  gateway.AddEndpoints(2);
  std::map<std::string, int> received;
  for (int i = 0; i < 200; ++i) {
    const std::string id = "r" + std::to_string(i);
    const std::string endpoint = FakeGateway::SentEndpoint(gateway.SendRequest(id));
    const Millis latency = endpoint == "s0" ? 20 : 200;
    received[endpoint]++;
    gateway.now += latency;
    gateway.FinishAttempt(id, endpoint, AttemptResult::kServed, latency);
  }
  EXPECT_GT(received["s0"], 5 * received["s1"]);
}

TEST(LoadBalancerTest, AvoidsEndpointThatFailsFast) {
  Settings settings = MakeSettings();
  FakeGateway gateway(settings);
  gateway.AddEndpoints(3);
  gateway.ServeRequests(60);
  int sent_to_failing = 0;
  for (int i = 0; i < 100; ++i) {
    const std::string id = "r" + std::to_string(i);
    const std::string endpoint = FakeGateway::SentEndpoint(gateway.SendRequest(id, "pay"));
    sent_to_failing += endpoint == "s1";
    gateway.now += endpoint == "s1" ? 1 : 50;
    gateway.FinishAttempt(id, endpoint, endpoint == "s1" ? AttemptResult::kError : AttemptResult::kServed,
                          endpoint == "s1" ? 1 : 50);
  }
  EXPECT_LT(sent_to_failing, 10);
}

// s5 is added with the machine type of s4, which is slower than the other endpoints.
TEST(LoadBalancerTest, UsesMachineTypeLatencyWhenManyGatewaysShareAnEndpoint) {
  const auto sent_to_added_endpoint = [](int gateway_count) {
    int sent = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
      Settings settings = MakeSettings();
      settings.gateway_count = gateway_count;
      FakeGateway gateway(settings, seed);
      std::vector<EndpointInfo> endpoints = MakeEndpoints(5);
      endpoints[4].machine_type = "slow";
      gateway.ReplaceEndpoints(endpoints);
      const auto serve_request = [&](const std::string& id) {
        std::string endpoint = FakeGateway::SentEndpoint(gateway.SendRequest(id));
        gateway.AdvanceTime(100);
        if (!endpoint.empty()) {
          gateway.FinishAttempt(id, endpoint, AttemptResult::kServed, endpoint < "s4" ? 20 : 100);
        }
        return endpoint;
      };
      for (int i = 0; i < 40; ++i) serve_request("w" + std::to_string(i));
      endpoints.push_back(MakeEndpoint("s5"));
      endpoints[5].machine_type = "slow";
      gateway.ReplaceEndpoints(endpoints);
      for (int i = 0; i < 3; ++i) sent += serve_request("r" + std::to_string(i)) == "s5";
    }
    return sent;
  };
  // A single gateway assumes that s5 has the median latency until s5 has latency samples.
  EXPECT_GT(sent_to_added_endpoint(1), 15);
  EXPECT_LT(sent_to_added_endpoint(20), 12);
}

TEST(LoadBalancerTest, AllGatewaysSendAKeyToTheSameTwoEndpoints) {
  Settings settings = MakeSettings();
  settings.endpoints_cache_keys = true;
  std::map<std::string, std::set<std::string>> endpoints_by_key;
  for (int seed = 0; seed < 8; ++seed) {
    FakeGateway gateway(settings, seed);
    gateway.AddEndpoints(8);
    for (int i = 0; i < 40; ++i) {
      Request request{"r" + std::to_string(i), "view", "", "key" + std::to_string(i % 10), 2000};
      const std::string endpoint = FakeGateway::SentEndpoint(gateway.Handle(request));
      endpoints_by_key[request.key].insert(endpoint);
      gateway.now += 20;
      gateway.FinishAttempt(request.id, endpoint, AttemptResult::kServed, 20);
    }
  }
  for (const auto& [key, endpoints] : endpoints_by_key) EXPECT_LE(endpoints.size(), 2u) << key;
}

TEST(LoadBalancerTest, CostIsLatencyTimesAttemptsInFlightAndHigherInOtherZones) {
  EndpointTable table("z0");
  Endpoint& measured = table.Update(MakeEndpoint("a", "0")).endpoint;
  Endpoint& unmeasured = table.Update(MakeEndpoint("b", "1")).endpoint;
  measured.concurrency.latency = {.current = 50, .samples = 100};
  measured.in_flight = 2;
  table.MarkMeasured(measured);
  measured.machine_type->latency.current = 110;
  EXPECT_DOUBLE_EQ(LoadBalancer::Cost(measured, false, table), 3 * 50);
  // The weighted mean of the endpoint's and the machine type's latency is (10 * 50 + 2 * 110) / 12 = 60 ms.
  EXPECT_DOUBLE_EQ(LoadBalancer::Cost(measured, true, table), 3 * 60);
  EXPECT_DOUBLE_EQ(LoadBalancer::Cost(unmeasured, false, table), 1.3 * 50);
}

}  // namespace
}  // namespace gateway::policy::testing
