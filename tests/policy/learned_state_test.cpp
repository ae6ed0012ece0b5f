// Tests of the export and import of learned state and of its decay with age.
#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <string>

#include "fake_gateway.hpp"

namespace gateway::policy::testing {
namespace {

// A successor process must avoid the endpoints that its predecessor ejected and use the learned latencies and
// rates. While both processes run, each process uses half of the rate.
TEST(LearnedStateTest, SuccessorUsesStateOfItsPredecessor) {
  FakeGateway predecessor;
  predecessor.AddEndpoints(3);
  predecessor.ServeRequests(200, 50);
  for (int i = 0; i < 40 && predecessor.policy.EjectedEndpointCount() == 0; ++i) {
    const std::string id = "f" + std::to_string(i);
    const std::string endpoint = FakeGateway::SentEndpoint(predecessor.SendRequest(id));
    predecessor.now += 1;
    predecessor.FinishAttempt(id, endpoint,
                              endpoint == "s1" ? AttemptResult::kConnectFailed : AttemptResult::kServed, 50);
  }
  ASSERT_EQ(predecessor.policy.EjectedEndpointCount(), 1u);
  const LearnedState learned = predecessor.policy.ExportState();
  FakeGateway successor;
  successor.now = predecessor.now;
  successor.AddEndpoints(3);
  successor.policy.ImportState(successor.now, learned);
  EXPECT_EQ(successor.policy.EjectedEndpointCount(), 1u);
  for (int i = 0; i < 10; ++i) {
    EXPECT_NE(FakeGateway::SentEndpoint(successor.SendRequest("n" + std::to_string(i))), "s1");
  }
  const LearnedState exported = successor.policy.ExportState();
  ASSERT_EQ(exported.endpoints.size(), 3u);
  for (std::size_t i = 0; i < 3; ++i) EXPECT_EQ(exported.endpoints[i].latency, learned.endpoints[i].latency);
  EXPECT_EQ(exported.rate, learned.rate);
  successor.policy.ScaleLimits(0.5);
  EXPECT_DOUBLE_EQ(successor.policy.ExportState().rate, learned.rate / 2);
  ASSERT_EQ(learned.machine_types.size(), 1u);
  EXPECT_GT(learned.machine_types[0].served, 0);
  EXPECT_DOUBLE_EQ(successor.policy.ExportState().machine_types.at(0).served,
                   learned.machine_types[0].served / 2);
  successor.policy.ScaleLimits(2);
  EXPECT_DOUBLE_EQ(successor.policy.ExportState().rate, learned.rate);
}

// The predecessor has already granted the initial credit of a warming endpoint. If the successor granted it
// again, warming endpoints would receive too many attempts. The state of an endpoint that has restarted since
// the export must not be imported.
TEST(LearnedStateTest, SuccessorGrantsNoInitialCreditToWarmingEndpoints) {
  FakeGateway predecessor;
  predecessor.AddEndpoints(1);
  predecessor.ServeRequests(100, 50);
  const LearnedState learned = predecessor.policy.ExportState();
  int sent = 0;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    FakeGateway successor(MakeSettings(), seed);
    successor.now = predecessor.now;
    successor.ReplaceEndpoints({MakeEndpoint("s0", "0", successor.now - 1)});  // warming up
    successor.policy.ImportState(successor.now, learned);
    // The latency of the previous process of the endpoint is not imported.
    EXPECT_EQ(successor.policy.ExportState().endpoints[0].latency, 0);
    sent += !FakeGateway::SentEndpoint(successor.SendRequest("r")).empty();
  }
  EXPECT_EQ(sent, 0);
}

// Sends 400 requests to five endpoints and returns the learned state. All attempts at s1 end with
// kConnectFailed, and the latency of s2 is four times the latency of the other endpoints.
LearnedState LearnFromFiveEndpoints(FakeGateway& predecessor) {
  predecessor.AddEndpoints(5);
  for (int i = 0; i < 400; ++i) {
    const std::string id = "f" + std::to_string(i);
    const std::string endpoint = FakeGateway::SentEndpoint(predecessor.SendRequest(id));
    predecessor.AdvanceTime(10);
    if (endpoint.empty()) continue;
    predecessor.FinishAttempt(id, endpoint,
                              endpoint == "s1" ? AttemptResult::kConnectFailed : AttemptResult::kServed,
                              endpoint == "s2" ? 200 : 50);
  }
  return predecessor.policy.ExportState();
}

// State that is restored from disk keeps its weight after a short downtime and loses weight with age. If the
// clock was set back, the age of the state is unknown, and the state is ignored.
TEST(LearnedStateTest, EjectionsLatenciesAndRatesDecayWithAge) {
  FakeGateway predecessor;
  const LearnedState learned = LearnFromFiveEndpoints(predecessor);
  ASSERT_TRUE(learned.endpoints[1].ejected);
  struct Case {
    Millis downtime;
    bool ejected;  // whether the ejection of s1 is imported
    bool latencies_imported;
    double minimum_rate_factor;  // minimum of imported rate / exported rate
  };
  for (const Case& test_case :
       {Case{1000, true, true, 1}, Case{30000, true, true, 2.5}, Case{120000, false, true, 5},
        Case{600000, false, false, 5}, Case{-1000, false, false, 5}}) {
    SCOPED_TRACE("downtime " + std::to_string(test_case.downtime) + " ms");
    LearnedState state = learned;
    state.rate = 10;  // attempts per second, after a decrease
    FakeGateway successor;
    successor.now = predecessor.now + test_case.downtime;
    successor.AddEndpoints(5);
    successor.policy.ImportState(successor.now, state);
    const LearnedState imported = successor.policy.ExportState();
    EXPECT_EQ(successor.policy.EjectedEndpointCount(), test_case.ejected ? 1u : 0u);
    EXPECT_EQ(imported.endpoints[0].latency > 0, test_case.latencies_imported);
    EXPECT_GE(imported.rate, 10 * test_case.minimum_rate_factor);
    for (std::size_t i = 0; i < 5; ++i) EXPECT_LE(imported.endpoints[i].samples, state.endpoints[i].samples);
  }
}

// When the number of gateways changes, each gateway must use an equal share of the total rate.
TEST(LearnedStateTest, DividesTotalRateByTheNewNumberOfGateways) {
  FakeGateway predecessor;
  LearnedState learned = LearnFromFiveEndpoints(predecessor);
  learned.rate = 60;
  learned.gateway_count = 2;
  Settings settings = MakeSettings();
  settings.gateway_count = 6;
  FakeGateway successor(settings);
  successor.now = predecessor.now;
  successor.AddEndpoints(5);
  successor.policy.ImportState(successor.now, learned);
  EXPECT_DOUBLE_EQ(successor.policy.ExportState().rate, 20);
}

// s1 and s2 recover while the gateway is down. If the gateway ignored the age of the state, it would still
// avoid s1 and s2. The test counts how many of the next 300 requests s1 and s2 receive, once with the true
// age of the state (`aged`) and once with an age of 0. In an even distribution, s1 and s2 would receive 120
// requests in total.
TEST(LearnedStateTest, UsesRecoveredEndpointsWhenStateIsOld) {
  FakeGateway predecessor;
  const LearnedState learned = LearnFromFiveEndpoints(predecessor);
  for (const Millis downtime : {1000.0, 30000.0, 600000.0}) {
    int received[2] = {};
    for (const bool aged : {false, true}) {
      LearnedState state = learned;
      for (auto& endpoint : state.endpoints) endpoint.last_outcome_at += aged ? 0 : downtime;
      state.exported_at += aged ? 0 : downtime;
      for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        FakeGateway successor(MakeSettings(), seed);
        successor.now = predecessor.now + downtime;
        successor.AddEndpoints(5);
        successor.policy.ImportState(successor.now, state);
        for (int i = 0; i < 300; ++i) {
          const std::string id = std::to_string(i);
          const std::string endpoint = FakeGateway::SentEndpoint(successor.SendRequest(id));
          successor.AdvanceTime(10);
          received[aged] += endpoint == "s1" || endpoint == "s2";
          if (!endpoint.empty()) successor.FinishAttempt(id, endpoint, AttemptResult::kServed, 50);
        }
      }
    }
    const std::string name = "down_" + std::to_string(static_cast<int>(downtime / 1000)) + "s";
    RecordProperty(name, std::to_string(received[0] / 20) + " with age 0, " +
                             std::to_string(received[1] / 20) + " with the true age");
    std::printf("%s: s1 and s2 receive %d of 300 requests if the state has age 0, %d with its true age\n",
                name.c_str(), received[0] / 20, received[1] / 20);
    EXPECT_GE(received[1], received[0]) << name;
    EXPECT_GT(received[1], downtime < 600000 ? 0 : 20 * 100) << name;
  }
}

}  // namespace
}  // namespace gateway::policy::testing
