// Tests of the subsets of endpoints that gateways use.
#include "policy/subsetting.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <map>
#include <set>
#include <string>

#include "fake_gateway.hpp"
#include "policy/endpoint_table.hpp"

namespace gateway::policy::testing {
namespace {

TEST(SubsettingTest, UsesFewEndpointsPerGatewayAndSpreadsGatewaysEvenly) {
  std::map<std::string, int> gateways_by_endpoint;
  std::size_t largest_subset = 0;
  Settings settings = MakeSettings();
  settings.gateway_count = 300;
  for (settings.gateway_index = 0; settings.gateway_index < settings.gateway_count;
       ++settings.gateway_index) {
    FakeGateway gateway(settings, settings.gateway_index);
    gateway.ReplaceEndpoints(MakeEndpoints(60));
    const auto sent_by_endpoint = gateway.ServeRequests(60, 200);
    for (const auto& [id, count] : sent_by_endpoint) ++gateways_by_endpoint[id];
    largest_subset = std::max(largest_subset, sent_by_endpoint.size());
  }
  EXPECT_LE(largest_subset, 9u);
  ASSERT_EQ(gateways_by_endpoint.size(), 60u);
  for (const auto& [id, count] : gateways_by_endpoint) {
    EXPECT_TRUE(count >= 20 && count <= 50) << id << " is in the subsets of " << count << " gateways";
  }
}

// Subsets are small, so that few requests suffice to learn the state of their endpoints. A gateway that
// receives most of the requests would overload the endpoints of a small subset, so its subset must be larger.
TEST(SubsettingTest, SubsetGrowsWithTheNumberOfRequestsInFlight) {
  Settings settings = MakeSettings();
  settings.gateway_count = 100;
  FakeGateway gateway(settings);
  gateway.ReplaceEndpoints(MakeEndpoints(60));
  EXPECT_LE(gateway.ServeRequests(300, 66).size(), 8u);
  std::set<std::string> used;
  std::size_t finished = gateway.sent.size();
  for (int i = 0; i < 500; ++i) {  // 20 requests are in flight
    gateway.SendRequest("busy" + std::to_string(i));
    gateway.now += 20;
    gateway.Handle(TimerFired{"sweep"});
    for (; finished + 20 < gateway.sent.size(); ++finished) {
      gateway.FinishAttempt(gateway.sent[finished].request, gateway.sent[finished].endpoint,
                            AttemptResult::kServed, 400);
      if (i > 400) used.insert(gateway.sent[finished].endpoint);
    }
  }
  EXPECT_GT(used.size(), 30u);
}

// Cross-zone requests are more expensive, so gateways prefer endpoints in their own zone. Nevertheless all
// endpoints must receive a similar load.
TEST(SubsettingTest, PrefersOwnZoneAndLoadsEndpointsEvenly) {
  Settings settings = MakeSettings();
  settings.gateway_count = 99;
  auto endpoints = MakeEndpoints(60);
  for (int i = 0; i < 60; ++i) endpoints[i].zone = "z" + std::to_string(i / 20);
  std::map<std::string, int> received;
  int own_zone = 0;
  int all = 0;
  for (settings.gateway_index = 0; settings.gateway_index < settings.gateway_count;
       ++settings.gateway_index) {
    settings.zone = "z" + std::to_string(settings.gateway_index % 3);
    FakeGateway gateway(settings, settings.gateway_index);
    gateway.ReplaceEndpoints(endpoints);
    for (const auto& [id, count] : gateway.ServeRequests(100, 50)) {
      received[id] += count;
      all += count;
      own_zone += std::stoi(id.substr(1)) / 20 == settings.gateway_index % 3 ? count : 0;
    }
  }
  EXPECT_GT(own_zone, 0.7 * all);
  EXPECT_LT(own_zone, 0.9 * all);
  EXPECT_EQ(received.size(), 60u);
  const auto fewer = [](const auto& left, const auto& right) { return left.second < right.second; };
  EXPECT_LT(std::max_element(received.begin(), received.end(), fewer)->second, 2.0 * all / 60);
  EXPECT_GT(std::min_element(received.begin(), received.end(), fewer)->second, 0.4 * all / 60);
}

TEST(SubsettingTest, SubsetIsHalfAsLargeWithMultiplexedConnections) {
  Settings settings = MakeSettings();
  settings.gateway_count = 100;
  settings.gateway_index = 7;
  FakeGateway single_stream(settings);
  single_stream.ReplaceEndpoints(MakeEndpoints(30));
  settings.streams_per_connection = 100;
  FakeGateway multiplexed(settings);
  multiplexed.ReplaceEndpoints(MakeEndpoints(30));
  EXPECT_EQ(single_stream.ServeRequests(100, 200).size(), 2 * multiplexed.ServeRequests(100, 200).size());
}

TEST(SubsettingTest, SubsetHasThreeEndpointsPerConcurrentRequestAndAtLeastTwelveGatewaysPerEndpoint) {
  Settings settings = MakeSettings();
  settings.gateway_count = 100;
  EndpointTable table("");
  for (const EndpointInfo& endpoint : MakeEndpoints(60)) table.Update(endpoint);
  Subsetting subsetting(settings, /*ring_position=*/0.5);
  subsetting.Choose(table, /*concurrent_requests=*/10);
  EXPECT_EQ(subsetting.endpoints().size(), 30u);  // 3 endpoints for each concurrent request
  subsetting.Choose(table, 0);
  EXPECT_EQ(subsetting.endpoints().size(), 8u);  // 12 gateways per endpoint: 12 * 60 / 100 = 7.2 endpoints
}

}  // namespace
}  // namespace gateway::policy::testing
