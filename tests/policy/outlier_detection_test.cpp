// Which failures eject an endpoint, and how ejected endpoints are probed and readmitted.
#include "policy/outlier_detection.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

#include "fake_gateway.hpp"
#include "policy/endpoint.hpp"

namespace gateway::policy::testing {
namespace {

// Sends eight requests each 20 ms to `endpoint_count` endpoints. s0 stops responding: its attempts time out
// after 100 ms. Returns how many it is sent in the last second, and whether the admission rate is decreased.
std::pair<int, bool> SendToUnresponsiveEndpoint(int endpoint_count) {
  FakeGateway gateway;
  gateway.AddEndpoints(endpoint_count);
  gateway.ServeRequests(50 * endpoint_count);
  bool decreased = false;
  int sent_in_last_second = 0;
  std::deque<std::pair<Millis, std::string>> unanswered;
  for (int round = 0; round < 150; ++round) {
    std::map<std::string, std::string> sent;
    for (int i = 0; i < 8; ++i) {
      const std::string id = "r" + std::to_string(round) + "." + std::to_string(i);
      if (const std::string to = FakeGateway::SentEndpoint(gateway.SendRequest(id, "pay")); !to.empty()) {
        sent[id] = to;
      }
    }
    decreased |= FakeGateway::DecreasedRate(gateway.AdvanceTime(20));
    for (const auto& [id, to] : sent) {
      if (to == "s0") {
        unanswered.emplace_back(gateway.now + 80, id);
        sent_in_last_second += round >= 100;
      } else {
        decreased |= FakeGateway::DecreasedRate(gateway.FinishAttempt(id, to, AttemptResult::kServed, 20));
      }
    }
    for (; !unanswered.empty() && unanswered.front().first <= gateway.now; unanswered.pop_front()) {
      decreased |= FakeGateway::DecreasedRate(
          gateway.FinishAttempt(unanswered.front().second, "s0", AttemptResult::kTimedOut, 100));
    }
  }
  return {sent_in_last_second, decreased};
}

TEST(OutlierDetectionTest, EjectsEndpointWhoseRequestsTimeOut) {
  EXPECT_LE(SendToUnresponsiveEndpoint(3).first, 2);
}

TEST(OutlierDetectionTest, UnresponsiveEndpointDoesNotDecreaseAdmissionRate) {
  EXPECT_FALSE(SendToUnresponsiveEndpoint(4).second);
}

// Sends three requests each 10 ms to three endpoints. All are served in 10 ms but for one in thirty, which
// times out after 250 ms at any endpoint.
TEST(OutlierDetectionTest, IsolatedTimeoutsDoNotQueueOtherRequests) {
  FakeGateway gateway;
  gateway.AddEndpoints(3);
  gateway.ServeRequests(100, 10);
  std::deque<std::tuple<Millis, std::string, std::string>> unanswered;
  int requests = 0;
  int sent_directly = 0;
  for (int round = 0; round < 1000; ++round) {
    std::map<std::string, std::string> sent;
    for (int i = 0; i < 3; ++i) {
      const std::string id = "r" + std::to_string(++requests);
      const std::string to = FakeGateway::SentEndpoint(gateway.SendRequest(id, "pay"));
      if (to.empty()) continue;
      ++sent_directly;
      if (requests % 31 == 0) {
        unanswered.emplace_back(gateway.now + 250, id, to);
      } else {
        sent[id] = to;
      }
    }
    gateway.AdvanceTime(10);
    for (const auto& [id, to] : sent) gateway.FinishAttempt(id, to, AttemptResult::kServed, 10);
    for (; !unanswered.empty() && std::get<0>(unanswered.front()) <= gateway.now; unanswered.pop_front()) {
      gateway.FinishAttempt(std::get<1>(unanswered.front()), std::get<2>(unanswered.front()),
                            AttemptResult::kTimedOut, 250);
    }
  }
  EXPECT_GE(sent_directly, requests * 99 / 100);
}

TEST(OutlierDetectionTest, RejectedProbeBacksOff) {
  FakeGateway gateway;
  gateway.AddEndpoints(3);
  gateway.ServeRequests(60);
  int sent_to_unresponsive = 0;
  for (int i = 0; i < 400; ++i) {
    const std::string id = "r" + std::to_string(i);
    const std::string to = FakeGateway::SentEndpoint(gateway.SendRequest(id));
    gateway.AdvanceTime(10);
    if (to == "s0") {  // times out at first, then rejects
      const bool times_out = ++sent_to_unresponsive < 4;
      if (times_out) gateway.now += 200;
      gateway.FinishAttempt(id, to, times_out ? AttemptResult::kTimedOut : AttemptResult::kRejected,
                            times_out ? 200 : 1);
    } else if (!to.empty()) {
      gateway.FinishAttempt(id, to, AttemptResult::kServed, 10);
    }
  }
  EXPECT_LT(sent_to_unresponsive, 15);
}

// Sends sixteen requests each 20 ms to four endpoints. The given percentages of the connections to s0 and to
// the others break before the response. Returns the lines logged, and how many requests s0 is sent in the
// last second.
std::pair<std::vector<std::string>, int> SendOverBreakingConnections(unsigned s0_percent,
                                                                     unsigned others_percent) {
  FakeGateway gateway;
  gateway.AddEndpoints(4);
  gateway.ServeRequests(100, 10);
  std::mt19937 random(7);
  std::vector<std::string> lines;
  int sent_in_last_second = 0;
  const auto collect_log_lines = [&](const std::vector<Action>& actions) {
    for (const Action& action : actions) {
      if (const auto* log = std::get_if<LogLine>(&action); log && !log->is_status) {
        lines.push_back(log->text);
      }
    }
  };
  for (int round = 0; round < 400; ++round) {
    std::map<std::string, std::string> sent;
    for (int i = 0; i < 16; ++i) {
      const std::string id = "r" + std::to_string(round) + "." + std::to_string(i);
      if (const std::string to = FakeGateway::SentEndpoint(gateway.SendRequest(id, "pay")); !to.empty()) {
        sent[id] = to;
      }
    }
    collect_log_lines(gateway.AdvanceTime(20));
    for (const auto& [id, to] : sent) {
      sent_in_last_second += round >= 350 && to == "s0";
      const bool broken = random() % 100 < (to == "s0" ? s0_percent : others_percent);
      collect_log_lines(
          gateway.FinishAttempt(id, to, broken ? AttemptResult::kReset : AttemptResult::kServed, 20));
    }
  }
  return {lines, sent_in_last_second};
}

TEST(OutlierDetectionTest, BrokenConnectionsEverywhereNeitherDecreaseRateNorEject) {
  EXPECT_EQ(SendOverBreakingConnections(12, 12).first, std::vector<std::string>());
}

TEST(OutlierDetectionTest, EjectsEndpointThatBreaksAllConnections) {
  EXPECT_LE(SendOverBreakingConnections(100, 0).second, 2);
}

TEST(OutlierDetectionTest, EjectsEndpointThatBreaksMostConnections) {
  EXPECT_LE(SendOverBreakingConnections(80, 0).second, 20);
}

// The number of attempts that the gateway has sent for the request.
int SentAttempts(const FakeGateway& gateway, const std::string& request) {
  const auto count = std::count_if(gateway.sent.begin(), gateway.sent.end(),
                                   [&](const Send& send) { return send.request == request; });
  return static_cast<int>(count);
}

// Sends eight requests each 20 ms to eight endpoints. s0 drains before the list says so: it rejects all
// attempts at once.
TEST(OutlierDetectionTest, AvoidsEndpointThatRejectsAllWithoutDecreasingRate) {
  FakeGateway gateway;
  gateway.AddEndpoints(8);
  gateway.ServeRequests(200, 20);
  int rejected = 0;
  bool decreased = false;
  for (int round = 0; round < 150; ++round) {
    std::map<std::string, std::string> sent;
    for (int i = 0; i < 8; ++i) {
      const std::string id = "r" + std::to_string(round) + "." + std::to_string(i);
      std::string to = FakeGateway::SentEndpoint(gateway.SendRequest(id));
      for (int attempt = 0; to == "s0"; ++attempt) {
        ++rejected;
        const auto actions = gateway.FinishAttempt(id, to, AttemptResult::kRejected, 1, attempt);
        decreased |= FakeGateway::DecreasedRate(actions);
        to = FakeGateway::SentEndpoint(actions);
      }
      if (!to.empty()) sent[id] = to;
    }
    gateway.AdvanceTime(20);
    for (const auto& [id, to] : sent) {
      gateway.FinishAttempt(id, to, AttemptResult::kServed, 20, SentAttempts(gateway, id) - 1);
    }
  }
  EXPECT_LE(rejected, 20);  // 3 s
  EXPECT_FALSE(decreased);
}

// Sends ten requests each 20 ms to four endpoints, one of them not idempotent. For 8 s s0 and s1 answer those
// with an error. Returns how many fail, and how many reach s0 in the 8 s after that.
std::pair<int, int> SendWithErrorsOfOneClass() {
  FakeGateway gateway;
  gateway.AddEndpoints(4);
  gateway.ServeRequests(200, 10);
  int failed = 0;
  int later = 0;
  for (int round = 0; round < 800; ++round) {
    std::map<std::string, std::string> sent;
    for (int i = 0; i < 10; ++i) {
      const std::string id = (i == 0 ? "pay" : "view") + std::to_string(round) + "." + std::to_string(i);
      if (const std::string to = FakeGateway::SentEndpoint(gateway.SendRequest(id, i == 0 ? "pay" : "view"));
          !to.empty()) {
        sent[id] = to;
      }
    }
    gateway.AdvanceTime(20);
    for (const auto& [id, to] : sent) {
      const bool is_payment = id[0] == 'p';
      const bool fails = is_payment && round < 400 && to < "s2";
      failed += fails;
      later += is_payment && round >= 400 && to == "s0";
      gateway.FinishAttempt(id, to, fails ? AttemptResult::kError : AttemptResult::kServed, 20);
    }
  }
  return {failed, later};
}

TEST(OutlierDetectionTest, AvoidsEndpointsForTheClassTheyFailUntilTheyRecover) {
  const auto [failed, later] = SendWithErrorsOfOneClass();
  EXPECT_LE(failed, 20);  // of 400
  EXPECT_GE(later, 40);
}

TEST(OutlierDetectionTest, SendsClassThatAllEndpointsFail) {
  FakeGateway gateway;
  gateway.AddEndpoints(4);
  std::set<std::string> failed;
  for (int i = 0; i < 5; ++i) {
    gateway.ServeRequests(30, 1);  // responses of the other class in between keep all endpoints from ejection
    const std::string id = "pay" + std::to_string(i);
    const std::string to = FakeGateway::SentEndpoint(gateway.SendRequest(id, "pay"));
    ASSERT_NE(to, "") << i;
    EXPECT_EQ(failed.insert(to).second, i < 4) << i;  // each once, within the 300 ms for which it is avoided
    gateway.FinishAttempt(id, to, AttemptResult::kError, 1);
  }
}

// Probes of an endpoint that keeps failing use clients' requests: few of all, with a timeout that leaves time
// for another endpoint. A single ejected endpoint is still probed until it recovers.
TEST(OutlierDetectionTest, ProbesTakeASmallShareOfRequestsAndOfTheirTime) {
  Settings settings = MakeSettings();
  settings.gateway_count = 100;
  FakeGateway gateway(settings);
  gateway.ReplaceEndpoints(MakeEndpoints(60));
  int probed = 0;
  int sent = 0;
  int long_probes = 0;
  for (int i = 0; i < 600; ++i) {
    const std::string id = "r" + std::to_string(i);
    const std::string endpoint = FakeGateway::SentEndpoint(gateway.SendRequest(id));
    gateway.now += 66;
    gateway.Handle(TimerFired{"sweep"});
    if (endpoint.empty()) continue;
    const bool fails = std::stoi(endpoint.substr(1)) % 3 == 0;
    if (i >= 300) {
      ++sent;
      probed += fails;
      long_probes += fails && gateway.sent.back().timeout > 500;  // of the 1000 of its latency objective
    }
    gateway.FinishAttempt(id, endpoint, fails && i % 4 ? AttemptResult::kError : AttemptResult::kServed, 66);
  }
  EXPECT_GT(probed, 2);
  EXPECT_LT(probed, 0.08 * sent);
  EXPECT_LT(long_probes, probed / 2);

  // One endpoint, which fails four times and then recovers.
  settings.max_attempts = 1;
  settings.gateway_count = 1;
  FakeGateway alone(settings);
  alone.AddEndpoints(1);
  std::size_t finished = 0;
  for (int i = 0; i < 64; ++i) {
    alone.SendRequest("r" + std::to_string(i));
    alone.AdvanceTime(300);
    for (; finished < alone.sent.size(); ++finished) {
      alone.FinishAttempt(alone.sent[finished].request, "s0",
                          finished < 4 ? AttemptResult::kError : AttemptResult::kServed, 100);
    }
  }
  EXPECT_GT(finished, 45);
}

// Three unresponsive endpoints mark their zone as lost before each of the others has failed. One response
// ends that.
TEST(OutlierDetectionTest, AvoidsLostZoneUntilAProbeIsServed) {
  Settings settings = MakeSettings();
  settings.gateway_count = 30;
  settings.max_attempts = 1;
  auto endpoints = MakeEndpoints(60);
  for (int i = 0; i < 60; ++i) endpoints[i].zone = "z" + std::to_string(i % 3);
  // Attempts sent to zone 1.
  int before = 0;
  int during = 0;
  int after = 0;
  for (int seed = 0; seed < 10; ++seed) {
    FakeGateway gateway(settings, seed);
    gateway.ReplaceEndpoints(endpoints);
    for (int i = 0; i < 240; ++i) {
      const std::string id = "r" + std::to_string(i);
      const std::string endpoint = FakeGateway::SentEndpoint(gateway.SendRequest(id));
      gateway.now += 66;
      gateway.Handle(TimerFired{"sweep"});
      if (endpoint.empty()) continue;
      const bool in_zone_1 = std::stoi(endpoint.substr(1)) % 3 == 1;
      const bool outage = i >= 60 && i < 120;
      int& count = i < 60 ? before : (outage ? during : after);
      count += in_zone_1;
      gateway.FinishAttempt(id, endpoint,
                            in_zone_1 && outage ? AttemptResult::kConnectFailed : AttemptResult::kServed, 66);
    }
  }
  EXPECT_GT(before, 10 * 10);
  EXPECT_LT(during, 10 * 9);  // 3 failures and 5 probes; ejecting each of 8 endpoints alone would take 16
  EXPECT_GT(after, 10 * 15);  // readmitted by a probe
}

// Responses that break off while they are streamed count against their endpoint.
TEST(OutlierDetectionTest, EjectsEndpointWhoseResponsesBreakOff) {
  FakeGateway gateway;
  gateway.AddEndpoints(2);
  gateway.ServeRequests(100, 50);
  for (int i = 0; i < 200 && gateway.policy.EjectedEndpointCount() == 0; ++i) {
    const std::string id = "r" + std::to_string(i);
    const std::string endpoint = FakeGateway::SentEndpoint(gateway.SendRequest(id));
    gateway.AdvanceTime(50);
    gateway.Handle(ResponseStarted{id, 0});
    gateway.AdvanceTime(1500);  // no other attempt is served meanwhile
    gateway.Handle(AttemptOutcome{id, 0, endpoint, AttemptResult::kReset, true, 1550, {}});
  }
  EXPECT_GT(gateway.policy.EjectedEndpointCount(), 0u);
}

TEST(OutlierDetectionTest, EjectsAboveAFailureRateOf30PercentAndDoublesTheProbeBackoff) {
  const OutlierDetection detection(/*class_count=*/1);
  RandomSource random(1);
  Zone zone;
  Endpoint endpoint;
  endpoint.zone = &zone;
  detection.Reset(endpoint.outlier);
  const auto record = [&](AttemptResult result, Millis now) {
    return detection.RecordOutcome(endpoint, {result, /*latency=*/10, 0}, now, random).change;
  };
  EXPECT_EQ(record(AttemptResult::kError, 0), OutlierDetection::Change::kNone);
  EXPECT_EQ(record(AttemptResult::kError, 0), OutlierDetection::Change::kEjected);
  Millis now = 0;
  for (const Millis backoff : {300, 600, 1200, 2400, 4000, 4000}) {
    EXPECT_FALSE(detection.IsProbeDue(endpoint, now + 0.74 * backoff));
    now += 1.25 * backoff;
    EXPECT_TRUE(detection.IsProbeDue(endpoint, now));
    record(AttemptResult::kError, now);
  }
}

}  // namespace
}  // namespace gateway::policy::testing
