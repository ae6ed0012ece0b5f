// Tests of the ejection, probing and readmission of endpoints.
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

// Sends eight requests every 20 ms to `endpoint_count` endpoints. s0 stops responding, so its attempts time
// out after 100 ms. Returns the number of attempts sent to s0 in the last second, and whether the admission
// rate was decreased.
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
      if (const std::string endpoint = FakeGateway::SentEndpoint(gateway.SendRequest(id, "pay"));
          !endpoint.empty()) {
        sent[id] = endpoint;
      }
    }
    decreased |= FakeGateway::DecreasedRate(gateway.AdvanceTime(20));
    for (const auto& [id, endpoint] : sent) {
      if (endpoint == "s0") {
        unanswered.emplace_back(gateway.now + 80, id);
        sent_in_last_second += round >= 100;
      } else {
        decreased |=
            FakeGateway::DecreasedRate(gateway.FinishAttempt(id, endpoint, AttemptResult::kServed, 20));
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

TEST(OutlierDetectionTest, KeepsAdmissionRateWhenOneOfFourEndpointsIsUnresponsive) {
  EXPECT_FALSE(SendToUnresponsiveEndpoint(4).second);
}

// Three requests are sent every 10 ms to three endpoints. Most requests are served in 10 ms, but one in 31
// times out after 250 ms, regardless of its endpoint. The timeouts must neither eject endpoints nor lower
// their concurrency limits, so almost all requests are sent without queueing.
TEST(OutlierDetectionTest, SendsOtherRequestsWithoutQueueingDespiteIsolatedTimeouts) {
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
      const std::string endpoint = FakeGateway::SentEndpoint(gateway.SendRequest(id, "pay"));
      if (endpoint.empty()) continue;
      ++sent_directly;
      if (requests % 31 == 0) {
        unanswered.emplace_back(gateway.now + 250, id, endpoint);
      } else {
        sent[id] = endpoint;
      }
    }
    gateway.AdvanceTime(10);
    for (const auto& [id, endpoint] : sent) gateway.FinishAttempt(id, endpoint, AttemptResult::kServed, 10);
    for (; !unanswered.empty() && std::get<0>(unanswered.front()) <= gateway.now; unanswered.pop_front()) {
      gateway.FinishAttempt(std::get<1>(unanswered.front()), std::get<2>(unanswered.front()),
                            AttemptResult::kTimedOut, 250);
    }
  }
  EXPECT_GE(sent_directly, requests * 99 / 100);
}

TEST(OutlierDetectionTest, IncreasesBackoffWhenProbeIsRejected) {
  FakeGateway gateway;
  gateway.AddEndpoints(3);
  gateway.ServeRequests(60);
  int sent_to_unresponsive = 0;
  for (int i = 0; i < 400; ++i) {
    const std::string id = "r" + std::to_string(i);
    const std::string endpoint = FakeGateway::SentEndpoint(gateway.SendRequest(id));
    gateway.AdvanceTime(10);
    if (endpoint == "s0") {  // s0 times out at first and rejects later
      const bool times_out = ++sent_to_unresponsive < 4;
      if (times_out) gateway.now += 200;
      gateway.FinishAttempt(id, endpoint, times_out ? AttemptResult::kTimedOut : AttemptResult::kRejected,
                            times_out ? 200 : 1);
    } else if (!endpoint.empty()) {
      gateway.FinishAttempt(id, endpoint, AttemptResult::kServed, 10);
    }
  }
  EXPECT_LT(sent_to_unresponsive, 15);
}

// Sends sixteen requests every 20 ms to four endpoints. `s0_percent` of the connections to s0 and
// `others_percent` of the connections to the other endpoints break before the response. Returns the log lines
// about ejections, readmissions and rate decreases, and the number of attempts sent to s0 in the last second.
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
      if (const std::string endpoint = FakeGateway::SentEndpoint(gateway.SendRequest(id, "pay"));
          !endpoint.empty()) {
        sent[id] = endpoint;
      }
    }
    collect_log_lines(gateway.AdvanceTime(20));
    for (const auto& [id, endpoint] : sent) {
      sent_in_last_second += round >= 350 && endpoint == "s0";
      const bool broken = random() % 100 < (endpoint == "s0" ? s0_percent : others_percent);
      collect_log_lines(
          gateway.FinishAttempt(id, endpoint, broken ? AttemptResult::kReset : AttemptResult::kServed, 20));
    }
  }
  return {lines, sent_in_last_second};
}

