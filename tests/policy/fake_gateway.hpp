// A gateway for tests: passes events to a Policy, owns the clock and records the sent attempts.
#ifndef GATEWAY_TESTS_POLICY_FAKE_GATEWAY_HPP_
#define GATEWAY_TESTS_POLICY_FAKE_GATEWAY_HPP_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "gateway/policy.hpp"

namespace gateway::policy::testing {

inline TrafficClassSettings MakeClass(std::string name, Idempotency idempotency = Idempotency::kIdempotent,
                                      double priority_weight = 1) {
  TrafficClassSettings traffic_class;
  traffic_class.name = std::move(name);
  traffic_class.latency_objective = 1000;
  traffic_class.deadline = 2000;
  traffic_class.priority_weight = priority_weight;
  traffic_class.idempotency = idempotency;
  traffic_class.deduplication_scope = DeduplicationScope::kCell;
  traffic_class.deduplication_window = 5000;
  return traffic_class;
}

// Returns settings with three classes: "view" (idempotent), "key" (requests with an idempotency key) and
// "pay" (not idempotent).
inline Settings MakeSettings() {
  Settings settings;
  settings.classes = {MakeClass("view"), MakeClass("key", Idempotency::kIdempotencyKey),
                      MakeClass("pay", Idempotency::kNotIdempotent)};
  settings.max_attempts = 3;
  settings.can_cancel_attempts = true;
  settings.warm_up_initial_fraction = 0.2;
  settings.warm_up_duration = 10000;
  return settings;
}

inline EndpointInfo MakeEndpoint(std::string id, std::string cell = "0", Millis started_at = 0) {
  EndpointInfo endpoint;
  endpoint.id = std::move(id);
  endpoint.zone = "z" + cell;
  endpoint.machine_type = "k";
  endpoint.cell = std::move(cell);
  endpoint.started_at = started_at;
  return endpoint;
}

// Returns endpoints with the ids s0, s1 ..., which started long ago.
inline std::vector<EndpointInfo> MakeEndpoints(int count) {
  std::vector<EndpointInfo> endpoints;
  endpoints.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) endpoints.push_back(MakeEndpoint("s" + std::to_string(i)));
  return endpoints;
}

// Drives a Policy with events and a simulated clock.
struct FakeGateway {
  explicit FakeGateway(Settings settings = MakeSettings(), std::uint64_t seed = 1)
      : policy(std::move(settings), seed) {}

  // Passes the event to the policy at time `now` and returns the resulting actions.
  std::vector<Action> Handle(const Event& event) {
    std::vector<Action> actions;
    policy.Handle(now, event, actions);
    for (const Action& action : actions) {
      if (const auto* send = std::get_if<Send>(&action)) sent.push_back(*send);
    }
    return actions;
  }

  // Reports a snapshot of the endpoint list.
  void ReplaceEndpoints(std::vector<EndpointInfo> endpoints) {
    Handle(EndpointListEvent{EndpointListEvent::Kind::kSnapshot, std::move(endpoints)});
  }

  // Reports a snapshot of `count` endpoints with the ids s0, s1 ..., which started long ago. Like any
  // snapshot, it replaces the earlier list.
  void AddEndpoints(int count) { ReplaceEndpoints(MakeEndpoints(count)); }

  // Reports the arrival of a client's request.
  std::vector<Action> SendRequest(std::string id, std::string class_name = "view", Millis time_left = 2000,
                                  std::string tenant = "") {
    Request request;
    request.id = std::move(id);
    request.class_name = std::move(class_name);
    request.tenant = std::move(tenant);
    request.time_left = time_left;
    return Handle(request);
  }

  // Reports the outcome of an attempt.
  std::vector<Action> FinishAttempt(const std::string& request, const std::string& endpoint,
                                    AttemptResult result, Millis latency, int attempt = 0) {
    const bool served = result == AttemptResult::kServed;
    return Handle(AttemptOutcome{request, attempt, endpoint, result, served, latency, {}});
  }

  // Advances the clock and fires the sweep timer every 10 ms. Returns all resulting actions.
  std::vector<Action> AdvanceTime(Millis duration) {
    constexpr Millis kSweepIntervalMs = 10;
    std::vector<Action> all;
    for (const Millis end = now + duration; now < end;) {
      now = std::min(end, now + kSweepIntervalMs);
      for (Action& action : Handle(TimerFired{"sweep"})) all.push_back(std::move(action));
    }
    return all;
  }

  // Serves `count` requests one after the other, each in `latency` ms, so that the estimates converge.
  // Returns the number of requests by endpoint id. The count for the empty id is the number of requests that
  // were not sent on arrival.
  std::map<std::string, int> ServeRequests(int count, Millis latency = 50,
                                           const std::string& class_name = "view") {
    std::map<std::string, int> sent_by_endpoint;
    for (int i = 0; i < count; ++i) {
      const std::string id = "warm" + std::to_string(served_requests++);
      const std::string endpoint = SentEndpoint(SendRequest(id, class_name));
      ++sent_by_endpoint[endpoint];
      now += latency;
      Handle(TimerFired{"sweep"});
      if (!endpoint.empty()) FinishAttempt(id, endpoint, AttemptResult::kServed, latency);
    }
    return sent_by_endpoint;
  }

  // Returns the endpoint id of the first Send among the actions, or "" if there is no Send.
  static std::string SentEndpoint(const std::vector<Action>& actions) {
    for (const Action& action : actions) {
      if (const auto* send = std::get_if<Send>(&action)) return send->endpoint;
    }
    return "";
  }

  // Returns whether the actions contain a log line that contains `text`.
  static bool HasLogLine(const std::vector<Action>& actions, const std::string& text) {
    return std::any_of(actions.begin(), actions.end(), [&](const Action& action) {
      const auto* log = std::get_if<LogLine>(&action);
      return log != nullptr && log->text.find(text) != std::string::npos;
    });
  }

  // Returns whether the actions contain a log line about a decrease of the admission rate.
  static bool DecreasedRate(const std::vector<Action>& actions) {
    return HasLogLine(actions, "admission rate decreased");
  }

  // Returns the number of actions of the given type.
  template <typename ActionType>
  static int CountActions(const std::vector<Action>& actions) {
    const auto count = std::count_if(actions.begin(), actions.end(), [](const Action& action) {
      return std::holds_alternative<ActionType>(action);
    });
    return static_cast<int>(count);
  }

  Policy policy;
  Millis now = 1000;
  int served_requests = 0;  // requests sent by ServeRequests, for unique ids
  std::vector<Send> sent;
};

}  // namespace gateway::policy::testing

#endif  // GATEWAY_TESTS_POLICY_FAKE_GATEWAY_HPP_
