// Simulates many gateways that share endpoints. Some of the endpoints restart. Slow start must bound the
// total number of attempts that all gateways send to a warming endpoint, regardless of the number of gateways
// and of the distribution of the traffic among them.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "fake_gateway.hpp"

namespace gateway::policy::testing {
namespace {

constexpr Millis kStepMs = 10;
constexpr double kCapacityPerMs = 0.04;  // requests per ms that a warm endpoint serves
constexpr Millis kLatencyMs = 60;
constexpr int kEndpointCount = 12;
constexpr int kRestartedCount = 4;  // number of endpoints that restart, all at the same time
constexpr Millis kFirstListAtMs = 1000;
constexpr Millis kRestartAtMs = 30000;
constexpr Millis kEndAtMs = kRestartAtMs + 12000;

// The parameters of a simulation.
struct Scenario {
  int gateways = 1;
  std::vector<double> share;                  // share of the traffic that each gateway receives
  double load = 0.7;                          // as a multiple of the capacity of all endpoints
  Millis maximum_notification_delay = 0;      // maximum time from the restart to the list update of a gateway
  bool gateways_start_before_restart = true;  // false: all gateways start when the endpoints restart
  bool traffic_shifts = false;                // traffic moves to other gateways at the restart
};

// The result of a simulation.
struct Measurement {
  // The largest ratio of all time windows, which must not exceed 1. The ratio of a window is the number of
  // attempts in the window divided by N + 2 sqrt(N) + 2, where N is the budget of the window. The terms after
  // N allow for random variation.
  double worst_ratio = 0;
  int sent_to_restarted = 0;
};

Settings MakeFleetSettings(int gateways) {
  Settings settings = MakeSettings();
  settings.gateway_count = gateways;
  settings.poll_endpoint_list = true;
  settings.overload_factor = 2.5;
  settings.warm_up_initial_fraction = 0.12;
  settings.warm_up_duration = 24000;
  return settings;
}

std::vector<EndpointInfo> MakeFleetEndpoints(Millis restarted_at) {
  std::vector<EndpointInfo> endpoints;
  endpoints.reserve(kEndpointCount);
  for (int i = 0; i < kEndpointCount; ++i) {
    endpoints.push_back(MakeEndpoint("s" + std::to_string(i), "0", i < kRestartedCount ? restarted_at : 0));
  }
  return endpoints;
}

// Simulates gateways that share the endpoints, and their clients.
class FleetSimulation {
 public:
  FleetSimulation(const Scenario& scenario, std::uint64_t seed)
      : scenario_(scenario), settings_(MakeFleetSettings(scenario.gateways)), random_(seed) {
    std::uniform_real_distribution<double> uniform(0, 1);
    for (settings_.gateway_index = 0; settings_.gateway_index < scenario_.gateways;
         ++settings_.gateway_index) {
      Member& member = members_.emplace_back();
      member.gateway = std::make_unique<FakeGateway>(settings_, random_());
      member.notified_at = kRestartAtMs + scenario_.maximum_notification_delay * uniform(random_);
    }
  }

  Measurement Run() {
    for (now_ = scenario_.gateways_start_before_restart ? kFirstListAtMs : kRestartAtMs; now_ < kEndAtMs;
         now_ += kStepMs) {
      for (Member& member : members_) UpdateList(member);
      FinishAttempts();
      for (std::size_t i = 0; i < members_.size(); ++i) SendRequests(i);
    }
    return Measure();
  }

 private:
  struct Member {
    std::unique_ptr<FakeGateway> gateway;
    Millis notified_at = 0;  // time at which the gateway's list shows the restart
    bool notified = false;
    std::map<std::string, int> attempts;  // number of attempts by request
  };
  struct AttemptInFlight {
    Millis finishes_at;
    Member* member;
    std::string request;
    std::string endpoint;
    int attempt;
  };

  void UpdateList(Member& member) {
    FakeGateway& gateway = *member.gateway;
    gateway.now = now_;
    if (now_ <= kFirstListAtMs) gateway.ReplaceEndpoints(MakeFleetEndpoints(0));
    if (!member.notified && now_ >= member.notified_at) {
      member.notified = true;
      gateway.ReplaceEndpoints(MakeFleetEndpoints(kRestartAtMs));
    }
    RecordSends(member, gateway.Handle(TimerFired{"sweep"}));
  }

  void FinishAttempts() {
    while (!in_flight_.empty() && in_flight_.front().finishes_at <= now_) {
      const AttemptInFlight finished = in_flight_.front();
      in_flight_.pop_front();
      RecordSends(*finished.member, finished.member->gateway->FinishAttempt(
                                        finished.request, finished.endpoint, AttemptResult::kServed,
                                        kLatencyMs, finished.attempt));
    }
  }

  void SendRequests(std::size_t index) {
    const bool shifted = scenario_.traffic_shifts && now_ >= kRestartAtMs;
    const double share = scenario_.share[shifted ? members_.size() - 1 - index : index];
    std::poisson_distribution<int> arrivals(scenario_.load * kEndpointCount * kCapacityPerMs * kStepMs *
                                            share);
    Member& member = members_[index];
    for (int remaining = arrivals(random_); remaining > 0; --remaining) {
      RecordSends(member, member.gateway->SendRequest("r" + std::to_string(request_count_++)));
    }
  }

