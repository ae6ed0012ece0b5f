// Checks invariants of a Policy under random events. The checks use no code of the Policy. Each request gets
// one answer in time. No request can be executed more often than its idempotency allows. Attempts are sent
// only to endpoints that are up. The number of attempts does not exceed Settings::max_attempts.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <map>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "fake_gateway.hpp"

namespace gateway::policy::testing {
namespace {

constexpr Millis kAnswerToleranceMs = 20;  // maximum time from the client's timeout to the answer

// An attempt as recorded by the test.
struct SentAttempt {
  std::string endpoint;
  Millis sent_at = 0;
  Millis times_out_at = 0;
  bool in_flight = true;
  bool not_executed = false;  // the outcome proves that the endpoint has not executed the attempt

  bool IsProvenNotExecuted() const { return !in_flight && not_executed; }
};

// A request as recorded by the test.
struct ClientRequest {
  const TrafficClassSettings* traffic_class = nullptr;
  Millis deadline_at = 0;
  std::vector<SentAttempt> attempts;
  bool answered = false;

  bool HasAttemptInFlight() const {
    return std::ranges::any_of(attempts, [](const SentAttempt& attempt) { return attempt.in_flight; });
  }
};

// Checks each action of the policy against the requests and endpoints that were reported to the policy.
class InvariantChecker {
 public:
  explicit InvariantChecker(const Settings& settings) : settings_(settings) {}

  void ReportEndpoint(const EndpointInfo& endpoint) { endpoints_[endpoint.id] = endpoint; }

  void Check(Millis now, const std::vector<Action>& actions) {
    for (const Action& action : actions) {
      if (const auto* send = std::get_if<Send>(&action)) CheckSend(now, *send);
      if (const auto* reject = std::get_if<Reject>(&action)) CheckAnswer(now, reject->request, true);
      if (const auto* fail = std::get_if<Fail>(&action)) CheckAnswer(now, fail->request, false);
    }
  }

  void CheckAnsweredInTime(Millis now) const {
    for (const auto& [id, request] : requests) {
      ASSERT_TRUE(request.answered || now <= request.deadline_at + kAnswerToleranceMs)
          << "request was not answered in time: " << id;
    }
  }

  void EraseFinishedRequests() {
    std::erase_if(requests, [](const auto& entry) {
      return entry.second.answered && !entry.second.HasAttemptInFlight();
    });
  }

  std::map<std::string, ClientRequest> requests;

 private:
  bool IsUp(const std::string& id) const {
    const auto found = endpoints_.find(id);
    return found != endpoints_.end() && found->second.state == EndpointState::kUp;
  }

  void CheckSend(Millis now, const Send& send) {
    ClientRequest& request = requests.at(send.request);
    ASSERT_FALSE(request.answered) << "attempt sent after the final answer: " << send.request;
    ASSERT_TRUE(IsUp(send.endpoint)) << "attempt sent to an endpoint that is not up: " << send.endpoint;
    ASSERT_LT(static_cast<int>(request.attempts.size()), settings_.max_attempts) << send.request;
    for (const SentAttempt& attempt : request.attempts) {
      ASSERT_TRUE(!attempt.in_flight) << "request has two attempts in flight: " << send.request;
      if (request.traffic_class->idempotency == Idempotency::kNotIdempotent) {
        ASSERT_TRUE(attempt.IsProvenNotExecuted())
            << "request is not idempotent and was retried, but may have been executed: " << send.request;
      }
    }
    if (request.traffic_class->idempotency == Idempotency::kIdempotencyKey) {
      CheckRetryWithIdempotencyKey(now, request, send);
    }
    const Millis times_out_at = std::min(now + send.timeout, request.deadline_at);
    request.attempts.push_back({send.endpoint, now, times_out_at, true, false});
  }

  void CheckRetryWithIdempotencyKey(Millis now, const ClientRequest& request, const Send& send) {
    for (const SentAttempt& attempt : request.attempts) {
      if (attempt.not_executed) continue;
      ASSERT_EQ(endpoints_.at(attempt.endpoint).cell, endpoints_.at(send.endpoint).cell)
          << "retry outside the deduplication scope: " << send.request;
      ASSERT_LT(now - attempt.sent_at, request.traffic_class->deduplication_window)
          << "retry after the deduplication window: " << send.request;
    }
  }

  void CheckAnswer(Millis now, const std::string& id, bool rejected) {
    ClientRequest& request = requests.at(id);
    ASSERT_FALSE(request.answered) << "request was answered twice: " << id;
    ASSERT_LE(now, request.deadline_at + kAnswerToleranceMs) << "request was answered too late: " << id;
    if (rejected && request.traffic_class->idempotency != Idempotency::kIdempotent) {
      for (const SentAttempt& attempt : request.attempts) {
        ASSERT_TRUE(attempt.IsProvenNotExecuted())
            << "request was rejected, but may have been executed: " << id;
      }
    }
    request.answered = true;
  }

  const Settings& settings_;
  std::map<std::string, EndpointInfo> endpoints_;  // by id, as last reported to the policy
};

Settings MakeRandomSettings(std::mt19937_64& random, bool poll_endpoint_list) {
  Settings settings = MakeSettings();
  settings.poll_endpoint_list = poll_endpoint_list;
  settings.gateway_count = 1 + static_cast<int>(random() % 4);
  return settings;
}

// Runs a gateway with random requests, outcomes and endpoint changes.
class RandomRun {
 public:
  RandomRun(std::uint64_t seed, bool poll_endpoint_list)
      : random_(seed),
        settings_(MakeRandomSettings(random_, poll_endpoint_list)),
        gateway_(settings_, seed),
        checker_(settings_) {}

