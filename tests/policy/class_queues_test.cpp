// Tests of the class queues: capacity, expiry, order and weighted scheduling.
#include "policy/class_queues.hpp"

#include <gtest/gtest.h>

#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "fake_gateway.hpp"

namespace gateway::policy::testing {
namespace {

TEST(ClassQueuesTest, RejectsRequestBeforeClientTimeoutWhenClassHasNoLatencySample) {
  for (const Millis time_left : {0.0, 1.0, 9.0, 21.0, 33.0, 456.6}) {
    FakeGateway gateway;  // has no endpoint, so that nothing can be sent
    int rejected = FakeGateway::CountActions<Reject>(gateway.SendRequest("a", "view", time_left));
    if (time_left > 0) rejected += FakeGateway::CountActions<Reject>(gateway.AdvanceTime(time_left));
    EXPECT_EQ(rejected, 1) << "time left: " << time_left << " ms";
  }
}

TEST(ClassQueuesTest, RejectsRequestAtItsDeadlineWhenQueuedAfterARequestWithALaterDeadline) {
  Settings settings = MakeSettings();
  settings.classes[0].late_weight = 0.5;
  FakeGateway gateway(settings);
  gateway.SendRequest("long", "view", 2000);
  gateway.SendRequest("short", "view", 100);
  EXPECT_EQ(FakeGateway::CountActions<Reject>(gateway.AdvanceTime(110)), 1);
}

TEST(ClassQueuesTest, RejectsRequestsWhenQueueIsFull) {
  FakeGateway gateway;
  int rejected = 0;
  for (int i = 0; i < 5000; ++i) {
    rejected += FakeGateway::CountActions<Reject>(gateway.SendRequest("r" + std::to_string(i)));
  }
  EXPECT_GT(rejected, 4000);
}

TEST(ClassQueuesTest, RejectsRequestQueuedLongerThanAQuarterOfItsLatencyObjective) {
  FakeGateway gateway;  // has no endpoint; the latency objective is 1000 ms
  gateway.SendRequest("a");
  EXPECT_EQ(FakeGateway::CountActions<Reject>(gateway.AdvanceTime(200)), 0);
  EXPECT_EQ(FakeGateway::CountActions<Reject>(gateway.AdvanceTime(70)), 1);
}

TEST(ClassQueuesTest, ReleasesClientRetryThatIsPastItsLatencyObjectiveLast) {
  Settings settings = MakeSettings();  // latency objective 1000 ms, deadline 2000 ms
  settings.classes[0].late_weight = 0.5;
  FakeGateway gateway(settings);
  gateway.SendRequest("first", "view", 2000);
  gateway.SendRequest("late", "view", 900);    // the client's first try was 1100 ms ago
  gateway.SendRequest("again", "view", 1500);  // the first try was 500 ms ago, within the latency objective
  gateway.SendRequest("new", "view", 2000);
  gateway.AddEndpoints(1);
  gateway.AdvanceTime(10);
  for (int i = 0; i < 40 && gateway.sent.size() < 4; ++i) {
    const std::string id = gateway.sent.back().request;
    gateway.now += 20;
    gateway.FinishAttempt(id, "s0", AttemptResult::kServed, 20);
  }
  ASSERT_EQ(gateway.sent.size(), 4u);
  EXPECT_EQ(gateway.sent[0].request, "first");
  EXPECT_EQ(gateway.sent[1].request, "again");
  EXPECT_EQ(gateway.sent[2].request, "new");
  EXPECT_EQ(gateway.sent[3].request, "late");
}

TEST(ClassQueuesTest, TreatsRequestsWithNearlyTheLongestTimeLeftAsFirstTries) {
  Settings settings = MakeSettings();
  settings.classes[0].late_weight = 0.5;
  FakeGateway gateway(settings);
  // All clients of this gateway have timeouts below the deadline of the class, which is 2000 ms.
  gateway.SendRequest("short", "view", 900);
  gateway.SendRequest("longer", "view", 902);
  gateway.SendRequest("late", "view", 500);  // a client's retry, with less than 95% of the longest time left
  gateway.SendRequest("last", "view", 898);
  gateway.AddEndpoints(1);
  gateway.AdvanceTime(10);
  for (int i = 0; i < 40 && gateway.sent.size() < 4; ++i) {
    gateway.now += 20;
    gateway.FinishAttempt(gateway.sent.back().request, "s0", AttemptResult::kServed, 20);
  }
  ASSERT_EQ(gateway.sent.size(), 4u);
  EXPECT_EQ(gateway.sent[2].request, "last");
  EXPECT_EQ(gateway.sent[3].request, "late");
}

// Fills one endpoint to its limit, queues requests of both classes and finishes one attempt at a time.
// Returns the number of released requests by the first three letters of their ids.
std::map<std::string, int> ReleasedByClass(Settings settings, int releases) {
  FakeGateway gateway(std::move(settings));
  gateway.AddEndpoints(1);
  std::vector<std::string> in_flight;
  for (int i = 0; i < 40; ++i) {
    const std::string id = "fill" + std::to_string(i);
    if (!FakeGateway::SentEndpoint(gateway.SendRequest(id)).empty()) in_flight.push_back(id);
  }
  for (int i = 0; i < 30; ++i) {
    gateway.SendRequest("view" + std::to_string(i), "view");
    gateway.SendRequest("pay" + std::to_string(i), "pay");
  }
  std::map<std::string, int> released;
  for (int i = 0; i < releases && !in_flight.empty(); ++i) {
    const std::string id = in_flight.front();
    in_flight.erase(in_flight.begin());
    for (const Action& action : gateway.FinishAttempt(id, "s0", AttemptResult::kServed, 10)) {
      if (const auto* send = std::get_if<Send>(&action)) {
        in_flight.push_back(send->request);
        released[send->request.substr(0, 3)]++;
      }
    }
  }
  return released;
}

TEST(ClassSchedulingTest, ReleasesBackloggedClassesInProportionToWeight) {
  Settings settings = MakeSettings();
  settings.classes = {MakeClass("view", Idempotency::kIdempotent, 1),
                      MakeClass("pay", Idempotency::kIdempotent, 3)};
  // The "fill" requests have the class "view" too. Some of them are queued before the other "view" requests.
  const auto released = ReleasedByClass(settings, 24);
  int view = 0;
  int pay = 0;
  for (const auto& [name, count] : released) (name == "pay" ? pay : view) += count;
  EXPECT_GE(view + pay, 20);
  EXPECT_NEAR(static_cast<double>(pay) / (view + pay), 0.75, 0.1);
}

TEST(ClassSchedulingTest, ReleasesTheOnlyBackloggedClassDespiteNegativeCredit) {
  Settings settings = MakeSettings();
  settings.classes = {MakeClass("view", Idempotency::kIdempotent, 1),
                      MakeClass("pay", Idempotency::kIdempotent, 99)};
  FakeGateway gateway(settings);
  gateway.AddEndpoints(1);
  std::vector<std::string> in_flight;
  int served = 0;
  for (int i = 0; i < 60; ++i) {
    if (!FakeGateway::SentEndpoint(gateway.SendRequest("r" + std::to_string(i))).empty()) {
      in_flight.push_back("r" + std::to_string(i));
    }
  }
  while (!in_flight.empty()) {
    const std::string id = in_flight.back();
    in_flight.pop_back();
    ++served;
    for (const Action& action : gateway.FinishAttempt(id, "s0", AttemptResult::kServed, 10)) {
      if (const auto* send = std::get_if<Send>(&action)) in_flight.push_back(send->request);
    }
  }
  EXPECT_GT(served, 30);
}

TEST(ClassQueuesTest, ReleasesRetriesFirstThenRequestsWithinQuotaThenBeyondQuota) {
  ClassQueues queues({MakeClass("view")});
  std::array<ActiveRequest, 4> requests;  // in the order in which they must be released
  for (const std::size_t i : {0, 2, 3}) requests[i].within_quota = false;
  for (const std::size_t i : {2, 3, 1}) queues.Push(requests[i]);
  queues.PushRetry(requests[0]);
  EXPECT_EQ(queues.LastBeyondQuota(0), &requests[3]);
  for (ActiveRequest& request : requests) {
    EXPECT_EQ(&queues.Next(0), &request);
    queues.Remove(request);
  }
}

TEST(ClassSchedulingTest, SelectsBackloggedClassesInTheRatioOfTheirWeights) {
  ClassQueues queues({MakeClass("view"), MakeClass("pay", Idempotency::kIdempotent, 3)});
  std::array<ActiveRequest, 2> requests;
  requests[1].class_index = 1;
  for (ActiveRequest& request : requests) queues.Push(request);
  EXPECT_EQ(queues.NextClass(ClassQueues::MaskOf(1)), 0u);
  for (const std::size_t expected : {1, 0, 1, 1, 1, 0, 1, 1}) {
    EXPECT_EQ(queues.NextClass(0), expected);
    queues.RecordRelease(expected);
  }
}

}  // namespace
}  // namespace gateway::policy::testing
