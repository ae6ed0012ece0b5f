// Tests of the lab. The schedule, the host model, the rule checker, the figures and the file formats are
// tested without sockets. The emulated networks and the gatewayctl program are tested with real sockets and
// processes.
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <cmath>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "base/config_error.hpp"
#include "base/histogram.hpp"
#include "base/supervisor.hpp"
#include "lab/evaluation.hpp"
#include "lab/front_balancer.hpp"
#include "lab/host_model.hpp"
#include "lab/link.hpp"
#include "lab/peer_network.hpp"
#include "lab/recorder.hpp"
#include "lab/results.hpp"
#include "lab/rule_checker.hpp"
#include "lab/schedule.hpp"

namespace gateway::lab {
namespace {

const std::string kSmallExperiment = R"(name = "small"
baselines = ["random"]
[fleet]
gateways = 2
zones = ["a", "b"]
[[hosts]]
count = 4
[[classes]]
name = "look"
share = 0.8
work_ms = 20
[[classes]]
name = "pay"
share = 0.2
work_ms = 40
repeatable = false
)";

// Parses kSmallExperiment followed by `sections`.
Experiment ParseWithSections(const std::string& sections) {
  return ParseExperiment(kSmallExperiment + sections, "test.toml");
}

// Returns the fault timeline and all arrivals of the experiment, one per line.
std::string ScheduleText(const Experiment& experiment, std::uint64_t seed) {
  std::string text;
  for (const std::string& line : FaultTimeline(experiment)) text += line + "\n";
  Schedule schedule(experiment, seed);
  while (const auto arrival = schedule.Next()) text += arrival->ToText() + "\n";
  return text;
}

TEST(Schedule, RepeatsForTheSameSeedAndDiffersForAnotherSeed) {
  for (const std::string arrivals : {"poisson", "bursty"}) {
    const Experiment experiment =
        ParseWithSections("[traffic]\nrate = 200\nseconds = 20\narrivals = \"" + arrivals +
                          "\"\n[[faults]]\nwhat = \"kill\"\ngateway = \"1\"\nat_s = 3\nfor_s = 1\n");
    EXPECT_EQ(ScheduleText(experiment, 7), ScheduleText(experiment, 7));
    EXPECT_NE(ScheduleText(experiment, 7), ScheduleText(experiment, 8));
  }
}

TEST(Schedule, MatchesConfiguredRateSharesAndBurstiness) {
  struct Case {
    const char* arrivals;
    double dispersion;  // variance of the arrivals per second over their mean; 1 for a Poisson process
  };
  for (const Case& test_case : {Case{"poisson", 1}, Case{"bursty", 5}}) {
    const Experiment experiment = ParseWithSections(
        std::string("[traffic]\nrate = 500\nseconds = 400\nburst_factor = 3\narrivals = \"") +
        test_case.arrivals + "\"\n");
    Schedule schedule(experiment, 3);
    std::vector<double> arrivals_per_second(400);
    double count = 0, pay_count = 0, total_work = 0;
    while (const auto arrival = schedule.Next()) {
      ++count;
      pay_count += arrival->class_index;  // the index of class "pay" is 1
      total_work += arrival->work;
      ++arrivals_per_second[static_cast<std::size_t>(arrival->at / 1000)];
    }
    EXPECT_NEAR(count / 400, 500, test_case.dispersion * 10);
    EXPECT_NEAR(pay_count / count, 0.2, 0.01);
    EXPECT_NEAR(total_work / count, 24, 0.5);
    double variance = 0;
    for (const double arrivals : arrivals_per_second) {
      variance += (arrivals - count / 400) * (arrivals - count / 400) / 400;
    }
    EXPECT_GT(variance / 500, test_case.dispersion * 0.8) << test_case.arrivals;
    EXPECT_LT(variance / 500, test_case.dispersion == 1 ? 1.25 : 1000);
  }
}

TEST(Schedule, MultipliesRateOnlyDuringBurst) {
  const Experiment experiment = ParseWithSections(
      "[traffic]\nrate = 1000\nseconds = 30\n[[faults]]\nwhat = \"burst\"\nat_s = 10\nfor_s = 10\nsize = "
      "3\n");
  Schedule schedule(experiment, 1);
  double during_burst = 0, outside_burst = 0;
  while (const auto arrival = schedule.Next()) {
    ++(arrival->at >= 10000 && arrival->at < 20000 ? during_burst : outside_burst);
  }
  EXPECT_NEAR(during_burst, 30000, 800);
  EXPECT_NEAR(outside_burst, 20000, 700);
}

// Returns the mean wait in an M/M/c queue according to the Erlang C formula, in units of the mean service
// time. `load`: arrival rate as a share of the capacity of all servers.
double ErlangWait(int servers, double load) {
  const double offered_load = load * servers;
  double term = 1, sum = 1;
  for (int k = 1; k < servers; ++k) sum += term *= offered_load / k;
  const double last = term * offered_load / servers / (1 - load);
  return last / (sum + last) / (servers * (1 - load));
}

TEST(HostModel, MeanWaitMatchesErlangC) {
  for (const int cores : {1, 2, 4}) {
    for (const double load : {0.5, 0.8, 0.9}) {
      HostGroup group;
      group.cores = group.slots = cores;
      group.queue_capacity = 1 << 20;
      HostModel host(group, {}, std::nullopt);
      boost::random::mt19937_64 random(17);
      boost::random::exponential_distribution<double> gap(load * cores), work(1);
      // Busy periods are longer at a higher load, so the mean wait needs more jobs to converge.
      const HostModel::Job count = load < 0.6 ? 100000 : load < 0.85 ? 300000 : 700000;
      std::unordered_map<HostModel::Job, Millis> submitted_at;
      std::vector<HostModel::Event> events;
      double now = 0, total_wait = 0, started_jobs = 0;
      const auto advance_to = [&](Millis until) {  // advances to the time of each event in turn, like a timer
        while (host.NextEventAt() && *host.NextEventAt() <= until) {
          const Millis at = *host.NextEventAt();
          events.clear();
          host.Advance(at, events);
          for (const auto& event : events) {
            if (event.kind != HostModel::EventKind::kStarted) continue;
            total_wait += at - submitted_at[event.job];
            ++started_jobs;
            submitted_at.erase(event.job);
          }
        }
      };
      for (HostModel::Job job = 1; job <= count; ++job) {
        now += gap(random);
        advance_to(now);
        submitted_at[job] = now;
        host.Submit(now, job, work(random), 1e12);
        advance_to(now);
      }
      EXPECT_NEAR(total_wait / started_jobs / ErlangWait(cores, load), 1, 0.05)
          << cores << " cores at a load of " << load;
    }
  }
}

TEST(HostModel, SharesCoresAndRejectsWhenQueueIsFull) {
  HostGroup group;
  group.slots = 2;
  group.queue_capacity = 1;
  HostModel host(group, {}, std::nullopt);
  EXPECT_EQ(host.Submit(0, 1, 10, 1000), HostModel::Admission::kStarted);
  EXPECT_EQ(host.Submit(0, 2, 20, 1000), HostModel::Admission::kStarted);
  EXPECT_EQ(host.Submit(0, 3, 10, 25), HostModel::Admission::kQueued);
  EXPECT_EQ(host.Submit(0, 4, 10, 1000), HostModel::Admission::kRejected);
  std::vector<HostModel::Event> events;
  host.Advance(100, events);
  std::vector<std::pair<HostModel::Job, HostModel::EventKind>> ends;
  for (const auto& event : events) {
    if (event.kind != HostModel::EventKind::kStarted) ends.emplace_back(event.job, event.kind);
  }
  using Kind = HostModel::EventKind;
  // All times are in ms. Jobs 1 and 2 share the core until job 1 finishes its 10 ms of work at 20. Job 3 then
  // starts, and expires at 25. Job 2 has 7.5 ms of work left at 25 and finishes at 32.5.
  EXPECT_EQ(ends, (std::vector<std::pair<HostModel::Job, Kind>>{
                      {1, Kind::kFinished}, {3, Kind::kExpired}, {2, Kind::kFinished}}));
}

TEST(HostModel, CapacityRisesLinearlyInWarmUpAndTooMuchWorkOverloadsHost) {
  HostGroup group;
  group.slots = 1000;
  const HostWarmUp warm_up{0.2, 10000, 2.5, 3000};
  HostModel host(group, {0.2, 10000, 1e9, 3000}, 0.0);
  std::vector<HostModel::Event> events;
  host.Submit(0, 1, 6000, 1e9);  // the work in ms that the host does in its warm-up of 10 s
  host.Advance(0, events);
  EXPECT_NEAR(*host.NextEventAt(), 10000, 0.01);
  struct Case {
    double share;  // received work, as a share of the limit for a host that has just started
    bool overloads;
  };
  for (const Case& test_case : {Case{0.9, false}, Case{1.3, true}}) {
    HostModel cold_host(group, warm_up, 0.0);
    const double work_limit = 2.5 * 0.2 * 3000;
    for (int i = 0; i < 10; ++i)
      cold_host.Submit(i, static_cast<HostModel::Job>(i), test_case.share * work_limit / 10, 1e9);
    EXPECT_EQ(cold_host.overloaded(), test_case.overloads) << test_case.share;
  }
}

// Each request must end exactly once, for random sequences of submissions, cancellations and speed changes. A
// model whose queue, slots and expiries are inconsistent would end a request twice or never.
TEST(HostModel, EndsEachRequestExactlyOnce) {
  for (unsigned seed = 1; seed <= 50; ++seed) {
    boost::random::mt19937_64 random(seed);
    const auto draw = [&](int maximum) {
      return boost::random::uniform_int_distribution<int>(0, maximum)(random);
    };
    HostGroup group;
    group.cores = 1 + draw(3);
    group.slots = 1 + draw(8);
    group.queue_capacity = draw(10);
    group.thrash_factor = draw(1) * 0.05;
    HostModel host(group, {}, draw(1) ? std::optional<Millis>(0) : std::nullopt);
    std::map<HostModel::Job, int> open_jobs;
    std::vector<HostModel::Event> events;
    Millis now = 0;
    for (HostModel::Job job = 1; job <= 2000; ++job) {
      now += draw(20);
      events.clear();
      host.Advance(now, events);
      for (const auto& event : events) {
        if (event.kind == HostModel::EventKind::kStarted) continue;
        EXPECT_EQ(open_jobs.erase(event.job), 1U) << "seed " << seed;
      }
      if (!open_jobs.empty() && draw(9) == 0) {
        host.Cancel(now, open_jobs.begin()->first);
        open_jobs.erase(open_jobs.begin());
      }
      if (draw(99) == 0) host.SetSpeed(now, 0.1 + draw(10));
      if (host.Submit(now, job, 1 + draw(60), now + draw(500)) != HostModel::Admission::kRejected)
        open_jobs[job] = 1;
    }
    events.clear();
    host.Advance(now + 1e6, events);
    for (const auto& event : events) {
      if (event.kind != HostModel::EventKind::kStarted) open_jobs.erase(event.job);
    }
    EXPECT_TRUE(open_jobs.empty()) << "seed " << seed;
    EXPECT_EQ(host.active_jobs(), 0U) << "seed " << seed;
  }
}

TEST(RuleChecker, CountsOnlyTheViolatedRule) {
  struct Case {
    const char* rule;
    std::function<void(RuleChecker&)> violation;
  };
  const std::vector<Case> cases{
      {"ran_twice",
       [](RuleChecker& rules) {
         rules.OnRequestSent(0, "p", false, 1), rules.OnExecution("p"), rules.OnExecution("p");
       }},
      {"attempts_over",
       [](RuleChecker& rules) {
         for (int i = 0; i < 3; ++i) rules.OnAttempt(i, "s", -1);
       }},
      {"unknown", [](RuleChecker& rules) { rules.OnAttempt(0, "nobody", -1); }},
      {"late_sends", [](RuleChecker& rules) { rules.OnAttempt(1000, "s", 400); }},
      {"cold_falls", [](RuleChecker& rules) { rules.OnHostOverloaded("host 1"); }},
      {"forged", [](RuleChecker& rules) { rules.OnResponse("s", "made up"); }},
      {"lost", [](RuleChecker& rules) { rules.OnRequestLost("s", "never answered"); }},
      {"crashed", [](RuleChecker& rules) { rules.OnGatewayCrashed("gateway 0"); }},
  };
  for (const Case& test_case : cases) {
    RuleChecker rules(3, 500);
    rules.SetSeed(5);
    rules.OnRequestSent(0, "s", true, 1);
    rules.OnExecution("s");
    rules.OnExecution("s");  // allowed: the request is idempotent
    rules.OnAttempt(900, "s", 400);
    rules.OnResponse("s", RuleChecker::ResponseMark("s", 5));
    for (const auto& [name, count] : rules.violations().ByName()) EXPECT_EQ(count, 0U) << name;
    test_case.violation(rules);
    for (const auto& [name, count] : rules.violations().ByName())
      EXPECT_EQ(count, name == test_case.rule ? 1U : 0U) << name;
    ASSERT_EQ(rules.examples().size(), 1U);
    EXPECT_EQ(rules.examples()[0].rfind(test_case.rule, 0), 0U) << rules.examples()[0];
  }
}

TEST(FrontBalancerView, SendsNoNewConnectionsAfterDrainDelayOrDetectionDelay) {
  using Probe = FrontBalancerView::Probe;
  FrontBalancerView view(1500);
  EXPECT_FALSE(view.SendsConnections(0));
  view.OnProbe(0, Probe::kReady);
  EXPECT_TRUE(view.SendsConnections(10));
  view.OnProbe(100, Probe::kNotReady);
  EXPECT_TRUE(view.SendsConnections(250));
  EXPECT_FALSE(view.SendsConnections(301));
  view.OnProbe(400, Probe::kReady);
  view.OnProbe(500, Probe::kNoAnswer);
  view.OnProbe(1500, Probe::kNoAnswer);
  EXPECT_TRUE(view.SendsConnections(1999));
  EXPECT_FALSE(view.SendsConnections(2001));
}

TEST(Recorder, ReportsRecoveryTimeAfterFault) {
  const Experiment experiment = ParseWithSections(
      "[traffic]\nrate = 100\nseconds = 20\nwarm_up_s = 1\n[[faults]]\nwhat = \"kill\"\ngateway = "
      "\"0\"\nat_s = 8\n");
  Recorder recorder(experiment);
  Arrival arrival;
  for (; arrival.at < 20000; arrival.at += 10) {
    recorder.OnArrival(arrival, 0);
    const bool failed = arrival.at >= 8000 && arrival.at < 9500;
    recorder.OnRequestEnd(arrival, failed ? RequestResult::kFailed : RequestResult::kInObjective, 50);
  }
  RunResult run;
  recorder.WriteTo(run);
  EXPECT_NEAR(run.figures["recovery_s/1"], 1.5, 0.11);
  EXPECT_NEAR(run.figures["missed_in_aim/1"], 150, 1);
  EXPECT_NEAR(run.figures["p99_ms"], 50, 2);
  EXPECT_FALSE(run.figures.contains("p999_ms/pay"));  // no percentiles, because "pay" had no requests
}

TEST(Histogram, QuantileDiffersFromExactValueByAtMostOnePartIn32) {
  boost::random::mt19937_64 random(2);
  for (const double mean : {3.0, 4e3, 5e7}) {
    base::Histogram histogram;
    std::vector<std::uint64_t> values;
    for (int i = 0; i < 20000; ++i) {
      values.push_back(
          static_cast<std::uint64_t>(boost::random::exponential_distribution<double>(1 / mean)(random)));
      histogram.Add(values.back());
    }
    std::sort(values.begin(), values.end());
    for (const double share : {0.01, 0.5, 0.99, 0.9999}) {
      const auto exact = static_cast<double>(values[static_cast<std::size_t>(share * 20000) - 1]);
      EXPECT_NEAR(static_cast<double>(histogram.Quantile(share)), exact, exact / 32 + 0.5)
          << "mean " << mean << ", quantile " << share;
    }
  }
  EXPECT_EQ(base::Histogram().Quantile(0.5), 0U);
  EXPECT_FALSE(base::Histogram().SupportsQuantile(0.5));
}

TEST(ExperimentFile, RejectsInvalidContentAndNamesKeyAndProblem) {
  const std::string traffic = "[traffic]\nrate = 10\nseconds = 5\n";
  struct Case {
    std::string text, expected_error;
  };
  const std::vector<Case> cases{
      {kSmallExperiment + "[traffic]\nrate = 10\nsecond = 5\n",
       "test.toml:19:1: unknown key 'second', did you mean 'seconds'?"},
      {kSmallExperiment, "traffic: missing"},
      {kSmallExperiment + "[traffic]\nrate = \"many\"\nseconds = 5\n",
       "test.toml:18:8: rate: must be a number"},
      {kSmallExperiment + "[traffic]\nrate = -1\nseconds = 5\n", "is out of range"},
      {kSmallExperiment + "[traffic]\nrate = 1\nload = 0.5\nseconds = 5\n", "give either 'rate' or 'load'"},
      {kSmallExperiment + traffic + "[[faults]]\nwhat = \"kil\"\nat_s = 1\n", "did you mean 'kill'?"},
      {kSmallExperiment + traffic + "[[faults]]\nwhat = \"kill\"\nat_s = 1\ngateway = \"2\"\n",
       "'2' is not within 0 to 1"},
      {kSmallExperiment + traffic + "[[faults]]\nwhat = \"slow_host\"\nat_s = 1\nhost = \"x\"\n",
       "'x' is neither a number N nor a range N-M"},
      {kSmallExperiment + traffic + "[[bounds]]\nfigure = \"godput\"\nleast = 1\n",
       "did you mean 'goodput'?"},
      {kSmallExperiment + traffic + "[[bounds]]\nfigure = \"goodput\"\n",
       "the bound needs 'least' or 'most'"},
      {kSmallExperiment + traffic + "[[bounds]]\nfigure = \"goodput\"\nleast = 1\nover = \"direct\"\n",
       "is not one of"},
      {"name = \n", "test.toml:1:"},
  };
  for (const Case& test_case : cases) {
    try {
      ParseExperiment(test_case.text, "test.toml");
      ADD_FAILURE() << "the experiment was accepted; expected error: " << test_case.expected_error;
    } catch (const base::ConfigError& error) {
      EXPECT_NE(std::string(error.what()).find(test_case.expected_error), std::string::npos)
          << error.what() << "\n  does not contain: " << test_case.expected_error;
    }
  }
  EXPECT_EQ(ParseExperiment(kSmallExperiment + traffic, "test.toml").HostCount(), 4);
}

TEST(Results, RoundTripThroughJsonAndAreEvaluated) {
  Experiment experiment = ParseWithSections(
      "[traffic]\nrate = 10\nseconds = 5\n[[bounds]]\nfigure = \"goodput\"\nover = \"random\"\nleast = 1.1\n"
      "[[bounds]]\nfigure = \"p99_ms\"\nmost = 5\nspeed = true\n");
  Results results{"small", "about", {}};
  for (const auto& [variant, goodput] : {std::pair{"gateway", 0.9}, {"random", 0.8}}) {
    RunResult run;
    run.variant = variant;
    run.seed = 4;
    run.figures = {{"goodput", goodput}, {"p99_ms", 9}, {"lateness_p99_ms", 20}, {"lost", 0}};
    run.windows.push_back({0, 10, 9, 0, 1, 0, 1.5, 2.5});
    run.events.emplace_back(12.5, "kill");
    results.runs.push_back(run);
  }
  const Results parsed = ResultsFromJson(ToJson(results), "x");
  EXPECT_EQ(ToJson(parsed), ToJson(results));
  using Kind = Verdict::Kind;
  const auto kinds = [&] {
    std::vector<Kind> verdict_kinds;
    for (const Verdict& verdict : Evaluate(experiment, results)) verdict_kinds.push_back(verdict.kind);
    return verdict_kinds;
  };
  // No rule is violated. The ratio of the goodputs, 0.9 / 0.8, is above its minimum of 1.1. The latency of 9
  // ms is above its maximum of 5 ms. This violation is inconclusive, because the p99 lateness of the lab, 20
  // ms, is above its limit of 5 ms.
  EXPECT_EQ(kinds(), (std::vector<Kind>{Kind::kPassed, Kind::kPassed, Kind::kInconclusive}));
  results.runs[0].figures["lost"] = 1;
  results.runs[0].figures["lateness_p99_ms"] = 1;
  EXPECT_EQ(kinds(), (std::vector<Kind>{Kind::kViolated, Kind::kPassed, Kind::kViolated}));
  results.runs[0].failure = "gateway 0 is not ready";
  EXPECT_EQ(kinds()[0], Kind::kViolated);
  EXPECT_THROW(ResultsFromJson("{}", "x"), std::runtime_error);
}

// A link without delay delivers messages synchronously. A link with delay and jitter delivers each message
// after at least the delay. A cut of one direction queues only the messages in that direction.
TEST(Link, AppliesDelayJitterAndCutsPerDirection) {
  boost::asio::io_context io;
  Link link(io, 3);
  std::vector<std::string> delivered;
  const auto send = [&](Link::Direction direction, const char* message) {
    link.Transmit(direction, [&delivered, message] { delivered.push_back(message); });
  };
  const auto run_for = [&](int ms) {
    io.run_for(std::chrono::milliseconds(ms));
    io.restart();
  };
  send(Link::Direction::kFromGateway, "at once");
  EXPECT_EQ(delivered.size(), 1U);
  link.AddDelay(20, 30);
  std::vector<Millis> delays;
  for (int i = 0; i < 50; ++i) {
    link.Transmit(Link::Direction::kFromGateway,
                  [&delays, sent = MonotonicNow()] { delays.push_back(MonotonicNow() - sent); });
  }
  run_for(150);
  ASSERT_EQ(delays.size(), 50U);
  EXPECT_GE(*std::min_element(delays.begin(), delays.end()), 20);
  EXPECT_GT(*std::max_element(delays.begin(), delays.end()) - *std::min_element(delays.begin(), delays.end()),
            10);
  link.AddDelay(-20, -30);
  link.Cut(true, false);
  send(Link::Direction::kFromGateway, "request");
  send(Link::Direction::kToGateway, "response");
  EXPECT_EQ(delivered.back(), "response");
  link.Cut(true, true);
  link.Heal(true, true);
  EXPECT_EQ(delivered.back(), "response");  // the first cut is still active
  link.Heal(true, false);
  EXPECT_EQ(delivered.back(), "request");
}

// Sends datagrams from one gateway to another. On a network without impairments all datagrams arrive in
// order. Loss, duplication and reordering occur at their configured rates. No datagram passes a cut. No
// datagram above the size limit arrives.
TEST(PeerNetwork, AppliesLossDuplicationReorderingCutsAndSizeLimit) {
  namespace asio = boost::asio;
  asio::io_context io;
  const Addresses addresses(io), addresses_of_other_run(io);  // two concurrent runs
  EXPECT_NE(addresses.Gateway(0), addresses_of_other_run.Gateway(0));
  PeerNetwork network(io, addresses, 2, 5);
  const auto to_udp = [](const Addresses::Endpoint& endpoint) {
    return asio::ip::udp::endpoint(endpoint.address(), endpoint.port());
  };
  asio::ip::udp::socket sender(io, to_udp(addresses.PeerListen(0)));
  asio::ip::udp::socket receiver(io, to_udp(addresses.PeerListen(1)));
  receiver.non_blocking(true);
  const auto exchange = [&](const std::string& padding) {
    std::vector<int> received;
    for (int i = 0; i < 400; ++i) {
      sender.send_to(asio::buffer(std::to_string(i) + padding), to_udp(addresses.Peer(0, 1)));
      io.run_for(std::chrono::milliseconds(i == 399 ? 60 : 1));
      io.restart();
      char text[600];
      asio::ip::udp::endpoint from;
      boost::system::error_code ec;
      while (receiver.receive_from(asio::buffer(text), from, 0, ec) > 0 && !ec) {
        received.push_back(std::atoi(text));
        // The source address is the address at which the receiver reaches the sender.
        EXPECT_EQ(from, to_udp(addresses.Peer(1, 0)));
      }
    }
    return received;
  };
  const std::vector<int> unimpaired = exchange(" ");
  EXPECT_EQ(unimpaired.size(), 400U);
  EXPECT_TRUE(std::is_sorted(unimpaired.begin(), unimpaired.end()));
  network.SetConditions(1, {0.3, 0, 0, 0});
  EXPECT_NEAR(static_cast<double>(exchange(" ").size()), 280, 40);
  network.SetConditions(1, {0, 0.5, 0, 0});
  EXPECT_NEAR(static_cast<double>(exchange(" ").size()), 600, 45);
  network.SetConditions(1, {0, 0, 0.5, 0});
  const std::vector<int> reordered = exchange(" ");
  EXPECT_EQ(reordered.size(), 400U);
  EXPECT_FALSE(std::is_sorted(reordered.begin(), reordered.end()));
  network.SetConditions(1, {});
  network.SetCut(0, 1, true);
  EXPECT_TRUE(exchange(" ").empty());
  network.SetCut(0, 1, false);
  EXPECT_TRUE(exchange(std::string(256, ' ')).empty());  // 256 bytes is the size limit
  EXPECT_EQ(network.counts().too_long, 400U);
}

// Runs gatewayctl. Returns its exit code, or -1 if a signal ended it, and its output.
std::pair<int, std::string> RunGatewayctl(const std::string& arguments) {
  std::FILE* const pipe = popen((std::string(GATEWAYCTL_PROGRAM) + " " + arguments + " 2>&1").c_str(), "r");
  std::string text;
  char buffer[4096];
  while (const std::size_t size = std::fread(buffer, 1, sizeof buffer, pipe)) text.append(buffer, size);
  const int status = pclose(pipe);
  return {WIFEXITED(status) ? WEXITSTATUS(status) : -1, text};
}

TEST(Program, ReportsUsageErrorsWithDocumentedExitCodes) {
  struct Case {
    const char* arguments;
    int code;
    const char* expected_text;
  };
  for (const Case& test_case :
       {Case{"version", 0, "elderhead "}, Case{"", 2, "subcommand"}, Case{"lab run", 2, "FILE"},
        Case{"lab run /nowhere.toml", 2, "/nowhere.toml"}, Case{"lab run --help", 0, "Example:"},
        Case{"state verify /nowhere", 2, "/nowhere"}, Case{"call 127.0.0.1:9 check", 1, "127.0.0.1:9"},
        Case{"call nobody check", 2, "not an address"}, Case{"call 127.0.0.1:9 chek", 2, "chek"}}) {
    const auto [code, text] = RunGatewayctl(test_case.arguments);
    EXPECT_EQ(code, test_case.code) << test_case.arguments << "\n" << text;
    EXPECT_NE(text.find(test_case.expected_text), std::string::npos) << test_case.arguments << "\n" << text;
  }
}

TEST(Program, LabPlotWritesSelfContainedReport) {
  const std::string folder = ::testing::TempDir() + "lab's report",
                    result = ::testing::TempDir() + "result.json";
  Results results{"small", "a <day>", {}};
  for (const char* variant : {"gateway", "random"}) {
    RunResult run;
    run.variant = variant;
    run.figures = {{"goodput", 0.5}};
    for (int i = 0; i < 4; ++i) run.windows.push_back({i * 500.0, 10, 9, 0, 1, 0, 1.5 + i, 2.5 + i});
    run.events.emplace_back(700, "the gateway's end");
    results.runs.push_back(run);
  }
  std::ofstream(result) << ToJson(results);
  const auto [code, text] = RunGatewayctl("lab plot " + result + " \"" + folder + "\"");
  EXPECT_EQ(code, 0) << text;
  std::stringstream page;
  page << std::ifstream(folder + "/report.html").rdbuf();
  std::size_t plots = 0;
  for (std::size_t at = 0; (at = page.str().find("<svg", at)) != std::string::npos; ++at) ++plots;
  EXPECT_EQ(plots, 3U);
  for (const char* expected : {"a &lt;day&gt;", "goodput", "the gateway's end"}) {
    EXPECT_NE(page.str().find(expected), std::string::npos) << expected;
  }
  // The only URLs are XML namespaces: the page loads nothing over the network.
  EXPECT_EQ(page.str().find("http"), page.str().find("http://www.w3.org"));
  std::filesystem::remove_all(folder);
  std::filesystem::remove(result);
}

TEST(Program, ConfigCheckAcceptsEveryExperimentInTheRepository) {
  for (const auto& entry : std::filesystem::directory_iterator(EXPERIMENTS)) {
    if (entry.path().extension() != ".toml") continue;
    const auto [code, text] = RunGatewayctl("config check " + entry.path().string());
    EXPECT_EQ(code, 0) << text;
  }
}

// Runs stand-in gateways, each with one built-in defect. The lab must report the rule that the defect
// violates. It must report no violation for the stand-in gateway without a defect.
TEST(Program, LabRunReportsTheRuleThatADefectiveGatewayViolates) {
  const std::string file = ::testing::TempDir() + "defect.toml";
  std::string text = kSmallExperiment;
  text.replace(text.find("baselines = [\"random\"]\n"), 23, "ends_within_s = 60\n");
  std::ofstream(file) << text + R"([traffic]
rate = 100
seconds = 5
warm_up_s = 0
[[faults]]
what = "drain_host"
host = "0"
at_s = 0.2
for_s = 4.5
)";
  struct Case {
    const char* fault;
    const char* rule;
  };
  for (const Case& test_case :
       {Case{"none", nullptr}, Case{"twice", "ran_twice"}, Case{"ignores_drain", "late_sends"},
        Case{"loses", "lost"}, Case{"forges", "forged"}, Case{"dies", "crashed"}}) {
    const auto [code, out] = RunGatewayctl("lab run " + file + " --gateway '" + GATEWAYCTL_PROGRAM +
                                           " lab stand-in --fault " + test_case.fault + "'");
    if (test_case.rule == nullptr) {
      EXPECT_EQ(code, 0) << out;
    } else {
      EXPECT_EQ(code, 1) << test_case.fault << "\n" << out;
      EXPECT_NE(out.find(std::string("rule ") + test_case.rule + " violated"), std::string::npos)
          << test_case.fault << "\n"
          << out;
    }
  }
  std::filesystem::remove(file);
}

