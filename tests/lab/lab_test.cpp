// The lab without sockets: schedules, the emulated host against closed forms, the rules, figures, files. And
// the lab as a program: that it catches gateways that do wrong.
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

const std::string kSmall = R"(name = "small"
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

Experiment Parse(const std::string& more) { return ParseExperiment(kSmall + more, "test.toml"); }

std::string Lines(const Experiment& e, std::uint64_t seed) {
  std::string text;
  for (const std::string& line : FaultTimeline(e)) text += line + "\n";
  Schedule schedule(e, seed);
  while (const auto arrival = schedule.Next()) text += arrival->ToText() + "\n";
  return text;
}

TEST(Schedule, IsFixedByTheSeedAndOnlyByIt) {
  for (const std::string arrivals : {"poisson", "bursty"}) {
    const Experiment e = Parse("[traffic]\nrate = 200\nseconds = 20\narrivals = \"" + arrivals +
                               "\"\n[[faults]]\nwhat = \"kill\"\ngateway = \"1\"\nat_s = 3\nfor_s = 1\n");
    EXPECT_EQ(Lines(e, 7), Lines(e, 7));
    EXPECT_NE(Lines(e, 7), Lines(e, 8));
  }
}

TEST(Schedule, HasTheStatedRateSharesAndBursts) {
  struct Case {
    const char* arrivals;
    double spread;  // of the count in windows of 1 s, over that of Poisson
  };
  for (const Case& c : {Case{"poisson", 1}, Case{"bursty", 5}}) {
    const Experiment e =
        Parse(std::string("[traffic]\nrate = 500\nseconds = 400\nburst_factor = 3\narrivals = \"") +
              c.arrivals + "\"\n");
    Schedule schedule(e, 3);
    std::vector<double> windows(400);
    double count = 0, pay = 0, work = 0;
    while (const auto arrival = schedule.Next()) {
      ++count;
      pay += arrival->class_index;
      work += arrival->work;
      ++windows[static_cast<std::size_t>(arrival->at / 1000)];
    }
    EXPECT_NEAR(count / 400, 500, c.spread * 10);
    EXPECT_NEAR(pay / count, 0.2, 0.01);
    EXPECT_NEAR(work / count, 24, 0.5);
    double squares = 0;
    for (const double w : windows) squares += (w - count / 400) * (w - count / 400) / 400;
    EXPECT_GT(squares / 500, c.spread * 0.8) << c.arrivals;
    EXPECT_LT(squares / 500, c.spread == 1 ? 1.25 : 1000);
  }
}

TEST(Schedule, BurstsMultiplyTheRateWhileTheyLast) {
  const Experiment e = Parse(
      "[traffic]\nrate = 1000\nseconds = 30\n[[faults]]\nwhat = \"burst\"\nat_s = 10\nfor_s = 10\nsize = "
      "3\n");
  Schedule schedule(e, 1);
  double in = 0, out = 0;
  while (const auto arrival = schedule.Next()) ++(arrival->at >= 10000 && arrival->at < 20000 ? in : out);
  EXPECT_NEAR(in, 30000, 800);
  EXPECT_NEAR(out, 20000, 700);
}

// Mean wait before service of M/M/c at this load, over the mean service time (Erlang C).
double ErlangWait(int c, double load) {
  const double a = load * c;
  double term = 1, sum = 1;
  for (int k = 1; k < c; ++k) sum += term *= a / k;
  const double last = term * a / c / (1 - load);
  return last / (sum + last) / (c * (1 - load));
}