  void Run() {
    AddEndpoints();
    for (int step = 0; step < kSteps && !::testing::Test::HasFatalFailure(); ++step) {
      gateway_.now += kStepDurationMs;
      if (step % 500 == 0) failure_chance_ = Chance(0.5) ? 0.5 : 0.05;
      if (step % 2 == 0) Report(TimerFired{"sweep"});
      while (step < kLastRequestStep && Chance(0.4)) SendRandomRequest();
      if (Chance(0.01)) ChangeRandomEndpoint();
      if (Chance(0.002)) Report(EndpointListEvent{EndpointListEvent::Kind::kFailure, {}});
      for (const Event& event : DrawEvents()) {
        if (const auto* disconnected = std::get_if<ClientDisconnected>(&event)) {
          checker_.requests.at(disconnected->request).answered = true;
        }
        Report(event);
      }
      checker_.EraseFinishedRequests();
      checker_.CheckAnsweredInTime(gateway_.now);
    }
    EXPECT_GT(request_count_, 1000);
    EXPECT_TRUE(checker_.requests.empty())
        << checker_.requests.size() << " requests are unfinished at the end";
  }

 private:
  static constexpr int kSteps = 6000;
  static constexpr int kLastRequestStep = 5500;
  static constexpr Millis kStepDurationMs = 5;

  bool Chance(double probability) { return std::uniform_real_distribution<>(0, 1)(random_) < probability; }

  void Report(const Event& event) { checker_.Check(gateway_.now, gateway_.Handle(event)); }

  void ReportEndpoint(const EndpointInfo& endpoint) {
    endpoints_[endpoint.id] = endpoint;
    checker_.ReportEndpoint(endpoint);
    Report(EndpointListEvent{EndpointListEvent::Kind::kDelta, {endpoint}});
  }

  void AddEndpoints() {
    for (int i = 0; i < 6; ++i) {
      ReportEndpoint(MakeEndpoint("s" + std::to_string(i), std::to_string(i % 2)));
    }
  }

  void SendRandomRequest() {
    Request request;
    request.id = "q" + std::to_string(request_count_++);
    const TrafficClassSettings& traffic_class = settings_.classes[random_() % 3];
    request.class_name = traffic_class.name;
    request.time_left = 50 + static_cast<double>(random_() % 1950);
    checker_.requests[request.id] = {&traffic_class, gateway_.now + request.time_left, {}, false};
    Report(request);
  }

  // Drains, removes or restarts an endpoint.
  void ChangeRandomEndpoint() {
    const auto index = static_cast<long>(random_() % endpoints_.size());
    EndpointInfo endpoint = std::next(endpoints_.begin(), index)->second;
    const auto change = random_() % 4;
    endpoint.state = EndpointState::kUp;
    if (change == 0) endpoint.state = EndpointState::kDraining;
    if (change == 1) endpoint.state = EndpointState::kRemoved;
    if (change == 2) endpoint.started_at = gateway_.now;
    ReportEndpoint(endpoint);
  }

  // Randomly chooses the attempts that finish and the clients that disconnect in this step, and returns their
  // events.
  std::vector<Event> DrawEvents() {
    std::vector<Event> events;
    for (auto& [id, request] : checker_.requests) {
      for (std::size_t i = 0; i < request.attempts.size(); ++i) {
        const bool finished = FinishAttemptByChance(id, request, i, events);
        if (finished && request.answered) break;
      }
      if (!request.answered && Chance(0.0005)) events.push_back(ClientDisconnected{id});
    }
    return events;
  }

  // Randomly decides whether the attempt finishes in this step. If so, appends its outcome to `events` and
  // returns true.
  bool FinishAttemptByChance(const std::string& id, ClientRequest& request, std::size_t index,
                             std::vector<Event>& events) {
    SentAttempt& attempt = request.attempts[index];
    if (!attempt.in_flight) return false;
    AttemptOutcome outcome;
    outcome.request = id;
    outcome.attempt = static_cast<int>(index);
    outcome.endpoint = attempt.endpoint;
    outcome.request_finished = request.answered;
    outcome.latency = gateway_.now - attempt.sent_at;
    if (gateway_.now >= attempt.times_out_at) {
      outcome.result = AttemptResult::kTimedOut;
    } else if (!Chance(0.08)) {
      return false;
    } else if (Chance(failure_chance_)) {
      outcome.result = DrawFailure();
    }
    attempt.in_flight = false;
    attempt.not_executed = outcome.result == AttemptResult::kRejected ||
                           outcome.result == AttemptResult::kConnectFailed ||
                           outcome.result == AttemptResult::kNotSent;
    if (outcome.result == AttemptResult::kServed) {
      request.answered = true;
      outcome.request_finished = true;
    }
    events.push_back(outcome);
    return true;
  }

  AttemptResult DrawFailure() {
    constexpr AttemptResult kFailures[] = {AttemptResult::kError,         AttemptResult::kRejected,
                                           AttemptResult::kConnectFailed, AttemptResult::kReset,
                                           AttemptResult::kNotSent,       AttemptResult::kCancelled};
    return kFailures[random_() % std::size(kFailures)];
  }

  std::mt19937_64 random_;
  const Settings settings_;
  FakeGateway gateway_;
  InvariantChecker checker_;
  std::map<std::string, EndpointInfo> endpoints_;
  int request_count_ = 0;
  double failure_chance_ = 0.1;
};

TEST(PolicyInvariantsTest, HoldUnderRandomEvents) {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    SCOPED_TRACE(seed);
    RandomRun(seed, seed % 2 == 0).Run();
    if (HasFatalFailure()) return;
  }
}

}  // namespace
}  // namespace gateway::policy::testing