TEST(Supervisor, RestartsAfterCrashWithBackoffAndStopsOnCrashLoop) {
  using base::Supervisor;
  using Action = Supervisor::Action;
  struct Step {
    Millis at, run_time;  // time of the exit, and how long the process had run
    bool expected, with_saved_state;
    Action action;
    Millis minimum_backoff, maximum_backoff;
  };
  const std::vector<std::vector<Step>> sequences{
      // A process with an expected exit is not restarted.
      {{1000, 500, true, true, Action::kStop, 0, 0}},
      // A crash after a long run counts as the first crash, so the backoff does not grow.
      {{100000, 90000, false, true, Action::kRestart, 100, 200},
       {300000, 90000, false, true, Action::kRestart, 100, 200}},
      // If the process crashes twice shortly after a start with saved state, it is started once without saved
      // state. The next start uses the saved state again.
      {{1000, 900, false, true, Action::kRestart, 100, 200},
       {3000, 900, false, true, Action::kRestartWithoutState, 200, 400},
       {5000, 900, false, false, Action::kRestart, 400, 800},
       {9000, 900, false, true, Action::kRestart, 800, 1600},
       {19000, 8000, false, true, Action::kRestart, 1600,
        3200},  // the run was too long for the saved state to be the cause
       {26000, 900, false, true, Action::kRestart, 3200, 6400},
       {40000, 900, false, true, Action::kRestartWithoutState, 6400, 12800},
       {60000, 900, false, false, Action::kStopCrashLoop, 0, 0}},
      // Nine crashes are not a crash loop if they occur 40 s apart.
      {{0, 900, false, false, Action::kRestart, 100, 200},
       {40000, 900, false, false, Action::kRestart, 200, 400},
       {80000, 900, false, false, Action::kRestart, 400, 800},
       {120000, 900, false, false, Action::kRestart, 800, 1600},
       {160000, 900, false, false, Action::kRestart, 1600, 3200},
       {200000, 900, false, false, Action::kRestart, 3200, 6400},
       {240000, 900, false, false, Action::kRestart, 6400, 12800},
       {280000, 900, false, false, Action::kRestart, 12800, 25600},
       {320000, 900, false, false, Action::kRestart, 15000, 30000}}};
  for (const auto& sequence : sequences) {
    for (const double draw : {0.0, 1.0}) {
      Supervisor supervisor({});
      for (const Step& step : sequence) {
        const auto decision =
            supervisor.OnProcessExit({step.at, step.run_time, step.expected, step.with_saved_state}, draw);
        EXPECT_EQ(decision.action, step.action) << "at " << step.at;
        EXPECT_EQ(decision.backoff, draw == 0 ? step.minimum_backoff : step.maximum_backoff)
            << "at " << step.at;
      }
    }
  }
}