  void RecordSends(Member& member, const std::vector<Action>& actions) {
    for (const Action& action : actions) {
      const auto* send = std::get_if<Send>(&action);
      if (send == nullptr) continue;
      const int endpoint = std::stoi(send->endpoint.substr(1));
      if (endpoint < kRestartedCount && now_ >= kRestartAtMs && member.notified) {
        sent_at_[static_cast<std::size_t>(endpoint)].push_back(now_);
      }
      const int attempt = member.attempts[send->request]++;
      in_flight_.push_back({now_ + kLatencyMs, &member, send->request, send->endpoint, attempt});
    }
  }

  Measurement Measure() const {
    Measurement measurement;
    for (const std::vector<Millis>& sent_at : sent_at_) {
      measurement.sent_to_restarted += static_cast<int>(sent_at.size());
      for (const Millis window : {1000.0, 3000.0}) {
        measurement.worst_ratio = std::max(measurement.worst_ratio, WorstRatio(sent_at, window));
      }
    }
    return measurement;
  }

  double WorstRatio(const std::vector<Millis>& sent_at, Millis window) const {
    double worst = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < sent_at.size(); ++last) {
      while (sent_at[first] <= sent_at[last] - window) ++first;
      const double budget = Budget(std::max(kRestartAtMs, sent_at[last] - window), sent_at[last] + kStepMs);
      worst = std::max(worst, static_cast<double>(last - first + 1) / (budget + 2 * std::sqrt(budget) + 2));
    }
    return worst;
  }

  // Returns the number of attempts at one endpoint that the settings allow in the window. Uses the warm-up
  // fraction in the middle of the window.
  double Budget(Millis begin, Millis end) const {
    const Millis age = (begin + end) / 2 - kRestartAtMs;
    const double fraction = settings_.warm_up_initial_fraction +
                            (1 - settings_.warm_up_initial_fraction) * age / settings_.warm_up_duration;
    return settings_.overload_factor * fraction * kCapacityPerMs * (end - begin);
  }

  const Scenario scenario_;
  Settings settings_;
  std::mt19937_64 random_;
  std::deque<Member> members_;  // a deque, since AttemptInFlight points to its elements
  Millis now_ = 0;
  int request_count_ = 0;
  std::deque<AttemptInFlight> in_flight_;  // ordered by finishes_at, since all attempts have the same latency
  std::vector<std::vector<Millis>> sent_at_ = std::vector<std::vector<Millis>>(kRestartedCount);
};

Measurement Simulate(const Scenario& scenario, std::uint64_t seed) {
  return FleetSimulation(scenario, seed).Run();
}

// Returns the share of the traffic of each gateway: equal shares, or shares proportional to 1, 1/2, 1/3 ...
std::vector<double> TrafficShares(int gateways, bool even) {
  std::vector<double> shares;
  double sum = 0;
  for (int i = 0; i < gateways; ++i) {
    shares.push_back(even ? 1 : 1.0 / (1 + i));
    sum += shares.back();
  }
  for (double& share : shares) share /= sum;
  return shares;
}

TEST(SlowStartFleetTest, BoundsTotalAttemptsOfAllGateways) {
  for (const int gateways : {1, 5, 20, 30}) {
    for (const bool even : {true, false}) {
      for (const double load : {0.4, 0.7, 1.2}) {
        for (const Millis notification_delay : {0.0, 1500.0}) {
          for (std::uint64_t seed = 1; seed <= 2; ++seed) {
            const Measurement measured =
                Simulate({gateways, TrafficShares(gateways, even), load, notification_delay}, seed);
            EXPECT_LE(measured.worst_ratio, 1)
                << gateways << " gateways, even shares " << even << ", load " << load << ", notified within "
                << notification_delay << " ms, seed " << seed;
            EXPECT_GT(measured.sent_to_restarted, 0);
          }
        }
      }
    }
  }
}

// When clients move to other gateways, these gateways have learned the service rates from less or more
// traffic than they now receive. The total number of attempts must stay bounded nevertheless.
TEST(SlowStartFleetTest, BoundsTotalAttemptsWhileTrafficShifts) {
  for (const int gateways : {5, 20, 30}) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
      const Scenario scenario = {gateways,
                                 TrafficShares(gateways, false),
                                 0.9,
                                 500,
                                 true,
                                 /*traffic_shifts=*/true};
      EXPECT_LE(Simulate(scenario, seed).worst_ratio, 1) << gateways << " gateways, seed " << seed;
    }
  }
}

// Gateways that start together with the endpoints have learned nothing about the endpoints. The total number
// of attempts must stay bounded nevertheless.
TEST(SlowStartFleetTest, BoundsTotalAttemptsWhenGatewaysStartWithTheEndpoints) {
  for (const int gateways : {1, 5, 20, 30}) {
    for (const bool even : {true, false}) {
      for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        const Scenario scenario = {gateways, TrafficShares(gateways, even), 0.7, 0,
                                   /*gateways_start_before_restart=*/false};
        EXPECT_LE(Simulate(scenario, seed).worst_ratio, 1)
            << gateways << " gateways, even shares " << even << ", seed " << seed;
      }
    }
  }
}

}  // namespace
}  // namespace gateway::policy::testing