TEST(OutlierDetectionTest, NeitherEjectsNorDecreasesRateWhenTwelvePercentOfAllConnectionsBreak) {
  EXPECT_EQ(SendOverBreakingConnections(12, 12).first, std::vector<std::string>());
}

TEST(OutlierDetectionTest, EjectsEndpointWhenAllItsConnectionsBreak) {
  EXPECT_LE(SendOverBreakingConnections(100, 0).second, 2);
}

TEST(OutlierDetectionTest, EjectsEndpointWhenMostOfItsConnectionsBreak) {
  EXPECT_LE(SendOverBreakingConnections(80, 0).second, 20);
}

// Returns the number of attempts that the gateway has sent for the request.
int SentAttempts(const FakeGateway& gateway, const std::string& request) {
  const auto count = std::count_if(gateway.sent.begin(), gateway.sent.end(),
                                   [&](const Send& send) { return send.request == request; });
  return static_cast<int>(count);
}

// Eight requests are sent every 20 ms to eight endpoints. s0 starts to drain before the endpoint list reports
// the drain, and rejects all attempts immediately. The gateway must avoid s0, and the rejections must not
// decrease the admission rate.
TEST(OutlierDetectionTest, AvoidsEndpointThatRejectsAllAttemptsAndKeepsAdmissionRate) {
  FakeGateway gateway;
  gateway.AddEndpoints(8);
  gateway.ServeRequests(200, 20);
  int rejected = 0;
  bool decreased = false;
  for (int round = 0; round < 150; ++round) {
    std::map<std::string, std::string> sent;
    for (int i = 0; i < 8; ++i) {
      const std::string id = "r" + std::to_string(round) + "." + std::to_string(i);
      std::string endpoint = FakeGateway::SentEndpoint(gateway.SendRequest(id));
      for (int attempt = 0; endpoint == "s0"; ++attempt) {
        ++rejected;
        const auto actions = gateway.FinishAttempt(id, endpoint, AttemptResult::kRejected, 1, attempt);
        decreased |= FakeGateway::DecreasedRate(actions);
        endpoint = FakeGateway::SentEndpoint(actions);
      }
      if (!endpoint.empty()) sent[id] = endpoint;
    }
    gateway.AdvanceTime(20);
    for (const auto& [id, endpoint] : sent) {
      gateway.FinishAttempt(id, endpoint, AttemptResult::kServed, 20, SentAttempts(gateway, id) - 1);
    }
  }
  EXPECT_LE(rejected, 20);  // of 1200 requests in 3 s; s0 would receive 150 in an even distribution
  EXPECT_FALSE(decreased);
}

// Sends ten requests every 20 ms to four endpoints. One of the ten requests has the class "pay". For the
// first 8 s, s0 and s1 answer "pay" requests with errors. Returns the number of failed "pay" requests, and
// the number of "pay" requests that are sent to s0 in the following 8 s.
std::pair<int, int> SendWithErrorsOfOneClass() {
  FakeGateway gateway;
  gateway.AddEndpoints(4);
  gateway.ServeRequests(200, 10);
  int failed = 0;
  int sent_after_recovery = 0;
  for (int round = 0; round < 800; ++round) {
    std::map<std::string, std::string> sent;
    for (int i = 0; i < 10; ++i) {
      const std::string id = (i == 0 ? "pay" : "view") + std::to_string(round) + "." + std::to_string(i);
      if (const std::string endpoint =
              FakeGateway::SentEndpoint(gateway.SendRequest(id, i == 0 ? "pay" : "view"));
          !endpoint.empty()) {
        sent[id] = endpoint;
      }
    }
    gateway.AdvanceTime(20);
    for (const auto& [id, endpoint] : sent) {
      const bool is_payment = id[0] == 'p';
      const bool fails = is_payment && round < 400 && endpoint < "s2";
      failed += fails;
      sent_after_recovery += is_payment && round >= 400 && endpoint == "s0";
      gateway.FinishAttempt(id, endpoint, fails ? AttemptResult::kError : AttemptResult::kServed, 20);
    }
  }
  return {failed, sent_after_recovery};
}

TEST(OutlierDetectionTest, AvoidsEndpointsThatFailOneClassUntilTheyRecover) {
  const auto [failed, sent_after_recovery] = SendWithErrorsOfOneClass();
  EXPECT_LE(failed, 20);  // of 400 "pay" requests in the first 8 s
  EXPECT_GE(sent_after_recovery, 40);
}