// Runs the supervisor with real processes. It restarts the command after each of two crashes, the second time
// without saved state. It stops when the command exits cleanly or when the supervisor itself is terminated.
TEST(Program, RestartsCrashedCommandUntilItExitsCleanly) {
  const std::string folder = ::testing::TempDir() + "run-" + std::to_string(getpid());
  std::filesystem::create_directories(folder);
  std::ofstream(folder + "/command")
      << "echo \"start$ELDERHEAD_WITHOUT_STATE\" >> " << folder << "/starts\n"
      << "n=$(wc -l < " << folder << "/starts)\n"
      << "[ $n -eq 1 ] && exit 7\n[ $n -eq 2 ] && kill -9 $$\n[ $n -eq 3 ] && exit 0\n";
  const auto [code, out] = RunGatewayctl("run --command 'sh " + folder + "/command'");
  EXPECT_EQ(code, 0) << out;
  EXPECT_NE(out.find("exit code 7"), std::string::npos) << out;
  EXPECT_NE(out.find("signal 9"), std::string::npos) << out;
  std::stringstream starts;
  starts << std::ifstream(folder + "/starts").rdbuf();
  EXPECT_EQ(starts.str(), "start\nstart\nstart1\n");
  const auto [terminated_code, terminated_out] =
      RunGatewayctl("run --command 'sleep 20' & sleep 0.5; kill -TERM $!; wait $!; exit $?");
  EXPECT_EQ(terminated_code, 128 + SIGTERM) << terminated_out;
  std::filesystem::remove_all(folder);
}