TEST(HostModel, WaitsAsMMcDoes) {
  for (const int cores : {1, 2, 4}) {
    for (const double load : {0.5, 0.8, 0.9}) {
      HostGroup group;
      group.cores = group.slots = cores;
      group.queue_capacity = 1 << 20;
      HostModel host(group, {}, std::nullopt);
      boost::random::mt19937_64 random(17);
      boost::random::exponential_distribution<double> gap(load * cores), work(1);
      // The nearer to full, the longer the runs of waiting, and the more of them a mean takes.
      const HostModel::Job count = load < 0.6 ? 100000 : load < 0.85 ? 300000 : 700000;
      std::unordered_map<HostModel::Job, Millis> came;
      std::vector<HostModel::Event> events;
      double now = 0, waited = 0, begun = 0;
      const auto settle = [&](Millis until) {  // as a timer would: at each time that it names
        while (host.NextEventAt() && *host.NextEventAt() <= until) {
          const Millis at = *host.NextEventAt();
          events.clear();
          host.Advance(at, events);
          for (const auto& event : events) {
            if (event.kind != HostModel::EventKind::kStarted) continue;
            waited += at - came[event.job];
            ++begun;
            came.erase(event.job);
          }
        }
      };
      for (HostModel::Job job = 1; job <= count; ++job) {
        now += gap(random);
        settle(now);
        came[job] = now;
        host.Submit(now, job, work(random), 1e12);
        settle(now);
      }
      EXPECT_NEAR(waited / begun / ErlangWait(cores, load), 1, 0.05) << cores << " cores at " << load;
    }
  }
}

TEST(HostModel, SharesItsCoresAndTurnsAwayWhatFindsNoPlace) {
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
  // 1 is done at 20, sharing; then 3 begins and its time is over at 25; 2 is done at 32.5.
  EXPECT_EQ(ends, (std::vector<std::pair<HostModel::Job, Kind>>{
                      {1, Kind::kFinished}, {3, Kind::kExpired}, {2, Kind::kFinished}}));
}

TEST(HostModel, WarmsEvenlyAndFallsOverWhenSentTooMuch) {
  HostGroup group;
  group.slots = 1000;
  const HostWarmUp cold{0.2, 10000, 2.5, 3000};
  HostModel host(group, {0.2, 10000, 1e9, 3000}, 0.0);
  std::vector<HostModel::Event> events;
  host.Submit(0, 1, 6000, 1e9);  // the integral of the warmth over the first 10 s
  host.Advance(0, events);
  EXPECT_NEAR(*host.NextEventAt(), 10000, 0.01);
  struct Case {
    double part;  // of what a cold host is allowed
    bool falls;
  };
  for (const Case& c : {Case{0.9, false}, Case{1.3, true}}) {
    HostModel cold_host(group, cold, 0.0);
    const double allowed = 2.5 * 0.2 * 3000;
    for (int i = 0; i < 10; ++i)
      cold_host.Submit(i, static_cast<HostModel::Job>(i), c.part * allowed / 10, 1e9);
    EXPECT_EQ(cold_host.overloaded(), c.falls) << c.part;
  }
}

// Whatever comes in whatever order, each request ends once, and work is neither made nor lost.
TEST(HostModel, EndsEachRequestOnce) {
  for (unsigned seed = 1; seed <= 50; ++seed) {
    boost::random::mt19937_64 random(seed);
    const auto draw = [&](int most) { return boost::random::uniform_int_distribution<int>(0, most)(random); };
    HostGroup group;
    group.cores = 1 + draw(3);
    group.slots = 1 + draw(8);
    group.queue_capacity = draw(10);
    group.thrash_factor = draw(1) * 0.05;
    HostModel host(group, {}, draw(1) ? std::optional<Millis>(0) : std::nullopt);
    std::map<HostModel::Job, int> open;
    std::vector<HostModel::Event> events;
    Millis now = 0;
    for (HostModel::Job job = 1; job <= 2000; ++job) {
      now += draw(20);
      events.clear();
      host.Advance(now, events);
      for (const auto& event : events) {
        if (event.kind == HostModel::EventKind::kStarted) continue;
        EXPECT_EQ(open.erase(event.job), 1U) << "seed " << seed;
      }
      if (!open.empty() && draw(9) == 0) {
        host.Cancel(now, open.begin()->first);
        open.erase(open.begin());
      }
      if (draw(99) == 0) host.SetSpeed(now, 0.1 + draw(10));
      if (host.Submit(now, job, 1 + draw(60), now + draw(500)) != HostModel::Admission::kRejected)
        open[job] = 1;
    }
    events.clear();
    host.Advance(now + 1e6, events);
    for (const auto& event : events) {
      if (event.kind != HostModel::EventKind::kStarted) open.erase(event.job);
    }
    EXPECT_TRUE(open.empty()) << "seed " << seed;
    EXPECT_EQ(host.active_jobs(), 0U) << "seed " << seed;
  }
}