TEST(OutlierDetectionTest, SendsRequestsOfClassThatFailsAtAllEndpoints) {
  FakeGateway gateway;
  gateway.AddEndpoints(4);
  std::set<std::string> failed;
  for (int i = 0; i < 5; ++i) {
    gateway.ServeRequests(30, 1);  // responses of another class prevent ejections
    const std::string id = "pay" + std::to_string(i);
    const std::string endpoint = FakeGateway::SentEndpoint(gateway.SendRequest(id, "pay"));
    ASSERT_NE(endpoint, "") << i;
    // The first four requests go to different endpoints, since an endpoint is avoided for 300 ms after an
    // error. The fifth request is sent although all endpoints are avoided.
    EXPECT_EQ(failed.insert(endpoint).second, i < 4) << i;
    gateway.FinishAttempt(id, endpoint, AttemptResult::kError, 1);
  }
}

// Client requests serve as probes of ejected endpoints. Only a few requests may be used as probes, and the
// timeout of a probe must leave time for a retry at another endpoint. If the only endpoint is ejected, it
// must be probed until it recovers.
TEST(OutlierDetectionTest, ProbesUseFewRequestsAndLeaveTimeForARetry) {
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
      long_probes += fails && gateway.sent.back().timeout > 500;  // the latency objective is 1000 ms
    }
    gateway.FinishAttempt(id, endpoint, fails && i % 4 ? AttemptResult::kError : AttemptResult::kServed, 66);
  }
  EXPECT_GT(probed, 2);
  EXPECT_LT(probed, 0.08 * sent);
  EXPECT_LT(long_probes, probed / 2);

  // A single endpoint fails four times and then recovers.
  settings.max_attempts = 1;
  settings.gateway_count = 1;
  FakeGateway single_endpoint_gateway(settings);
  single_endpoint_gateway.AddEndpoints(1);
  std::size_t finished = 0;
  for (int i = 0; i < 64; ++i) {
    single_endpoint_gateway.SendRequest("r" + std::to_string(i));
    single_endpoint_gateway.AdvanceTime(300);
    for (; finished < single_endpoint_gateway.sent.size(); ++finished) {
      single_endpoint_gateway.FinishAttempt(single_endpoint_gateway.sent[finished].request, "s0",
                                            finished < 4 ? AttemptResult::kError : AttemptResult::kServed,
                                            100);
    }
  }
  EXPECT_GT(finished, 45);
}

// If a zone fails, the gateway must avoid all endpoints of the zone without failed attempts at each of them.
// Once three endpoints of the zone are unresponsive, the gateway avoids the zone until a probe is served.
TEST(OutlierDetectionTest, AvoidsUnresponsiveZoneUntilAProbeIsServed) {
  Settings settings = MakeSettings();
  settings.gateway_count = 30;
  settings.max_attempts = 1;
  auto endpoints = MakeEndpoints(60);
  for (int i = 0; i < 60; ++i) endpoints[i].zone = "z" + std::to_string(i % 3);
  // Numbers of attempts sent to zone 1 before, during and after its outage.
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
  // Each of the 10 gateways sends up to 3 failed attempts until it avoids the zone, and then up to 5 probes.
  // Ejecting each of 8 endpoints separately would take 16 failed attempts.
  EXPECT_LT(during, 10 * 9);
  EXPECT_GT(after, 10 * 15);  // after a served probe, the gateways use the zone again
}

// An attempt is recorded as served when its response starts. If the connection breaks while the response is
// streamed, the attempt must still count as a failure of the endpoint.
TEST(OutlierDetectionTest, EjectsEndpointWhoseResponsesAreInterrupted) {
  FakeGateway gateway;
  gateway.AddEndpoints(2);
  gateway.ServeRequests(100, 50);
  for (int i = 0; i < 200 && gateway.policy.EjectedEndpointCount() == 0; ++i) {
    const std::string id = "r" + std::to_string(i);
    const std::string endpoint = FakeGateway::SentEndpoint(gateway.SendRequest(id));
    gateway.AdvanceTime(50);
    gateway.Handle(ResponseStarted{id, 0});
    gateway.AdvanceTime(1500);  // no other attempt is served during this time
    gateway.Handle(AttemptOutcome{id, 0, endpoint, AttemptResult::kReset, true, 1550, {}});
  }
  EXPECT_GT(gateway.policy.EjectedEndpointCount(), 0u);
}

TEST(OutlierDetectionTest, EjectsAboveFailureRateOf30PercentAndDoublesProbeBackoff) {
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
