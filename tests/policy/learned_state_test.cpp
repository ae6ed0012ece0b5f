// What the successor of a process continues with, and how learned state ages.
#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <string>

#include "fake_gateway.hpp"

namespace gateway::policy::testing {
namespace {

// A successor avoids the endpoints that the former process ejected, uses its measurements, and while both run
// each admits half the rate.
TEST(LearnedStateTest, SuccessorContinuesWithLearnedState) {
  FakeGateway former;
  former.AddEndpoints(3);
  former.ServeRequests(200, 50);
  for (int i = 0; i < 40 && former.policy.EjectedEndpointCount() == 0; ++i) {
    const std::string id = "f" + std::to_string(i);
    const std::string endpoint = FakeGateway::SentEndpoint(former.SendRequest(id));
    former.now += 1;
    former.FinishAttempt(id, endpoint,
                         endpoint == "s1" ? AttemptResult::kConnectFailed : AttemptResult::kServed, 50);
  }
  ASSERT_EQ(former.policy.EjectedEndpointCount(), 1u);
  const LearnedState learned = former.policy.ExportState();
  FakeGateway successor;
  successor.now = former.now;
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

// The random initial credit of a warming endpoint was used by the former process and is not granted twice. An
// endpoint that has restarted since inherits nothing of its former process.
TEST(LearnedStateTest, SuccessorGrantsWarmingEndpointsNoCreditTwice) {
  FakeGateway former;
  former.AddEndpoints(1);
  former.ServeRequests(100, 50);
  const LearnedState learned = former.policy.ExportState();
  int sent = 0;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    FakeGateway successor(MakeSettings(), seed);
    successor.now = former.now;
    successor.ReplaceEndpoints({MakeEndpoint("s0", "0", successor.now - 1)});  // warming up
    successor.policy.ImportState(successor.now, learned);
    // Nothing is left of its former process.
    EXPECT_EQ(successor.policy.ExportState().endpoints[0].latency, 0);
    sent += !FakeGateway::SentEndpoint(successor.SendRequest("r")).empty();
  }
  EXPECT_EQ(sent, 0);
}

// What a gateway learns of five endpoints, of which s1 fails and s2 takes four times as long.
LearnedState LearnFromFiveEndpoints(FakeGateway& former) {
  former.AddEndpoints(5);
  for (int i = 0; i < 400; ++i) {
    const std::string id = "f" + std::to_string(i);
    const std::string endpoint = FakeGateway::SentEndpoint(former.SendRequest(id));
    former.AdvanceTime(10);
    if (endpoint.empty()) continue;
    former.FinishAttempt(id, endpoint,
                         endpoint == "s1" ? AttemptResult::kConnectFailed : AttemptResult::kServed,
                         endpoint == "s2" ? 200 : 50);
  }
  return former.policy.ExportState();
}

// What is restored from a disk holds fully after a moment, less the older it is, and not at all from a clock
// that was set back.
TEST(LearnedStateTest, EjectionsLatenciesAndRatesAge) {
  FakeGateway former;
  const LearnedState learned = LearnFromFiveEndpoints(former);
  ASSERT_TRUE(learned.endpoints[1].ejected);
  struct Row {
    Millis down;
    bool ejected;
    bool measured;
    double minimum_rate;  // times the exported one
  };
  for (const Row& row : {Row{1000, true, true, 1}, Row{30000, true, true, 2.5}, Row{120000, false, true, 5},
                         Row{600000, false, false, 5}, Row{-1000, false, false, 5}}) {
    LearnedState state = learned;
    state.rate = 10;  // after a decrease
    FakeGateway successor;
    successor.now = former.now + row.down;
    successor.AddEndpoints(5);
    successor.policy.ImportState(successor.now, state);
    const LearnedState imported = successor.policy.ExportState();
    EXPECT_EQ(successor.policy.EjectedEndpointCount(), row.ejected ? 1u : 0u) << row.down;
    EXPECT_EQ(imported.endpoints[0].latency > 0, row.measured) << row.down;
    EXPECT_GE(imported.rate, 10 * row.minimum_rate) << row.down;
    for (std::size_t i = 0; i < 5; ++i) EXPECT_LE(imported.endpoints[i].samples, state.endpoints[i].samples);
  }
}

// Each gateway takes its part of the total rate where the number of gateways changes.
TEST(LearnedStateTest, DividesTheRateAmongTheCurrentGateways) {
  FakeGateway former;
  LearnedState learned = LearnFromFiveEndpoints(former);
  learned.rate = 60;
  learned.gateway_count = 2;
  Settings settings = MakeSettings();
  settings.gateway_count = 6;
  FakeGateway successor(settings);
  successor.now = former.now;
  successor.AddEndpoints(5);
  successor.policy.ImportState(successor.now, learned);
  EXPECT_DOUBLE_EQ(successor.policy.ExportState().rate, 20);
}

// While the gateway is down s1 and s2 recover. Counts how many of the next 300 requests these two are sent,
// of 120 that are their part: with the true ages, and with the state taken as new.
TEST(LearnedStateTest, AgedStateFindsRecoveredEndpoints) {
  FakeGateway former;
  const LearnedState learned = LearnFromFiveEndpoints(former);
  for (const Millis down : {1000.0, 30000.0, 600000.0}) {
    int received[2] = {};
    for (const bool aged : {false, true}) {
      LearnedState state = learned;
      for (auto& endpoint : state.endpoints) endpoint.last_outcome_at += aged ? 0 : down;
      state.exported_at += aged ? 0 : down;
      for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        FakeGateway successor(MakeSettings(), seed);
        successor.now = former.now + down;
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
    const std::string name = "down_" + std::to_string(static_cast<int>(down / 1000)) + "s";
    RecordProperty(name, std::to_string(received[0] / 20) + " with ages ignored, " +
                             std::to_string(received[1] / 20) + " aged");
    std::printf("%s: s1 and s2 are sent %d of 300 with ages ignored, %d with ages\n", name.c_str(),
                received[0] / 20, received[1] / 20);
    EXPECT_GE(received[1], received[0]) << name;
    EXPECT_GT(received[1], down < 600000 ? 0 : 20 * 100) << name;
  }
}

}  // namespace
}  // namespace gateway::policy::testing