TEST(RuleChecker, NamesEachViolation) {
  struct Case {
    const char* rule;
    std::function<void(RuleChecker&)> violation;
  };
  const std::vector<Case> cases{
      {"ran_twice",
       [](RuleChecker& r) { r.OnRequestSent(0, "p", false, 1), r.OnExecution("p"), r.OnExecution("p"); }},
      {"attempts_over",
       [](RuleChecker& r) {
         for (int i = 0; i < 3; ++i) r.OnAttempt(i, "s", -1);
       }},
      {"unknown", [](RuleChecker& r) { r.OnAttempt(0, "nobody", -1); }},
      {"late_sends", [](RuleChecker& r) { r.OnAttempt(1000, "s", 400); }},
      {"cold_falls", [](RuleChecker& r) { r.OnHostOverloaded("host 1"); }},
      {"forged", [](RuleChecker& r) { r.OnResponse("s", "made up"); }},
      {"lost", [](RuleChecker& r) { r.OnRequestLost("s", "never answered"); }},
      {"crashed", [](RuleChecker& r) { r.OnGatewayCrashed("gateway 0"); }},
  };
  for (const Case& c : cases) {
    RuleChecker rules(3, 500);
    rules.SetSeed(5);
    rules.OnRequestSent(0, "s", true, 1);
    rules.OnExecution("s");
    rules.OnExecution("s");  // may run again
    rules.OnAttempt(900, "s", 400);
    rules.OnResponse("s", RuleChecker::ResponseMark("s", 5));
    for (const auto& [name, count] : rules.violations().ByName()) EXPECT_EQ(count, 0U) << name;
    c.violation(rules);
    for (const auto& [name, count] : rules.violations().ByName())
      EXPECT_EQ(count, name == c.rule ? 1U : 0U) << name;
    ASSERT_EQ(rules.examples().size(), 1U);
    EXPECT_EQ(rules.examples()[0].rfind(c.rule, 0), 0U) << rules.examples()[0];
  }
}

TEST(FrontBalancerView, SendsConnectionsFromReadinessToItsLateEnd) {
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

TEST(Recorder, MeasuresTheTimeToRecovery) {
  const Experiment e = Parse(
      "[traffic]\nrate = 100\nseconds = 20\nwarm_up_s = 1\n[[faults]]\nwhat = \"kill\"\ngateway = "
      "\"0\"\nat_s = 8\n");
  Recorder recorder(e);
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
  EXPECT_FALSE(run.figures.contains("p999_ms/pay"));  // no request of it: no percentile
}

TEST(Histogram, KeepsQuantilesWithinAThirtySecond) {
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
          << mean << " " << share;
    }
  }
  EXPECT_EQ(base::Histogram().Quantile(0.5), 0U);
  EXPECT_FALSE(base::Histogram().SupportsQuantile(0.5));
}

