// The ramp of started servers holds for the sum of what all gateways send, however many they are and however
// unevenly clients come to them: in simulated time, with every send counted at the server.
#include <gtest/gtest.h>

#include <cmath>
#include <deque>
#include <memory>
#include <random>
#include <vector>

#include "fake_gateway.hpp"

namespace gateway::policy::testing {
namespace {

constexpr Millis kTick = 10;
constexpr double kBears = 0.04;  // requests/ms that a warm server can do
constexpr Millis kLatency = 60;
constexpr int kServers = 12, kRestarted = 4;  // the latter start cold, all at one moment

struct Play {
  int gateways = 1;
  std::vector<double> share;  // of all traffic, by gateway
  double load = 0.7;          // of what all servers can do
  Millis told_within = 0;     // the gateways hear of the start at times of their own
  bool knows = true;          // else all gateways start together with the cold servers
  bool shifts = false;        // the traffic goes to other gateways at the start
};

struct Ramp {
  double worst = 0;  // requests in a window over N + 2 sqrt(N) + 2, at most; 1 is the bound
  int sent = 0;      // to the started servers
};

Ramp Count(const Play& play, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::uniform_real_distribution<double> uniform(0, 1);
  Settings settings = MakeSettings();
  settings.gateway_count = play.gateways;
  settings.poll_endpoint_list = true;
  settings.overload_factor = 2.5;
  settings.warm_up_initial_fraction = 0.12;
  settings.warm_up_duration = 24000;
  const Millis start = 30000, end = start + 12000;
  std::vector<std::unique_ptr<Gateway>> all;
  std::vector<Millis> told_at;
  const auto list = [&](Millis started_at) {
    std::vector<EndpointInfo> servers;
    for (int i = 0; i < kServers; ++i)
      servers.push_back(MakeServer("s" + std::to_string(i), "0", i < kRestarted ? started_at : 0));
    return servers;
  };
  for (settings.gateway_index = 0; settings.gateway_index < play.gateways; ++settings.gateway_index) {
    all.push_back(std::make_unique<Gateway>(settings, random()));
    told_at.push_back(start + play.told_within * uniform(random));
  }
  struct Answer {
    Millis at;
    std::size_t gateway;
    std::string request, endpoint;
    int attempt;
  };
  std::deque<Answer> answers;  // in the order of their times: each takes as long
  std::vector<std::vector<Millis>> got(kRestarted);
  std::vector<std::map<std::string, int>> attempts(all.size());
  std::vector<bool> told(all.size());
  int requests = 0;
  for (Millis now = play.knows ? 1000 : start; now < end; now += kTick) {
    const auto take = [&](std::size_t g, const std::vector<Action>& actions) {
      for (const Action& action : actions) {
        const auto* send = std::get_if<Send>(&action);
        if (send == nullptr) continue;
        const int server = std::stoi(send->endpoint.substr(1));
        if (server < kRestarted && now >= start && told[g]) got[server].push_back(now);
        answers.push_back({now + kLatency, g, send->request, send->endpoint, attempts[g][send->request]++});
      }
    };
    for (std::size_t g = 0; g < all.size(); ++g) {
      Gateway& gateway = *all[g];
      gateway.now = now;
      if (now <= 1000) gateway.List(list(0));
      if (!told[g] && now >= told_at[g]) {
        told[g] = true;
        gateway.List(list(start));
      }
      take(g, gateway.Do(TimerFired{"sweep"}));
    }
    while (!answers.empty() && answers.front().at <= now) {
      const Answer answer = answers.front();
      answers.pop_front();
      take(answer.gateway, all[answer.gateway]->End(answer.request, answer.endpoint, AttemptResult::kServed,
                                                    kLatency, answer.attempt));
    }
    for (std::size_t g = 0; g < all.size(); ++g) {
      const std::size_t from = play.shifts && now >= start ? all.size() - 1 - g : g;
      std::poisson_distribution<int> arrivals(play.load * kServers * kBears * kTick * play.share[from]);
      for (int n = arrivals(random); n > 0; --n) take(g, all[g]->Ask("r" + std::to_string(requests++)));
    }
  }
  Ramp ramp;
  for (const std::vector<Millis>& sends : got) {
    ramp.sent += static_cast<int>(sends.size());
    for (const Millis window : {1000.0, 3000.0}) {
      std::size_t first = 0;
      for (std::size_t last = 0; last < sends.size(); ++last) {
        while (sends[first] <= sends[last] - window) ++first;
        // What the settings allow in the window: its warmth is that of its middle, but not before the start.
        const Millis begun = std::max(start, sends[last] - window);
        const Millis age = (begun + sends[last] + kTick) / 2 - start;
        const double warmth = settings.warm_up_initial_fraction +
                              (1 - settings.warm_up_initial_fraction) * age / settings.warm_up_duration;
        const double n = settings.overload_factor * warmth * kBears * (sends[last] + kTick - begun);
        ramp.worst = std::max(ramp.worst, static_cast<double>(last - first + 1) / (n + 2 * std::sqrt(n) + 2));
      }
    }
  }
  return ramp;
}

std::vector<double> Shares(int gateways, bool even) {
  std::vector<double> share(static_cast<std::size_t>(gateways));
  double sum = 0;
  for (int g = 0; g < gateways; ++g) sum += share[g] = even ? 1 : 1.0 / (1 + g);  // the first has the most
  for (double& s : share) s /= sum;
  return share;
}

TEST(SlowStart, HoldsForTheSumOfTheFleet) {
  for (const int gateways : {1, 5, 20, 30}) {
    for (const bool even : {true, false}) {
      for (const double load : {0.4, 0.7, 1.2}) {
        for (const Millis told_within : {0.0, 1500.0}) {
          for (std::uint64_t seed = 1; seed <= 2; ++seed) {
            const Ramp ramp = Count({gateways, Shares(gateways, even), load, told_within}, seed);
            EXPECT_LE(ramp.worst, 1) << gateways << " gateways, even " << even << ", load " << load
                                     << ", told within " << told_within << ", seed " << seed;
            EXPECT_GT(ramp.sent, 0);
          }
        }
      }
    }
  }
}

// The same while clients move to other gateways, which know the servers by other traffic.
TEST(SlowStart, HoldsWhileTrafficShifts) {
  for (const int gateways : {5, 20, 30}) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
      const Ramp ramp = Count({gateways, Shares(gateways, false), 0.9, 500, true, /*shifts=*/true}, seed);
      EXPECT_LE(ramp.worst, 1) << gateways << " gateways, seed " << seed;
    }
  }
}

// The same where all gateways start with the servers, and know nothing of any.
TEST(SlowStart, HoldsForGatewaysThatStartWithTheServers) {
  for (const int gateways : {1, 5, 20, 30}) {
    for (const bool even : {true, false}) {
      for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        const Ramp ramp = Count({gateways, Shares(gateways, even), 0.7, 0, /*knows=*/false}, seed);
        EXPECT_LE(ramp.worst, 1) << gateways << " gateways, even " << even << ", seed " << seed;
      }
    }
  }
}

}  // namespace
}  // namespace gateway::policy::testing