// The lab reports gateways that don't become ready within the time limit. No gateway process is left running,
// even if the lab itself is killed.
TEST(Program, LabRunReportsUnreadyGatewaysAndLeavesNoProcesses) {
  const std::string file = ::testing::TempDir() + "never.toml";
  std::string text = kSmallExperiment;
  text.replace(text.find("baselines"), 31, "[fleet]\nready_within_s = 1\n");
  text += "[traffic]\nrate = 10\nseconds = 30\n";
  std::ofstream(file) << text;
  const std::string command =
      "sleep " + std::to_string(86400 + getpid());  // a duration that no other process uses
  const auto [code, out] = RunGatewayctl("lab run " + file + " --gateway '" + command + "'");
  EXPECT_EQ(code, 1) << out;
  EXPECT_NE(out.find("gateway 0 is not ready, gateway 1 is not ready after 1 s"), std::string::npos) << out;
  const auto is_running = [&] {
    return std::system(("pgrep -f '^" + command + "' >/dev/null").c_str()) == 0;
  };
  EXPECT_FALSE(is_running());
  std::ofstream(file) << text.replace(text.find("within_s = 1"), 12, "within_s = 60");
  const pid_t lab = fork();
  if (lab == 0) {
    execl(GATEWAYCTL_PROGRAM, "gatewayctl", "lab", "run", file.c_str(), "--gateway", command.c_str(),
          nullptr);
    _exit(1);
  }
  for (int i = 0; i < 200 && !is_running(); ++i) usleep(50000);
  EXPECT_TRUE(is_running());
  kill(lab, SIGKILL);
  waitpid(lab, nullptr, 0);
  for (int i = 0; i < 200 && is_running(); ++i) usleep(50000);
  EXPECT_FALSE(is_running());
  std::filesystem::remove(file);
}

}  // namespace
}  // namespace gateway::lab