TEST(Files, AreReadStrictly) {
  const std::string traffic = "[traffic]\nrate = 10\nseconds = 5\n";
  struct Case {
    std::string text, says;
  };
  const std::vector<Case> cases{
      {kSmall + "[traffic]\nrate = 10\nsecond = 5\n",
       "test.toml:19:1: unknown key 'second', did you mean 'seconds'?"},
      {kSmall, "traffic: missing"},
      {kSmall + "[traffic]\nrate = \"many\"\nseconds = 5\n", "test.toml:18:8: rate: must be a number"},
      {kSmall + "[traffic]\nrate = -1\nseconds = 5\n", "is out of range"},
      {kSmall + "[traffic]\nrate = 1\nload = 0.5\nseconds = 5\n", "give one of 'rate' and 'load'"},
      {kSmall + traffic + "[[faults]]\nwhat = \"kil\"\nat_s = 1\n", "did you mean 'kill'?"},
      {kSmall + traffic + "[[faults]]\nwhat = \"kill\"\nat_s = 1\ngateway = \"2\"\n",
       "'2' is not within 0 to 1"},
      {kSmall + traffic + "[[faults]]\nwhat = \"slow_host\"\nat_s = 1\nhost = \"x\"\n",
       "'x' is not N or N-M"},
      {kSmall + traffic + "[[bounds]]\nfigure = \"godput\"\nleast = 1\n", "did you mean 'goodput'?"},
      {kSmall + traffic + "[[bounds]]\nfigure = \"goodput\"\n", "needs 'least' or 'most'"},
      {kSmall + traffic + "[[bounds]]\nfigure = \"goodput\"\nleast = 1\nover = \"direct\"\n",
       "is not one of"},
      {"name = \n", "test.toml:1:"},
  };
  for (const Case& c : cases) {
    try {
      ParseExperiment(c.text, "test.toml");
      ADD_FAILURE() << "taken, though: " << c.says;
    } catch (const base::ConfigError& error) {
      EXPECT_NE(std::string(error.what()).find(c.says), std::string::npos)
          << error.what() << "\n  lacks: " << c.says;
    }
  }
  EXPECT_EQ(ParseExperiment(kSmall + traffic, "test.toml").HostCount(), 4);
}

TEST(Results, SurviveTheirFileAndAreEvaluated) {
  Experiment e = Parse(
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
  const Results again = ResultsFromJson(ToJson(results), "x");
  EXPECT_EQ(ToJson(again), ToJson(results));
  using Kind = Verdict::Kind;
  const auto kinds = [&] {
    std::vector<Kind> all;
    for (const Verdict& verdict : Evaluate(e, results)) all.push_back(verdict.kind);
    return all;
  };
  // Rules kept, 0.9 / 0.8 is enough, and a lab that ran late blames nobody for the time.
  EXPECT_EQ(kinds(), (std::vector<Kind>{Kind::kPassed, Kind::kPassed, Kind::kInconclusive}));
  results.runs[0].figures["lost"] = 1;
  results.runs[0].figures["lateness_p99_ms"] = 1;
  EXPECT_EQ(kinds(), (std::vector<Kind>{Kind::kViolated, Kind::kPassed, Kind::kViolated}));
  results.runs[0].failure = "gateway 0 is not ready";
  EXPECT_EQ(kinds()[0], Kind::kViolated);
  EXPECT_THROW(ResultsFromJson("{}", "x"), std::runtime_error);
}

// Messages over a link: in time, late by the delay and no more than the jitter, held by a cut of their way
// alone.
TEST(Link, DelaysJittersAndCutsEachWay) {
  boost::asio::io_context io;
  Link link(io, 3);
  std::vector<std::string> passed;
  const auto send = [&](Link::Direction direction, const char* what) {
    link.Transmit(direction, [&passed, what] { passed.push_back(what); });
  };
  const auto settle = [&](int ms) {
    io.run_for(std::chrono::milliseconds(ms));
    io.restart();
  };
  send(Link::Direction::kFromGateway, "at once");
  EXPECT_EQ(passed.size(), 1U);
  link.AddDelay(20, 30);
  std::vector<Millis> took;
  for (int i = 0; i < 50; ++i) {
    link.Transmit(Link::Direction::kFromGateway,
                  [&took, sent = MonotonicNow()] { took.push_back(MonotonicNow() - sent); });
  }
  settle(150);
  ASSERT_EQ(took.size(), 50U);
  EXPECT_GE(*std::min_element(took.begin(), took.end()), 20);
  EXPECT_GT(*std::max_element(took.begin(), took.end()) - *std::min_element(took.begin(), took.end()), 10);
  link.AddDelay(-20, -30);
  link.Cut(true, false);
  send(Link::Direction::kFromGateway, "held");
  send(Link::Direction::kToGateway, "back");
  EXPECT_EQ(passed.back(), "back");
  link.Cut(true, true);
  link.Heal(true, true);
  EXPECT_EQ(passed.back(), "back");  // the first cut is still there
  link.Heal(true, false);
  EXPECT_EQ(passed.back(), "held");
}

// What two gateways receive of each other: all of it in order, then what the conditions leave, then nothing.
TEST(PeerNetwork, LosesRepeatsReordersAndCuts) {
  namespace asio = boost::asio;
  asio::io_context io;
  const Addresses addresses(io), others(io);  // two runs at the same time
  EXPECT_NE(addresses.Gateway(0), others.Gateway(0));
  PeerNetwork network(io, addresses, 2, 5);
  const auto at = [](const Addresses::Endpoint& e) { return asio::ip::udp::endpoint(e.address(), e.port()); };
  asio::ip::udp::socket a(io, at(addresses.PeerListen(0))), b(io, at(addresses.PeerListen(1)));
  b.non_blocking(true);
  const auto exchange = [&](const std::string& padding) {
    std::vector<int> received;
    for (int i = 0; i < 400; ++i) {
      a.send_to(asio::buffer(std::to_string(i) + padding), at(addresses.Peer(0, 1)));
      io.run_for(std::chrono::milliseconds(i == 399 ? 60 : 1));
      io.restart();
      char text[600];
      asio::ip::udp::endpoint from;
      boost::system::error_code ec;
      while (b.receive_from(asio::buffer(text), from, 0, ec) > 0 && !ec) {
        received.push_back(std::atoi(text));
        EXPECT_EQ(from, at(addresses.Peer(1, 0)));  // as b reaches a
      }
    }
    return received;
  };
  const std::vector<int> calm = exchange(" ");
  EXPECT_EQ(calm.size(), 400U);
  EXPECT_TRUE(std::is_sorted(calm.begin(), calm.end()));
  network.SetConditions(1, {0.3, 0, 0, 0});
  EXPECT_NEAR(static_cast<double>(exchange(" ").size()), 280, 40);
  network.SetConditions(1, {0, 0.5, 0, 0});
  EXPECT_NEAR(static_cast<double>(exchange(" ").size()), 600, 45);
  network.SetConditions(1, {0, 0, 0.5, 0});
  const std::vector<int> shuffled = exchange(" ");
  EXPECT_EQ(shuffled.size(), 400U);
  EXPECT_FALSE(std::is_sorted(shuffled.begin(), shuffled.end()));
  network.SetConditions(1, {});
  network.SetCut(0, 1, true);
  EXPECT_TRUE(exchange(" ").empty());
  network.SetCut(0, 1, false);
  EXPECT_TRUE(exchange(std::string(256, ' ')).empty());
  EXPECT_EQ(network.counts().too_long, 400U);
}

// The program, with its output.
std::pair<int, std::string> Gatewayctl(const std::string& arguments) {
  std::FILE* const pipe = popen((std::string(GATEWAYCTL_PROGRAM) + " " + arguments + " 2>&1").c_str(), "r");
  std::string text;
  char part[4096];
  while (const std::size_t got = std::fread(part, 1, sizeof part, pipe)) text.append(part, got);
  const int status = pclose(pipe);
  return {WIFEXITED(status) ? WEXITSTATUS(status) : -1, text};
}

TEST(Program, SaysWhatIsWrongAndEndsAsDocumented) {
  struct Case {
    const char* arguments;
    int code;
    const char* says;
  };
  for (const Case& c :
       {Case{"version", 0, "elderhead "}, Case{"", 2, "subcommand"}, Case{"lab run", 2, "FILE"},
        Case{"lab run /nowhere.toml", 2, "/nowhere.toml"}, Case{"lab run --help", 0, "Example:"},
        Case{"state verify /nowhere", 2, "/nowhere"}, Case{"call 127.0.0.1:9 check", 1, "127.0.0.1:9"},
        Case{"call nobody check", 2, "not an address"}, Case{"call 127.0.0.1:9 chek", 2, "chek"}}) {
    const auto [code, text] = Gatewayctl(c.arguments);
    EXPECT_EQ(code, c.code) << c.arguments << "\n" << text;
    EXPECT_NE(text.find(c.says), std::string::npos) << c.arguments << "\n" << text;
  }
}

TEST(Program, DrawsAReportThatHoldsAll) {
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
  const auto [code, text] = Gatewayctl("lab plot " + result + " \"" + folder + "\"");
  EXPECT_EQ(code, 0) << text;
  std::stringstream page;
  page << std::ifstream(folder + "/report.html").rdbuf();
  std::size_t pictures = 0;
  for (std::size_t at = 0; (at = page.str().find("<svg", at)) != std::string::npos; ++at) ++pictures;
  EXPECT_EQ(pictures, 3U);
  for (const char* part : {"a &lt;day&gt;", "goodput", "the gateway's end"}) {
    EXPECT_NE(page.str().find(part), std::string::npos) << part;
  }
  EXPECT_EQ(page.str().find("http"),
            page.str().find("http://www.w3.org"));  // names of forms only, nothing to fetch
  std::filesystem::remove_all(folder);
  std::filesystem::remove(result);
}

TEST(Program, ReadsEveryExperimentOfTheRepository) {
  for (const auto& entry : std::filesystem::directory_iterator(EXPERIMENTS)) {
    if (entry.path().extension() != ".toml") continue;
    const auto [code, text] = Gatewayctl("config check " + entry.path().string());
    EXPECT_EQ(code, 0) << text;
  }
}

// Small faulty stand-ins: the lab names the rule that each breaks, and passes the one that does nothing
// wrong.
TEST(Program, CatchesGatewaysThatDoWrong) {
  const std::string file = ::testing::TempDir() + "mutant.toml";
  std::string text = kSmall;
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
  for (const Case& c :
       {Case{"none", nullptr}, Case{"twice", "ran_twice"}, Case{"ignores_drain", "late_sends"},
        Case{"loses", "lost"}, Case{"forges", "forged"}, Case{"dies", "crashed"}}) {
    const auto [code, out] = Gatewayctl("lab run " + file + " --gateway '" + GATEWAYCTL_PROGRAM +
                                        " lab stand-in --fault " + c.fault + "'");
    if (c.rule == nullptr) {
      EXPECT_EQ(code, 0) << out;
    } else {
      EXPECT_EQ(code, 1) << c.fault << "\n" << out;
      EXPECT_NE(out.find(std::string("rule ") + c.rule + " broken"), std::string::npos) << c.fault << "\n"
                                                                                        << out;
    }
  }
  std::filesystem::remove(file);
}

TEST(Supervisor, StartsAgainWaitsLongerAndGivesUp) {
  using base::Supervisor;
  using Action = Supervisor::Action;
  struct Step {
    Millis at, ran;
    bool expected, with_saved_state;
    Action action;
    Millis minimum, maximum;  // of the backoff
  };
  const std::vector<std::vector<Step>> stories{
      // Told to end, or ended well: no more.
      {{1000, 500, true, true, Action::kStop, 0, 0}},
      // Long runs: each crash is the first.
      {{100000, 90000, false, true, Action::kRestart, 100, 200},
       {300000, 90000, false, true, Action::kRestart, 100, 200}},
      // Two at once after a start with a state: once without; then with it again.
      {{1000, 900, false, true, Action::kRestart, 100, 200},
       {3000, 900, false, true, Action::kRestartWithoutState, 200, 400},
       {5000, 900, false, false, Action::kRestart, 400, 800},
       {9000, 900, false, true, Action::kRestart, 800, 1600},
       {19000, 8000, false, true, Action::kRestart, 1600, 3200},  // longer than a state's fault takes
       {26000, 900, false, true, Action::kRestart, 3200, 6400},
       {40000, 900, false, true, Action::kRestartWithoutState, 6400, 12800},
       {60000, 900, false, false, Action::kStopCrashLoop, 0, 0}},
      // The same crashes spread over more time are no loop.
      {{0, 900, false, false, Action::kRestart, 100, 200},
       {40000, 900, false, false, Action::kRestart, 200, 400},
       {80000, 900, false, false, Action::kRestart, 400, 800},
       {120000, 900, false, false, Action::kRestart, 800, 1600},
       {160000, 900, false, false, Action::kRestart, 1600, 3200},
       {200000, 900, false, false, Action::kRestart, 3200, 6400},
       {240000, 900, false, false, Action::kRestart, 6400, 12800},
       {280000, 900, false, false, Action::kRestart, 12800, 25600},
       {320000, 900, false, false, Action::kRestart, 15000, 30000}}};
  for (const auto& story : stories) {
    for (const double draw : {0.0, 1.0}) {
      Supervisor supervisor({});
      for (const Step& step : story) {
        const auto decision =
            supervisor.OnProcessExit({step.at, step.ran, step.expected, step.with_saved_state}, draw);
        EXPECT_EQ(decision.action, step.action) << "at " << step.at;
        EXPECT_EQ(decision.backoff, draw == 0 ? step.minimum : step.maximum) << "at " << step.at;
      }
    }
  }
}

// The same with processes: a crash is followed by a start, the third without state, and an end as told ends
// it all.
TEST(Program, KeepsACommandRunning) {
  const std::string folder = ::testing::TempDir() + "run-" + std::to_string(getpid());
  std::filesystem::create_directories(folder);
  std::ofstream(folder + "/command")
      << "echo \"start$ELDERHEAD_WITHOUT_STATE\" >> " << folder << "/starts\n"
      << "n=$(wc -l < " << folder << "/starts)\n"
      << "[ $n -eq 1 ] && exit 7\n[ $n -eq 2 ] && kill -9 $$\n[ $n -eq 3 ] && exit 0\n";
  const auto [code, out] = Gatewayctl("run --command 'sh " + folder + "/command'");
  EXPECT_EQ(code, 0) << out;
  EXPECT_NE(out.find("exit code 7"), std::string::npos) << out;
  EXPECT_NE(out.find("signal 9"), std::string::npos) << out;
  std::stringstream starts;
  starts << std::ifstream(folder + "/starts").rdbuf();
  EXPECT_EQ(starts.str(), "start\nstart\nstart1\n");
  const auto [term, words] =
      Gatewayctl("run --command 'sleep 20' & sleep 0.5; kill -TERM $!; wait $!; exit $?");
  EXPECT_EQ(term, 128 + SIGTERM) << words;
  std::filesystem::remove_all(folder);
}

// A gateway that never becomes ready is named in time; and a lab that is killed leaves no process behind.
TEST(Program, NamesWhoIsNotReadyAndLeavesNothingBehind) {
  const std::string file = ::testing::TempDir() + "never.toml";
  std::string text = kSmall;
  text.replace(text.find("baselines"), 31, "[fleet]\nready_within_s = 1\n");
  text += "[traffic]\nrate = 10\nseconds = 30\n";
  std::ofstream(file) << text;
  const std::string sleep = "sleep " + std::to_string(86400 + getpid());  // one of that length is ours
  const auto [code, out] = Gatewayctl("lab run " + file + " --gateway '" + sleep + "'");
  EXPECT_EQ(code, 1) << out;
  EXPECT_NE(out.find("gateway 0 is not ready, gateway 1 is not ready after 1 s"), std::string::npos) << out;
  const auto left = [&] { return std::system(("pgrep -f '^" + sleep + "' >/dev/null").c_str()) == 0; };
  EXPECT_FALSE(left());
  std::ofstream(file) << text.replace(text.find("within_s = 1"), 12, "within_s = 60");
  const pid_t lab = fork();
  if (lab == 0) {
    execl(GATEWAYCTL_PROGRAM, "gatewayctl", "lab", "run", file.c_str(), "--gateway", sleep.c_str(), nullptr);
    _exit(1);
  }
  for (int i = 0; i < 200 && !left(); ++i) usleep(50000);
  EXPECT_TRUE(left());
  kill(lab, SIGKILL);
  waitpid(lab, nullptr, 0);
  for (int i = 0; i < 200 && left(); ++i) usleep(50000);
  EXPECT_FALSE(left());
  std::filesystem::remove(file);
}

}  // namespace
}  // namespace gateway::lab
