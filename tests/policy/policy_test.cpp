// The mechanism and each departure from it, one behaviour a test.
#include <gtest/gtest.h>

#include <deque>
#include <limits>
#include <map>
#include <numeric>
#include <random>
#include <set>
#include <stdexcept>

#include "fake_gateway.hpp"

namespace gateway::policy::testing {
namespace {

TEST(Settings, ThatCannotWorkNameTheField) {
  const auto fault = [](auto change) -> std::string {
    Settings s = MakeSettings();
    change(s);
    try {
      Policy policy(s, 1);
    } catch (const std::invalid_argument& error) {
      return error.what();
    }
    return "";
  };
  EXPECT_NE(fault([](Settings& s) { s.classes.clear(); }).find("classes"), std::string::npos);
  EXPECT_NE(fault([](Settings& s) { s.classes[0].deadline = 0; }).find("deadline"), std::string::npos);
  EXPECT_NE(fault([](Settings& s) { s.classes[0].latency_objective = -1; }).find("latency_objective"),
            std::string::npos);
  EXPECT_NE(fault([](Settings& s) { s.tenants = {{"t", -1}}; }).find("quota"), std::string::npos);
  EXPECT_NE(fault([](Settings& s) { s.gateway_count = 0; }).find("gateway_count"), std::string::npos);
  EXPECT_EQ(fault([](Settings&) {}), "");
}

TEST(Direct, RequestGoesStraightOutWhenQueuesAreEmpty) {
  Gateway g;
  g.Servers(2);
  EXPECT_EQ(Gateway::Count<Send>(g.Ask("a")), 1);
}

TEST(Direct, NothingIsSentBeforeTheListAndTheHeldRequestIsRefusedInTime) {
  Gateway g;
  EXPECT_EQ(Gateway::Count<Send>(g.Ask("a")), 0);
  EXPECT_EQ(Gateway::Count<Reject>(g.Pass(990)) + Gateway::Count<Reject>(g.Pass(20)), 1);
}

TEST(Queues, HeldRequestOfAnUnmeasuredClassIsAnsweredBeforeItsClientLeaves) {
  for (const Millis left : {0.0, 1.0, 9.0, 21.0, 33.0, 456.6}) {  // no server: nothing can be sent
    Gateway g;
    int answered = Gateway::Count<Reject>(g.Ask("a", "view", left));
    if (left > 0) answered += Gateway::Count<Reject>(g.Pass(left));
    EXPECT_EQ(answered, 1) << left;
  }
}

TEST(Queues, HeldRequestWithLessTimeBehindOthersIsAnsweredInItsTime) {
  Settings s = MakeSettings();
  s.classes[0].late_weight = 0.5;
  Gateway g(s);
  g.Ask("long", "view", 2000);
  g.Ask("short", "view", 100);
  EXPECT_EQ(Gateway::Count<Reject>(g.Pass(110)), 1);
}

TEST(Queues, UnknownClassIsRefusedAndUnknownIdsAreIgnored) {
  Gateway g;
  g.Servers(2);
  EXPECT_EQ(Gateway::Count<Reject>(g.Ask("a", "no such class")), 1);
  EXPECT_TRUE(g.End("ghost", "s0", AttemptResult::kServed, 10).empty());
  EXPECT_TRUE(g.Do(ClientDisconnected{"ghost"}).empty());
}

// Fills one server to its limit, then frees it answer by answer, and counts who is released.
std::map<std::string, int> ReleasedByClass(Settings settings, int releases) {
  Gateway g(std::move(settings));
  g.Servers(1);
  std::vector<std::string> out;
  for (int i = 0; i < 40; ++i) {
    const std::string id = "fill" + std::to_string(i);
    if (!Gateway::SentTo(g.Ask(id)).empty()) out.push_back(id);
  }
  for (int i = 0; i < 30; ++i) {
    g.Ask("view" + std::to_string(i), "view");
    g.Ask("pay" + std::to_string(i), "pay");
  }
  std::map<std::string, int> released;
  for (int i = 0; i < releases && !out.empty(); ++i) {
    const std::string id = out.front();
    out.erase(out.begin());
    for (const Action& a : g.End(id, "s0", AttemptResult::kServed, 10)) {
      if (const auto* send = std::get_if<Send>(&a)) {
        out.push_back(send->request);
        released[send->request.substr(0, 3)]++;
      }
    }
  }
  return released;
}

TEST(MostCreditFirst, ReleasesBackloggedClassesByWeight) {
  Settings s = MakeSettings();
  s.classes = {MakeClass("view", Idempotency::kIdempotent, 1), MakeClass("pay", Idempotency::kIdempotent, 3)};
  // The fill requests are of class view too and stand before its others.
  const auto released = ReleasedByClass(s, 24);
  int view = 0, pay = 0;
  for (const auto& [name, n] : released) (name == "pay" ? pay : view) += n;
  EXPECT_GE(view + pay, 20);
  EXPECT_NEAR(static_cast<double>(pay) / (view + pay), 0.75, 0.1);
}

TEST(MostCreditFirst, OneBackloggedClassInDebtStillMoves) {
  Settings s = MakeSettings();
  s.classes = {MakeClass("view", Idempotency::kIdempotent, 1),
               MakeClass("pay", Idempotency::kIdempotent, 99)};
  Gateway g(s);
  g.Servers(1);
  std::vector<std::string> out;
  int served = 0;
  for (int i = 0; i < 60; ++i) {
    if (!Gateway::SentTo(g.Ask("r" + std::to_string(i))).empty()) out.push_back("r" + std::to_string(i));
  }
  while (!out.empty()) {
    const std::string id = out.back();
    out.pop_back();
    ++served;
    for (const Action& a : g.End(id, "s0", AttemptResult::kServed, 10)) {
      if (const auto* send = std::get_if<Send>(&a)) out.push_back(send->request);
    }
  }
  EXPECT_GT(served, 30);
}

TEST(Queues, FullOneRefuses) {
  Gateway g;
  int refused = 0;
  for (int i = 0; i < 5000; ++i) refused += Gateway::Count<Reject>(g.Ask("r" + std::to_string(i)));
  EXPECT_GT(refused, 4000);
}

TEST(Tenants, TrafficWithinItsShareGoesFirst) {
  Settings s = MakeSettings();
  s.tenants = {{"small", 10}, {"big", 10}};
  Gateway g(s);
  for (int i = 0; i < 20; ++i) g.Ask("big" + std::to_string(i), "view", 2000, "big");
  g.now += 150;
  g.Ask("small", "view", 2000, "small");
  g.Servers(1);
  // Big's own share is in front, small comes before what big sent beyond it.
  ASSERT_FALSE(g.sent.empty());
  std::vector<std::string> order;
  for (std::size_t i = 0; i < g.sent.size(); ++i) {
    order.push_back(g.sent[i].request);
    g.End(g.sent[i].request, "s0", AttemptResult::kServed, 20);
  }
  const auto at = std::find(order.begin(), order.end(), "small") - order.begin();
  EXPECT_LE(at, 12);
  EXPECT_EQ(order.size(), 21u);
}

TEST(Tenants, UnknownOneCountsAsBeyondAnyShareAndIsStillServed) {
  Settings s = MakeSettings();
  s.tenants = {{"known", 100}};
  Gateway g(s);
  g.Ask("stranger", "view", 2000, "nobody");
  g.Ask("guest", "view", 2000, "known");
  g.Servers(1);
  g.Pass(10);
  ASSERT_EQ(g.sent.size(), 2u);
  EXPECT_EQ(g.sent[0].request, "guest");
}

TEST(Events, NonFiniteNumbersNeverReachAnEstimate) {
  Gateway g;
  EndpointInfo odd = MakeServer("s0");
  odd.weight = std::numeric_limits<double>::quiet_NaN();
  g.List({odd, MakeServer("s1")});
  Request r;
  r.id = "nan";
  r.class_name = "view";
  r.time_left = std::numeric_limits<double>::infinity();
  const std::string server = Gateway::SentTo(g.Do(r));
  g.End("nan", server, AttemptResult::kServed, std::numeric_limits<double>::quiet_NaN());
  g.Serve(50);
  EXPECT_GE(g.sent.size(), 50u);
  for (const Send& send : g.sent) EXPECT_TRUE(send.timeout > 0 && send.timeout < 1e6);
}

TEST(Events, OutcomeToldTwiceOrOfNoAttemptChangesNothing) {
  Gateway g;
  g.Servers(2);
  const std::string server = Gateway::SentTo(g.Ask("a", "pay"));
  EXPECT_EQ(Gateway::Count<Fail>(g.End("a", server, AttemptResult::kError, 5)), 1);
  EXPECT_TRUE(g.End("a", server, AttemptResult::kError, 5).empty());
  const std::string other = Gateway::SentTo(g.Ask("b"));
  for (const int attempt : {-1, 1, 1000000})
    EXPECT_TRUE(g.End("b", other, AttemptResult::kServed, 5, attempt).empty());
  g.End("b", other, AttemptResult::kServed, 5);
  EXPECT_TRUE(g.Do(ClientDisconnected{"b"}).empty());
  EXPECT_TRUE(g.Do(ResponseStarted{"b", 0}).empty());
}

TEST(Events, OddTimesNeitherStopTheClockNorLoseARequest) {
  const double nan = std::numeric_limits<double>::quiet_NaN();
  for (const double odd : {nan, -1e12}) {
    Gateway g;
    g.now = odd;  // the first event of all already
    g.Servers(2);
    g.now = 5000;
    const std::string server = Gateway::SentTo(g.Ask("a"));
    ASSERT_FALSE(server.empty());
    g.now = odd;
    g.End("a", server, AttemptResult::kServed, -7);
    g.List({});
    EXPECT_EQ(Gateway::Count<Send>(g.Ask("held")), 0);
    g.now = 5000;
    EXPECT_EQ(Gateway::Count<Reject>(g.Pass(300)), 1);
  }
}

TEST(Events, ClockThatStandsStillNeitherCrashesNorFloods) {
  Gateway g;
  g.Servers(3);
  int sent = 0, refused = 0;
  for (int i = 0; i < 3000; ++i) {
    for (const Action& a : g.Ask("r" + std::to_string(i))) {
      sent += std::holds_alternative<Send>(a);
      refused += std::holds_alternative<Reject>(a);
    }
  }
  EXPECT_GT(sent, 0);
  EXPECT_GT(refused, 0);
  EXPECT_EQ(Gateway::Count<Reject>(g.Pass(300)), 3000 - sent - refused);
}

TEST(Events, EmptyAndStaleListsSendNothingToWhoeverIsGone) {
  Gateway g;
  g.Servers(3);
  g.List({});
  EXPECT_EQ(Gateway::SentTo(g.Ask("a")), "");
  g.List({MakeServer("s1", "0", 50)});
  EXPECT_EQ(Gateway::Count<Reject>(g.Pass(300)) + static_cast<int>(g.sent.size()), 1);
  g.Do(EndpointListEvent{EndpointListEvent::Kind::kFailure, {}});
  EXPECT_NE(Gateway::SentTo(g.Ask("b")), "s0");
}

TEST(Pick, PrefersTheFasterServer) {
  Gateway g;
  g.Servers(2);
  std::map<std::string, int> taken;
  for (int i = 0; i < 200; ++i) {
    const std::string id = "r" + std::to_string(i);
    const std::string server = Gateway::SentTo(g.Ask(id));
    const Millis latency = server == "s0" ? 20 : 200;
    taken[server]++;
    g.now += latency;
    g.End(id, server, AttemptResult::kServed, latency);
  }
  EXPECT_GT(taken["s0"], 5 * taken["s1"]);
}

TEST(Pick, FastErrorsDoNotLookFast) {
  Settings s = MakeSettings();
  Gateway g(s);
  g.Servers(3);
  g.Serve(60);
  int bad = 0;
  for (int i = 0; i < 100; ++i) {
    const std::string id = "r" + std::to_string(i);
    const std::string server = Gateway::SentTo(g.Ask(id, "pay"));
    bad += server == "s1";
    g.now += server == "s1" ? 1 : 50;
    g.End(id, server, server == "s1" ? AttemptResult::kError : AttemptResult::kServed,
          server == "s1" ? 1 : 50);
  }
  EXPECT_LT(bad, 10);
}

TEST(Ready, CrowdedServerHoldsRequestsBack) {
  Gateway g;
  g.Servers(1);
  g.Serve(40);
  int out = 0;
  for (int i = 0; i < 200; ++i) out += Gateway::Count<Send>(g.Ask("r" + std::to_string(i)));
  EXPECT_GE(out, 1);
  EXPECT_LT(out, 60);
}

// The hang test's fleet: three servers of settled latency, then s0 stays silent.
// Eight requests each 20 ms; s0 answers nothing, so what it has times out after 100 ms. Returns how
// many it was sent in the last second, and whether the rate was cut.
std::pair<int, bool> SentToHungServer(int servers) {
  Gateway g;
  g.Servers(servers);
  g.Serve(50 * servers);
  bool cut = false;
  int last = 0;
  std::deque<std::pair<Millis, std::string>> stuck;
  for (int round = 0; round < 150; ++round) {
    std::map<std::string, std::string> sent;
    for (int i = 0; i < 8; ++i) {
      const std::string id = "r" + std::to_string(round) + "." + std::to_string(i);
      if (const std::string to = Gateway::SentTo(g.Ask(id, "pay")); !to.empty()) sent[id] = to;
    }
    cut |= Gateway::Logged(g.Pass(20), "rate cut");
    for (const auto& [id, to] : sent) {
      if (to == "s0") {
        stuck.emplace_back(g.now + 80, id);
        last += round >= 100;
      } else {
        cut |= Gateway::Logged(g.End(id, to, AttemptResult::kServed, 20), "rate cut");
      }
    }
    for (; !stuck.empty() && stuck.front().first <= g.now; stuck.pop_front()) {
      cut |= Gateway::Logged(g.End(stuck.front().second, "s0", AttemptResult::kTimedOut, 100), "rate cut");
    }
  }
  return {last, cut};
}

TEST(Hang, ServerWhoseRequestsTimeOutIsLeftAlone) { EXPECT_LE(SentToHungServer(3).first, 2); }

TEST(Hang, OneHungServerDoesNotCutTheRate) { EXPECT_FALSE(SentToHungServer(4).second); }

// Three requests each 10 ms to three servers; all are answered in 10 ms but for one in thirty that gets no
// answer in 250 ms, whichever server has it.
TEST(Hang, RequestsThatGetNoAnswerAmongOthersThatDoHoldBackNoFurtherOnes) {
  Gateway g;
  g.Servers(3);
  g.Serve(100, 10);
  std::deque<std::tuple<Millis, std::string, std::string>> silent;
  int asked = 0, direct = 0;
  for (int round = 0; round < 1000; ++round) {
    std::map<std::string, std::string> sent;
    for (int i = 0; i < 3; ++i) {
      const std::string id = "r" + std::to_string(++asked);
      const std::string to = Gateway::SentTo(g.Ask(id, "pay"));
      if (to.empty()) continue;
      ++direct;
      if (asked % 31 == 0) {
        silent.emplace_back(g.now + 250, id, to);
      } else {
        sent[id] = to;
      }
    }
    g.Pass(10);
    for (const auto& [id, to] : sent) g.End(id, to, AttemptResult::kServed, 10);
    for (; !silent.empty() && std::get<0>(silent.front()) <= g.now; silent.pop_front()) {
      g.End(std::get<1>(silent.front()), std::get<2>(silent.front()), AttemptResult::kTimedOut, 250);
    }
  }
  EXPECT_GE(direct, asked * 99 / 100);
}

TEST(Hang, TrialThatTheFilledServerTurnsAwayIsNotRepeatedAtOnce) {
  Gateway g;
  g.Servers(3);
  g.Serve(60);
  int hung = 0;
  for (int i = 0; i < 400; ++i) {
    const std::string id = "r" + std::to_string(i);
    const std::string to = Gateway::SentTo(g.Ask(id));
    g.Pass(10);
    if (to == "s0") {  // silent at first, then full
      const bool silent = ++hung < 4;
      if (silent) g.now += 200;
      g.End(id, to, silent ? AttemptResult::kTimedOut : AttemptResult::kRejected, silent ? 200 : 1);
    } else if (!to.empty()) {
      g.End(id, to, AttemptResult::kServed, 10);
    }
  }
  EXPECT_LT(hung, 15);
}

TEST(Rate, FailuresSpreadOverServersCutIt) {
  Gateway g;
  g.Servers(4);
  g.Serve(100);
  bool cut = false;
  for (int i = 0; i < 60; ++i) {
    const std::string id = "r" + std::to_string(i);
    const std::string server = Gateway::SentTo(g.Ask(id, "pay"));
    g.now += 30;
    if (server.empty()) continue;
    cut |= Gateway::Logged(g.End(id, server, i % 2 ? AttemptResult::kError : AttemptResult::kServed, 30),
                           "rate cut");
  }
  EXPECT_TRUE(cut);
}

// For a tenth of a second half of all requests get no answer, on all servers alike. They time out one by one
// after 200 to 800 ms, and belong to the rate that the first of them cut.
TEST(Rate, AttemptsOfBeforeACutDoNotCutItAgain) {
  Gateway g;
  g.Servers(8);
  g.Serve(200, 20);
  int cuts = 0, asked = 0;
  std::map<Millis, std::vector<std::tuple<std::string, std::string, Millis>>> out;  // by the time they end
  for (int step = 0; step < 120; ++step) {
    for (int i = 0; i < 4 && step < 20; ++i) {
      const std::string id = "r" + std::to_string(asked++);
      const std::string to = Gateway::SentTo(g.Ask(id, "pay"));
      const bool silent = step >= 10 && step < 20 && asked % 2 == 0;
      const Millis takes = silent ? 200 + asked * 37 % 600 : 20;
      if (!to.empty()) out[g.now + takes].emplace_back(id, to, takes);
    }
    cuts += Gateway::Logged(g.Pass(10), "rate cut");
    for (; !out.empty() && out.begin()->first <= g.now; out.erase(out.begin())) {
      for (const auto& [id, to, takes] : out.begin()->second) {
        const AttemptResult result = takes > 20 ? AttemptResult::kTimedOut : AttemptResult::kServed;
        cuts += Gateway::Logged(g.End(id, to, result, takes), "rate cut");
      }
    }
  }
  EXPECT_EQ(cuts, 1);
}

// Sixteen requests each 20 ms to four servers; of the answers of s0, and of those of the others, so many
// in a hundred break on the way. Returns the lines logged, and how many s0 was sent in the last second.
std::pair<std::vector<std::string>, int> WithBrokenConnections(unsigned of_s0, unsigned of_others) {
  Gateway g;
  g.Servers(4);
  g.Serve(100, 10);
  std::mt19937 dice(7);
  std::vector<std::string> lines;
  int last = 0;
  const auto keep = [&](const std::vector<Action>& actions) {
    for (const Action& a : actions) {
      if (const auto* log = std::get_if<LogLine>(&a); log && !log->text.starts_with("state")) {
        lines.push_back(log->text);
      }
    }
  };
  for (int round = 0; round < 400; ++round) {
    std::map<std::string, std::string> sent;
    for (int i = 0; i < 16; ++i) {
      const std::string id = "r" + std::to_string(round) + "." + std::to_string(i);
      if (const std::string to = Gateway::SentTo(g.Ask(id, "pay")); !to.empty()) sent[id] = to;
    }
    keep(g.Pass(20));
    for (const auto& [id, to] : sent) {
      last += round >= 350 && to == "s0";
      const bool broken = dice() % 100 < (to == "s0" ? of_s0 : of_others);
      keep(g.End(id, to, broken ? AttemptResult::kReset : AttemptResult::kServed, 20));
    }
  }
  return {lines, last};
}

TEST(Reset, ConnectionsThatBreakEverywhereNeitherCutTheRateNorEjectServers) {
  EXPECT_EQ(WithBrokenConnections(12, 12).first, std::vector<std::string>());
}

TEST(Reset, ServerThatBreaksAllItsConnectionsIsLeftAlone) {
  EXPECT_LE(WithBrokenConnections(100, 0).second, 2);
}

TEST(Reset, ServerThatBreaksMostOfItsConnectionsIsLeftAlone) {
  EXPECT_LE(WithBrokenConnections(80, 0).second, 20);
}

// Eight requests each 20 ms to eight servers, of which s0 drains from some moment on, though the list does
// not tell yet: it turns all away at once.
TEST(Rejected, ServerThatTurnsAllAwayIsLeftAloneAndDoesNotCutTheRate) {
  Gateway g;
  g.Servers(8);
  g.Serve(200, 20);
  int rejected = 0;
  bool cut = false;
  for (int round = 0; round < 150; ++round) {
    std::map<std::string, std::string> sent;
    for (int i = 0; i < 8; ++i) {
      const std::string id = "r" + std::to_string(round) + "." + std::to_string(i);
      std::string to = Gateway::SentTo(g.Ask(id));
      for (int attempt = 0; to == "s0"; ++attempt) {
        ++rejected;
        const auto then = g.End(id, to, AttemptResult::kRejected, 1, attempt);
        cut |= Gateway::Logged(then, "rate cut");
        to = Gateway::SentTo(then);
      }
      if (!to.empty()) sent[id] = to;
    }
    g.Pass(20);
    for (const auto& [id, to] : sent) {
      const auto done =
          std::count_if(g.sent.begin(), g.sent.end(), [&](const Send& s) { return s.request == id; });
      g.End(id, to, AttemptResult::kServed, 20, static_cast<int>(done) - 1);
    }
  }
  EXPECT_LE(rejected, 20);  // 3 s
  EXPECT_FALSE(cut);
}

// Ten requests each 20 ms to four servers, one of them unsafe; for 8 s s0 and s1 answer those with an error.
// Returns how many of them failed, and how many reached s0 in the 8 s after that.
std::pair<int, int> WithErrorsOfOneClass() {
  Gateway g;
  g.Servers(4);
  g.Serve(200, 10);
  int failed = 0, later = 0;
  for (int round = 0; round < 800; ++round) {
    std::map<std::string, std::string> sent;
    for (int i = 0; i < 10; ++i) {
      const std::string id = (i == 0 ? "pay" : "view") + std::to_string(round) + "." + std::to_string(i);
      if (const std::string to = Gateway::SentTo(g.Ask(id, i == 0 ? "pay" : "view")); !to.empty())
        sent[id] = to;
    }
    g.Pass(20);
    for (const auto& [id, to] : sent) {
      const bool pays = id[0] == 'p';
      const bool fails = pays && round < 400 && to < "s2";
      failed += fails;
      later += pays && round >= 400 && to == "s0";
      g.End(id, to, fails ? AttemptResult::kError : AttemptResult::kServed, 20);
    }
  }
  return {failed, later};
}

TEST(Error, ServersThatFailOneClassAreSparedForItAndComeBack) {
  const auto [failed, later] = WithErrorsOfOneClass();
  EXPECT_LE(failed, 20);  // of 400
  EXPECT_GE(later, 40);
}

TEST(Error, ClassThatAllServersFailIsStillSent) {
  Gateway g;
  g.Servers(4);
  std::set<std::string> failed;
  for (int i = 0; i < 5; ++i) {
    g.Serve(30, 1);  // answers of the other class in between keep all servers trusted
    const std::string id = "pay" + std::to_string(i);
    const std::string to = Gateway::SentTo(g.Ask(id, "pay"));
    ASSERT_NE(to, "") << i;
    EXPECT_EQ(failed.insert(to).second, i < 4) << i;  // each once, within the 300 ms that one is spared
    g.End(id, to, AttemptResult::kError, 1);
  }
}

TEST(Retry, RejectedRequestGoesToAnotherServer) {
  Gateway g;
  g.Servers(2);
  const std::string first = Gateway::SentTo(g.Ask("a", "pay"));
  const std::string second = Gateway::SentTo(g.End("a", first, AttemptResult::kRejected, 1));
  EXPECT_FALSE(second.empty());
  EXPECT_NE(first, second);
}

TEST(Retry, UnsafeRequestThatMayHaveRunFails) {
  Gateway g;
  g.Servers(2);
  const std::string first = Gateway::SentTo(g.Ask("a", "pay"));
  const auto actions = g.End("a", first, AttemptResult::kError, 1);
  EXPECT_EQ(Gateway::Count<Send>(actions), 0);
  EXPECT_EQ(Gateway::Count<Fail>(actions), 1);
}

TEST(Retry, KeyedRequestThatMayHaveRunStaysInItsCell) {
  for (int seed = 0; seed < 20; ++seed) {
    Gateway g(MakeSettings(), seed);
    g.List({MakeServer("a0", "0"), MakeServer("a1", "0"), MakeServer("b0", "1"), MakeServer("b1", "1")});
    const std::string first = Gateway::SentTo(g.Ask("a", "key"));
    const std::string second = Gateway::SentTo(g.End("a", first, AttemptResult::kError, 1));
    ASSERT_FALSE(second.empty());
    EXPECT_EQ(first[0], second[0]);
    EXPECT_NE(first, second);
  }
}

TEST(Retry, KeyedRequestOfAZoneGroupStaysInItsZone) {
  Settings s = MakeSettings();
  s.classes[1].deduplication_scope = DeduplicationScope::kZone;
  const auto server = [](std::string id, std::string zone, std::string cell) {
    EndpointInfo made = MakeServer(std::move(id), std::move(cell));
    made.zone = std::move(zone);
    return made;
  };
  int moved = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Gateway g(s, seed);
    g.List({server("a0", "a", "0"), server("a1", "a", "1"), server("b0", "b", "0"), server("b1", "b", "1")});
    const std::string first = Gateway::SentTo(g.Ask("r", "key"));
    g.now += 20;
    g.End("r", first, AttemptResult::kError, 20);
    if (g.sent.size() < 2) continue;
    ++moved;
    EXPECT_EQ(g.sent[1].endpoint[0], first[0]) << "another zone does not drop the repeat";
    EXPECT_NE(g.sent[1].endpoint, first);
  }
  EXPECT_GT(moved, 10);
}

TEST(Retry, BudgetBoundsFurtherAttempts) {
  Gateway g;
  g.Servers(300);
  g.Serve(200);
  int first = 0, further = 0;
  for (int i = 0; i < 400; ++i) {
    const std::string id = "r" + std::to_string(i);
    const std::string server = Gateway::SentTo(g.Ask(id));
    g.now += 20;
    if (server.empty()) continue;
    ++first;
    std::string next;
    for (const Action& a : g.End(id, server, AttemptResult::kRejected, 20)) {
      const auto* send = std::get_if<Send>(&a);
      if (send != nullptr && send->request == id) next = send->endpoint;
    }
    if (next.empty()) continue;
    ++further;
    g.now += 20;
    g.End(id, next, AttemptResult::kServed, 20, 1);
  }
  EXPECT_GT(first, 100);
  EXPECT_GT(further, 0);
  EXPECT_LT(further, 0.1 * (first + 200) + 2);
}

TEST(Drain, NothingNewGoesToDrainingOrGoneOrUnlistedServers) {
  Gateway g;
  g.Servers(3);
  EndpointInfo draining = MakeServer("s0");
  draining.state = EndpointState::kDraining;
  g.Do(EndpointListEvent{EndpointListEvent::Kind::kDelta, {draining}});
  for (int i = 0; i < 6; ++i) EXPECT_NE(Gateway::SentTo(g.Ask("a" + std::to_string(i))), "s0");
  g.List({MakeServer("s2")});
  for (int i = 0; i < 4; ++i) {
    const std::string to = Gateway::SentTo(g.Ask("b" + std::to_string(i)));
    EXPECT_TRUE(to.empty() || to == "s2");
  }
}

TEST(Cold, StartedServerGetsOnlyItsPart) {
  Settings s = MakeSettings();
  Gateway g(s);
  g.now = 100000;
  g.List({MakeServer("s0"), MakeServer("s1"), MakeServer("new", "0", g.now)});
  auto taken = g.Serve(200, 10);  // 2 s
  EXPECT_GE(taken["new"], 1);
  // By now it surely has 0.36 of its capacity; a warm server took about half of all.
  EXPECT_LT(taken["new"], 0.36 * taken["s0"] + 1);
}

TEST(Cold, ServerThatCouldNotBeReachedIsTreatedAsColdWhenItAnswersAgain) {
  Gateway g;
  g.now = 100000;
  g.Servers(3);
  g.Serve(90, 10);
  int failed = 0;
  g.now += 1100;
  for (int i = 0; i < 100 && failed < 2; ++i) {
    const std::string id = "f" + std::to_string(i);
    const std::string server = Gateway::SentTo(g.Ask(id, "pay"));
    g.now += 10;
    if (server == "s0") ++failed;
    g.End(id, server, server == "s0" ? AttemptResult::kConnectFailed : AttemptResult::kServed, 10);
  }
  g.now += 1000;
  auto taken = g.Serve(300, 10);
  EXPECT_GE(taken["s0"], 1);
  EXPECT_LT(taken["s0"], 75);  // a quarter of all: far from the third that it would take warm
}

TEST(Cold, FailedConnectionsOfAServerThatJustAnsweredDoNotMakeItCold) {
  Gateway g;
  g.now = 100000;
  g.Servers(3);
  g.Serve(90, 10);
  int taken = 0, failed = 0;
  for (int i = 0; i < 600; ++i) {
    const std::string id = "r" + std::to_string(i);
    const std::string server = Gateway::SentTo(g.Ask(id));
    g.now += 10;
    if (i >= 300) taken += server == "s0";
    if (server == "s0" && failed < 2) {
      ++failed;
      const std::string next = Gateway::SentTo(g.End(id, server, AttemptResult::kConnectFailed, 10));
      if (!next.empty()) g.End(id, next, AttemptResult::kServed, 10, 1);
    } else if (!server.empty()) {
      g.End(id, server, AttemptResult::kServed, 10);
    }
  }
  EXPECT_EQ(failed, 2);
  EXPECT_GT(taken, 75);
}

TEST(Ready, SpareTrafficLeavesBusyServersAlone) {
  Settings s = MakeSettings();
  s.tenants = {{"small", 1000}, {"big", 0.001}};
  s.load_report_fields = {"util"};
  const auto taken = [&](const char* tenant, double utilisation) {
    Gateway g(s);
    g.Servers(1);
    for (int i = 0; i < 100; ++i) {
      const std::string id = "w" + std::to_string(i);
      g.Ask(id, "view", 2000, "small");
      g.now += 20;
      g.Do(AttemptOutcome{id, 0, "s0", AttemptResult::kServed, true, 20, {utilisation}});
    }
    int out = 0;
    g.Ask("own", "view", 2000, "big");  // uses up big's share, if any
    g.End("own", "s0", AttemptResult::kServed, 20);
    for (int i = 0; i < 30; ++i) {
      out += Gateway::Count<Send>(g.Ask("r" + std::to_string(i), "view", 2000, tenant));
    }
    return out;
  };
  EXPECT_GE(taken("small", 0.8), 2);
  EXPECT_LT(taken("big", 0.8), taken("small", 0.8));
  EXPECT_EQ(taken("big", 0.3), taken("small", 0.3));
}

// Serves requests one after the other with the server's report of its utilisation, then counts how
// many it is given at once.
int TakenAfterReports(double utilisation, double first = 0.5) {
  constexpr int kReports = 60;
  Settings s = MakeSettings();
  s.load_report_fields = {"inflight", "util"};
  Gateway g(s);
  g.Servers(1);
  int given = 0;
  for (int i = 0; given < kReports && i < 20 * kReports; ++i) {
    const std::string id = "r" + std::to_string(i);
    const bool sent = !Gateway::SentTo(g.Ask(id)).empty();
    g.Pass(50);
    if (!sent) continue;
    g.Do(
        AttemptOutcome{id, 0, "s0", AttemptResult::kServed, true, 50, {3, given == 0 ? first : utilisation}});
    ++given;
  }
  g.Pass(5000);
  int out = 0;
  for (int i = 0; i < 30; ++i) out += Gateway::Count<Send>(g.Ask("burst" + std::to_string(i)));
  return out;
}

TEST(Ready, ServerThatReportsItselfBusyIsGivenLessThoughItsLatencyIsLevel) {
  const int calm = TakenAfterReports(0.5);
  const int busy = TakenAfterReports(1.0);
  EXPECT_GE(calm, 2);
  EXPECT_EQ(busy, 1);  // never none: a server that gets nothing could not show that it recovered
}

TEST(Ready, ManyGatewaysLeaveMoreOfAServerFree) {
  // 0.85 busy is fine for few gateways, and too much where eight decide without each other.
  const auto sends = [](double utilisation) {
    Settings s = MakeSettings();
    s.gateway_count = 8;
    s.load_report_fields = {"util"};
    Gateway g(s);
    g.Servers(1);
    std::size_t answered = 0;
    for (int i = 0; i < 4000; ++i) {
      g.Ask("r" + std::to_string(i));
      g.Pass(50);
      for (; answered < g.sent.size(); ++answered) {
        g.Do(AttemptOutcome{
            g.sent[answered].request, 0, "s0", AttemptResult::kServed, true, 50, {utilisation}});
      }
    }
    return answered;
  };
  EXPECT_GT(sends(0.6), 2 * sends(0.85)) << sends(0.85);
}

TEST(Ready, ReportsThatAreShortOrNotNumbersAreSkipped) {
  const double nan = std::numeric_limits<double>::quiet_NaN();
  EXPECT_EQ(TakenAfterReports(1.0, nan), 1);  // later reports still count
  EXPECT_EQ(TakenAfterReports(1.0, -1e9), 1);
  Settings s = MakeSettings();
  s.load_report_fields = {"inflight", "util"};
  Gateway g(s);
  g.Servers(1);
  g.Ask("short");
  g.Do(AttemptOutcome{"short", 0, "s0", AttemptResult::kServed, true, 50, {3}});
  EXPECT_FALSE(Gateway::SentTo(g.Ask("next")).empty());
}

TEST(Ready, FirstLimitIsHigherWhereKeysWarmServersAndLowWhereReportsSoonShowRoom) {
  const auto taken = [](bool endpoints_cache_keys, bool reports) {
    Settings s = MakeSettings();
    s.endpoints_cache_keys = endpoints_cache_keys;
    if (reports) s.load_report_fields = {"util"};
    Gateway g(s);
    g.Servers(1);
    int out = 0;
    for (int i = 0; i < 40; ++i) out += Gateway::Count<Send>(g.Ask("r" + std::to_string(i)));
    return out;
  };
  EXPECT_GT(taken(true, false), taken(false, false));
  EXPECT_LT(taken(false, true), taken(false, false));
}

TEST(Queues, FurtherTryWhoseAimHasPassedGoesLast) {
  Settings s = MakeSettings();  // aim 1000 of a deadline of 2000
  s.classes[0].late_weight = 0.5;
  Gateway g(s);
  g.Ask("first", "view", 2000);
  g.Ask("late", "view", 900);    // 1100 have passed since its first try
  g.Ask("again", "view", 1500);  // still to be answered within its aim
  g.Ask("new", "view", 2000);
  g.Servers(1);
  g.Pass(10);
  for (int i = 0; i < 40 && g.sent.size() < 4; ++i) {
    const std::string id = g.sent.back().request;
    g.now += 20;
    g.End(id, "s0", AttemptResult::kServed, 20);
  }
  ASSERT_EQ(g.sent.size(), 4u);
  EXPECT_EQ(g.sent[0].request, "first");
  EXPECT_EQ(g.sent[1].request, "again");
  EXPECT_EQ(g.sent[2].request, "new");
  EXPECT_EQ(g.sent[3].request, "late");
}

TEST(Queues, FurtherTryThatCanEarnNothingIsRefusedAtOnce) {
  Settings s = MakeSettings();  // aim 1000 of a deadline of 2000, no worth after the aim
  Gateway g(s);
  g.Servers(3);
  g.Serve(5);
  EXPECT_EQ(Gateway::Count<Reject>(g.Ask("late", "view", 900)), 1);
  EXPECT_EQ(Gateway::Count<Send>(g.Ask("again", "view", 1500)), 1);
  s.classes[0].late_weight = 0.5;
  Gateway earns(s);
  earns.Servers(3);
  earns.Serve(5);
  EXPECT_EQ(Gateway::Count<Send>(earns.Ask("late", "view", 900)), 1);
}

TEST(Tenants, SmallShareOfOneGatewayOfManyBearsChance) {
  Settings s = MakeSettings();
  s.gateway_count = 300;
  s.tenants = {{"t", 30}};  // 0.1 a second here
  Gateway g(s);
  g.Servers(3);
  // Failures of another tenant make all that is beyond a share wait.
  for (int i = 0; i < 20; ++i) {
    const std::string id = "f" + std::to_string(i);
    if (const std::string to = Gateway::SentTo(g.Ask(id, "pay", 2000, "other")); !to.empty()) {
      g.now += 50;
      g.End(id, to, AttemptResult::kError, 50);
    }
  }
  g.now += 20000;
  EXPECT_EQ(Gateway::Count<Send>(g.Ask("a", "view", 2000, "t")), 1);
  EXPECT_EQ(Gateway::Count<Send>(g.Ask("b", "view", 2000, "t")), 1);
  EXPECT_EQ(Gateway::Count<Send>(g.Ask("spare", "view", 2000, "other")), 0);
}

TEST(Queues, FirstTriesThatAreAllShortAreNotTakenForFurtherOnes) {
  Settings s = MakeSettings();
  s.classes[0].late_weight = 0.5;
  Gateway g(s);
  g.Ask("short", "view", 900);  // a gateway whose clients all give up early
  g.Ask("longer", "view", 902);
  g.Ask("late", "view", 500);
  g.Ask("last", "view", 898);
  g.Servers(1);
  g.Pass(10);
  for (int i = 0; i < 40 && g.sent.size() < 4; ++i) {
    g.now += 20;
    g.End(g.sent.back().request, "s0", AttemptResult::kServed, 20);
  }
  ASSERT_EQ(g.sent.size(), 4u);
  EXPECT_EQ(g.sent[2].request, "last");
  EXPECT_EQ(g.sent[3].request, "late");
}

TEST(List, FailedWatchIsAskedForAgainWithoutAStampede) {
  Settings s = MakeSettings();
  s.poll_endpoint_list = true;
  Gateway g(s);
  int watches =
      Gateway::Count<WatchEndpointList>(g.Do(EndpointListEvent{EndpointListEvent::Kind::kSnapshot, {}}));
  EXPECT_EQ(watches, 1);
  for (int i = 0; i < 6; ++i) {
    g.Do(EndpointListEvent{EndpointListEvent::Kind::kFailure, {}});
    const int asked = Gateway::Count<WatchEndpointList>(g.Pass(5000));
    EXPECT_EQ(asked, 1);
  }
}

// Lists that are pushed come by a watch as well, from an agent beside the gateway: what it has counts as told
// at once, whether or not a watch is open. So a failed one is made again within 100 ms, however often it
// failed and however many gateways there are; still not by all of them in one moment.
TEST(List, PushedOneIsAskedForAgainAtOnceAndAtTimesOfItsOwn) {
  Settings s = MakeSettings();
  s.gateway_count = 300;
  std::set<int> at;
  for (s.gateway_index = 0; s.gateway_index < 40; ++s.gateway_index) {
    Gateway g(s, s.gateway_index);
    g.Servers(3);
    EXPECT_EQ(Gateway::Count<WatchEndpointList>(g.Pass(5000)), 0);
    for (int failure = 0; failure < 6; ++failure) {
      g.Do(EndpointListEvent{EndpointListEvent::Kind::kFailure, {}, failure < 3 ? 0.0 : 3500.0});
      int waited = 0;
      while (waited < 20 && Gateway::Count<WatchEndpointList>(g.Pass(10)) == 0) ++waited;
      EXPECT_LT(waited, 11) << "hundredths of a second, failure " << failure;
      if (failure == 0) at.insert(waited);
    }
  }
  EXPECT_GT(at.size(), 7u);
}

// Where lists are asked for, news counts as told 6 s after discovery had it, whatever calls failed: the next
// call begins 4.5 s after the failed one did, be that the first or the eighth, one of a few gateways or of
// many.
TEST(List, FailedCallIsMadeAgainInTimeHoweverItFailed) {
  Settings s = MakeSettings();
  s.poll_endpoint_list = true;
  for (const Millis maximum_poll_interval : {5000.0, 10000.0, 60000.0}) {
    s.maximum_poll_interval = maximum_poll_interval;
    for (s.gateway_count = 1; s.gateway_count <= 1000; s.gateway_count *= 10) {
      for (const Millis took : {0.0, 1000.0, 2000.0, 3500.0, 9000.0}) {
        Gateway g(s, 7);
        g.Servers(3);
        EXPECT_LE(Gateway::Count<WatchEndpointList>(g.Pass(4510)), 1);
        for (int failure = 0; failure < 8; ++failure) {
          g.now += took;
          g.Do(EndpointListEvent{EndpointListEvent::Kind::kFailure, {}, took});
          const int asked = Gateway::Count<WatchEndpointList>(g.Pass(std::max(0.0, 4500 - took) + 20));
          EXPECT_EQ(asked, 1) << s.gateway_count << " gateways, failure " << failure << " after " << took
                              << " ms";
        }
      }
    }
  }
}

// A keyed request that may have run is sent again only while a repeat still arrives within its window:
// neither decided, nor written behind a dial, too late for that.
TEST(Rules, KeyedRepeatArrivesWithinItsWindow) {
  for (const Millis window : {50.0, 400.0, 5000.0}) {
    Settings s = MakeSettings();
    s.classes[1].deduplication_window = window;
    s.classes[1].deduplication_scope = DeduplicationScope::kAll;
    for (Millis taken = 10; taken < window + 200; taken += window / 8) {
      Gateway g(s);
      g.Servers(3);
      g.Serve(20, 5, "key");
      const std::string first = Gateway::SentTo(g.Ask("k", "key", 20000));
      const std::size_t sent = g.sent.size();
      g.now += taken;
      g.End("k", first, AttemptResult::kReset, taken);
      g.Pass(20);
      if (taken >= window - 100) {
        EXPECT_EQ(g.sent.size(), sent) << window << " " << taken;
      }
      if (g.sent.size() == sent) continue;
      EXPECT_LE(taken + g.sent.back().start_writing_within, window - 100 + 20) << window << " " << taken;
    }
  }
}

// A hundred gateways whose calls fail at one moment ask a service that bears some twenty calls a second.
// Those that start at one moment spread as evenly, but within a second: a list that they were given may be
// older than their processes, and binds them 6 s after its changes were made.
TEST(List, ManyGatewaysThatStartTogetherSpreadTheirCalls) {
  Settings s = MakeSettings();
  s.poll_endpoint_list = true;
  s.gateway_count = 100;
  std::vector<int> started(10), again(100);  // calls in each 100 ms
  int quick = 0;
  for (s.gateway_index = 0; s.gateway_index < s.gateway_count; ++s.gateway_index) {
    Gateway g(s, s.gateway_index);
    quick += Gateway::Count<WatchEndpointList>(
        g.Do(EndpointListEvent{EndpointListEvent::Kind::kSnapshot, {MakeServer("s0")}}));
    for (int& calls : started) calls += Gateway::Count<WatchEndpointList>(g.Pass(100));
    g.Do(EndpointListEvent{EndpointListEvent::Kind::kFailure, {}});
    for (int& calls : again) calls += Gateway::Count<WatchEndpointList>(g.Pass(100));
  }
  EXPECT_LT(quick, 5);
  EXPECT_EQ(quick + std::accumulate(started.begin(), started.end(), 0), 100);  // each once, within a second
  EXPECT_LE(*std::max_element(started.begin(), started.end()), 12);
  EXPECT_EQ(std::accumulate(again.begin(), again.end(), 0), 100);  // each once, within 10 s
  EXPECT_LT(*std::max_element(again.begin(), again.end()), 10);
  Gateway unlisted(s);  // can serve nobody: asks at once
  EXPECT_EQ(Gateway::Count<WatchEndpointList>(
                unlisted.Do(EndpointListEvent{EndpointListEvent::Kind::kSnapshot, {}})),
            1);
  s.gateway_count = 1;
  Gateway alone(s);
  EXPECT_EQ(Gateway::Count<WatchEndpointList>(
                alone.Do(EndpointListEvent{EndpointListEvent::Kind::kSnapshot, {MakeServer("s0")}})),
            1);
}

// A zone is lost for 5 s. Its hosts leave the list 1 s into that; its gateways start anew at the end with the
// list of before, and are bound by the removal 6.5 s after it was made, grace included.
TEST(List, IsAskedForInTimeByGatewaysThatWereDownWhenItChanged) {
  constexpr Millis kDown = 5000, kRemovedAt = 1000, kBinds = 6000, kGrace = 500;
  Settings s = MakeSettings();
  s.poll_endpoint_list = true;
  s.gateway_count = 3100;
  for (s.gateway_index = 0; s.gateway_index < s.gateway_count; s.gateway_index += 31) {
    Gateway g(s, s.gateway_index);
    int calls = Gateway::Count<WatchEndpointList>(
        g.Do(EndpointListEvent{EndpointListEvent::Kind::kSnapshot, {MakeServer("lost")}}));
    calls += Gateway::Count<WatchEndpointList>(g.Pass(kRemovedAt + kBinds + kGrace - kDown));
    EXPECT_EQ(calls, 1) << "gateway " << s.gateway_index;
  }
}

TEST(WarmKeys, SameKeyKeepsToTheSameServersAtEveryGateway) {
  Settings s = MakeSettings();
  s.endpoints_cache_keys = true;
  std::map<std::string, std::set<std::string>> homes;
  for (int seed = 0; seed < 8; ++seed) {
    Gateway g(s, seed);
    g.Servers(8);
    for (int i = 0; i < 40; ++i) {
      Request r{"r" + std::to_string(i), "view", "", "key" + std::to_string(i % 10), 2000};
      const std::string server = Gateway::SentTo(g.Do(r));
      homes[r.key].insert(server);
      g.now += 20;
      g.End(r.id, server, AttemptResult::kServed, 20);
    }
  }
  for (const auto& [key, servers] : homes) EXPECT_LE(servers.size(), 2u) << key;
}

TEST(Queues, NoRequestWaitsMoreThanAQuarterOfItsTime) {
  Gateway g;  // no server yet; aim 1000
  g.Ask("a");
  EXPECT_EQ(Gateway::Count<Reject>(g.Pass(200)), 0);
  EXPECT_EQ(Gateway::Count<Reject>(g.Pass(70)), 1);
}

std::vector<EndpointInfo> Fleet(int n) {
  std::vector<EndpointInfo> servers;
  for (int i = 0; i < n; ++i) servers.push_back(MakeServer("s" + std::to_string(i)));
  return servers;
}

TEST(Subset, HundredsOfGatewaysSpreadEvenlyOverFewServersEach) {
  std::map<std::string, int> users;
  std::size_t most = 0;
  Settings s = MakeSettings();
  s.gateway_count = 300;
  for (s.gateway_index = 0; s.gateway_index < s.gateway_count; ++s.gateway_index) {
    Gateway g(s, s.gateway_index);
    g.List(Fleet(60));
    const auto taken = g.Serve(60, 200);
    for (const auto& [id, n] : taken) ++users[id];
    most = std::max(most, taken.size());
  }
  EXPECT_LE(most, 9u);
  ASSERT_EQ(users.size(), 60u);
  for (const auto& [id, n] : users) EXPECT_TRUE(n >= 20 && n <= 50) << id << " " << n;
}

TEST(Pick, HardlyMeasuredServerCountsAsItsKindWhereManyGatewaysShareIt) {
  const auto taken = [](int gateways) {
    int sent = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
      Settings s = MakeSettings();
      s.gateway_count = gateways;
      Gateway g(s, seed);
      auto fleet = Fleet(5);
      fleet[4].machine_type = "slow";
      g.List(fleet);
      const auto serve = [&](const std::string& id) {
        const std::string to = Gateway::SentTo(g.Ask(id));
        g.Pass(100);
        if (!to.empty()) g.End(id, to, AttemptResult::kServed, to < "s4" ? 20 : 100);
        return to;
      };
      for (int i = 0; i < 40; ++i) serve("w" + std::to_string(i));
      fleet.push_back(MakeServer("s5"));
      fleet[5].machine_type = "slow";
      g.List(fleet);
      for (int i = 0; i < 3; ++i) sent += serve("r" + std::to_string(i)) == "s5";
    }
    return sent;
  };
  EXPECT_GT(taken(1), 15);  // as fast as the median until it shows otherwise
  EXPECT_LT(taken(20), 12);
}

// A few servers are learned from a few requests; a gateway that most clients come to must not crowd them.
TEST(Subset, IsSmallForFewRequestsAndGrowsWithThoseThatAreOut) {
  Settings s = MakeSettings();
  s.gateway_count = 100;
  Gateway g(s);
  g.List(Fleet(60));
  EXPECT_LE(g.Serve(300, 66).size(), 8u);
  std::set<std::string> used;
  std::size_t ended = g.sent.size();
  for (int i = 0; i < 500; ++i) {  // 20 at a time
    g.Ask("busy" + std::to_string(i));
    g.now += 20;
    g.Do(TimerFired{"sweep"});
    for (; ended + 20 < g.sent.size(); ++ended) {
      g.End(g.sent[ended].request, g.sent[ended].endpoint, AttemptResult::kServed, 400);
      if (i > 400) used.insert(g.sent[ended].endpoint);
    }
  }
  EXPECT_GT(used.size(), 30u);
}

// Crossings are priced; but no server may be left to few gateways, or to many, for where it stands.
TEST(Subset, HoldsMoreOfItsOwnZoneAndLoadsTheServersAlike) {
  Settings s = MakeSettings();
  s.gateway_count = 99;
  auto fleet = Fleet(60);
  for (int i = 0; i < 60; ++i) fleet[i].zone = "z" + std::to_string(i / 20);
  std::map<std::string, int> taken;
  int near = 0, all = 0;
  for (s.gateway_index = 0; s.gateway_index < s.gateway_count; ++s.gateway_index) {
    s.zone = "z" + std::to_string(s.gateway_index % 3);
    Gateway g(s, s.gateway_index);
    g.List(fleet);
    for (const auto& [id, n] : g.Serve(100, 50)) {
      taken[id] += n;
      all += n;
      near += std::stoi(id.substr(1)) / 20 == s.gateway_index % 3 ? n : 0;
    }
  }
  EXPECT_GT(near, 0.7 * all);
  EXPECT_LT(near, 0.9 * all);
  EXPECT_EQ(taken.size(), 60u);
  const auto more = [](const auto& x, const auto& y) { return x.second < y.second; };
  EXPECT_LT(std::max_element(taken.begin(), taken.end(), more)->second, 2.0 * all / 60);
  EXPECT_GT(std::min_element(taken.begin(), taken.end(), more)->second, 0.4 * all / 60);
}

TEST(Subset, IsHalfAsLargeWhereConnectionsStayOpen) {
  Settings s = MakeSettings();
  s.gateway_count = 100;
  s.gateway_index = 7;
  Gateway one(s);
  one.List(Fleet(30));
  s.streams_per_connection = 100;
  Gateway held(s);
  held.List(Fleet(30));
  EXPECT_EQ(one.Serve(100, 200).size(), 2 * held.Serve(100, 200).size());
}

TEST(Cold, HundredsOfGatewaysTogetherDoNotPushItOver) {
  Settings s = MakeSettings();  // 0.2 of its capacity at first, all after 10 s
  s.gateway_count = 200;
  int cold = 0, all = 0, later = 0;
  for (s.gateway_index = 0; s.gateway_index < s.gateway_count; ++s.gateway_index) {
    Gateway g(s, s.gateway_index);
    g.now = 100000;
    auto fleet = Fleet(20);
    g.List(fleet);
    g.Serve(50, 200);
    fleet.push_back(MakeServer("new", "0", g.now));
    g.List(fleet);
    const auto first = g.Serve(10, 200);  // the 2 s after its start, and 6 s more
    for (const auto& [id, n] : first) (id == "new" ? cold : all) += n;
    const auto then = g.Serve(30, 200);
    if (then.contains("new")) later += then.at("new");
  }
  // A request from each gateway would be 60 and more; a warm server gets about 100 in that time.
  EXPECT_LT(cold, 0.5 * all / 20);  // 0.84 of a warm one would fell it
  EXPECT_GT(later, cold);
}

// Where each gateway uses some of the servers only, those that use a cold one must add up to its part; and a
// gateway that has known warm ones for a moment only goes by what it is asked for.
TEST(Cold, GatewaysOfASubsetTogetherSendItsPart) {
  Settings s = MakeSettings();  // 0.2 of its capacity at first, all after 10 s
  s.gateway_count = 100;
  double cold = 0, warm = 0;
  for (const bool fresh : {false, true}) {
    cold = warm = 0;
    for (s.gateway_index = 0; s.gateway_index < s.gateway_count; ++s.gateway_index) {
      Gateway g(s, s.gateway_index);
      g.now = 100000;
      auto fleet = Fleet(60);
      g.List(fleet);
      if (!fresh) g.Serve(300, 50);
      for (int i = 0; i < 30; ++i) fleet[i].started_at = g.now;
      g.List(fleet);
      for (const auto& [id, n] : g.Serve(60, 50)) {
        if (id.empty()) continue;
        (std::stoi(id.substr(1)) < 30 ? cold : warm) += n;
      }
    }
    // In 3 s it can do 0.32 of its capacity, and should get some of that: 2.5 or 3 times it would fell it.
    EXPECT_GT(cold, 0.08 * warm) << fresh;
    EXPECT_LT(cold, 0.6 * warm) << fresh;
  }
}

// A slow kind that takes a third of what a fast one does bears so much less while it is cold, too.
TEST(Cold, ServerOfASlowKindIsSentLessThanOneOfAFastKind) {
  Gateway g;
  g.now = 100000;
  auto fleet = Fleet(12);
  for (std::size_t i = 0; i < fleet.size(); ++i) fleet[i].machine_type = i % 2 ? "slow" : "fast";
  std::map<std::string, int> taken;
  const auto serve = [&](int n) {
    for (int i = 0; i < n; ++i) {
      const std::string id = "r" + std::to_string(g.warmed++), server = Gateway::SentTo(g.Ask(id));
      g.now += 10;
      g.Do(TimerFired{"sweep"});
      const bool fast = server[0] != 'c' && std::stoi(server.substr(1)) % 2 == 0;
      g.End(id, server, AttemptResult::kServed, server[0] == 'c' ? 1 : fast ? 20 : 60);
      ++taken[server];
    }
  };
  g.List(fleet);
  serve(2000);
  for (const char* kind : {"slow", "fast"}) {
    fleet.push_back(MakeServer(std::string("cold-") + kind, "0", g.now));
    fleet.back().machine_type = kind;
  }
  g.List(fleet);
  taken.clear();
  serve(500);
  EXPECT_GT(taken["cold-fast"], 1.5 * taken["cold-slow"]);
  EXPECT_GT(taken["cold-slow"], 0);
}

// Trials of a server that goes on failing cost clients' requests: few of all, cut off while there is time for
// another server, and never a reason to send nothing.
TEST(Trials, TakeASmallPartOfTheRequestsAndOfTheirTime) {
  Settings s = MakeSettings();
  s.gateway_count = 100;
  Gateway g(s);
  g.List(Fleet(60));
  int tried = 0, sent = 0, whole = 0;
  for (int i = 0; i < 600; ++i) {
    const std::string id = "r" + std::to_string(i), server = Gateway::SentTo(g.Ask(id));
    g.now += 66;
    g.Do(TimerFired{"sweep"});
    if (server.empty()) continue;
    const bool bad = std::stoi(server.substr(1)) % 3 == 0;
    if (i >= 300) {
      ++sent;
      tried += bad;
      whole += bad && g.sent.back().timeout > 500;  // of 1000 to its aim
    }
    g.End(id, server, bad && i % 4 ? AttemptResult::kError : AttemptResult::kServed, 66);
  }
  EXPECT_GT(tried, 2);
  EXPECT_LT(tried, 0.08 * sent);
  EXPECT_LT(whole, tried / 2);
  s.max_attempts = 1;
  s.gateway_count = 1;
  Gateway alone(s);  // with one server, that has failed and is well again
  alone.Servers(1);
  std::size_t ended = 0;
  for (int i = 0; i < 64; ++i) {
    alone.Ask("r" + std::to_string(i));
    alone.Pass(300);
    for (; ended < alone.sent.size(); ++ended) {
      alone.End(alone.sent[ended].request, "s0", ended < 4 ? AttemptResult::kError : AttemptResult::kServed,
                100);
    }
  }
  EXPECT_GT(ended, 45);
}

// A zone that is lost says nothing at any of its servers: three tell, not each by itself; one answer ends it.
TEST(Zones, ThatFallSilentAreLeftAfterAFewRequestsAndTakenBackByAnAnswer) {
  Settings s = MakeSettings();
  s.gateway_count = 30;
  s.max_attempts = 1;
  auto fleet = Fleet(60);
  for (int i = 0; i < 60; ++i) fleet[i].zone = "z" + std::to_string(i % 3);
  int before = 0, lost = 0, after = 0;  // requests that met zone 1
  for (int seed = 0; seed < 10; ++seed) {
    Gateway g(s, seed);
    g.List(fleet);
    for (int i = 0; i < 240; ++i) {
      const std::string id = "r" + std::to_string(i), server = Gateway::SentTo(g.Ask(id));
      g.now += 66;
      g.Do(TimerFired{"sweep"});
      if (server.empty()) continue;
      const bool there = std::stoi(server.substr(1)) % 3 == 1, silent = i >= 60 && i < 120;
      (i < 60 ? before : silent ? lost : after) += there;
      g.End(id, server, there && silent ? AttemptResult::kConnectFailed : AttemptResult::kServed, 66);
    }
  }
  EXPECT_GT(before, 10 * 10);
  EXPECT_LT(lost, 10 * 9);    // 3 that tell, 5 trials; each of 8 servers by itself takes 16
  EXPECT_GT(after, 10 * 15);  // back by a trial
}

// A gateway with a few answers a second can't tell one late answer in eight from chance; the fleet's hosts
// would stand idle while its clients wait for tokens.
TEST(Rate, FewAnswersASecondAreNotCutForOneLateAmongEight) {
  Settings s = MakeSettings();
  s.gateway_count = 100;
  const auto cuts = [&](int one_in) {
    Gateway g(s);
    g.List(Fleet(60));
    int cut = 0;
    for (int i = 0; i < 200; ++i) {
      const std::string id = "r" + std::to_string(i), server = Gateway::SentTo(g.Ask(id));
      g.now += 66;
      if (server.empty()) continue;
      const auto said = g.End(id, server, i % one_in ? AttemptResult::kServed : AttemptResult::kTimedOut, 66);
      cut += Gateway::Logged(said, "rate cut");
    }
    return cut;
  };
  EXPECT_EQ(cuts(8), 0);
  EXPECT_GT(cuts(2), 1);
}

TEST(Determinism, SameEventsGiveTheSameActions) {
  Gateway a(MakeSettings(), 7), b(MakeSettings(), 7);
  a.Servers(5);
  b.Servers(5);
  a.Serve(100);
  b.Serve(100);
  ASSERT_EQ(a.sent.size(), b.sent.size());
  for (std::size_t i = 0; i < a.sent.size(); ++i) EXPECT_EQ(a.sent[i].endpoint, b.sent[i].endpoint);
}

// Guards what a replacement takes over: it avoids whom the old process avoided, goes by what that measured,
// and for as long as both run each sends at half the rate.
TEST(Replacement, GoesOnWithWhatWasLearned) {
  Gateway old;
  old.Servers(3);
  old.Serve(200, 50);
  for (int i = 0; i < 40 && old.policy.EjectedEndpoints() == 0; ++i) {
    const std::string id = "f" + std::to_string(i);
    const std::string server = Gateway::SentTo(old.Ask(id));
    old.now += 1;
    old.End(id, server, server == "s1" ? AttemptResult::kConnectFailed : AttemptResult::kServed, 50);
  }
  ASSERT_EQ(old.policy.EjectedEndpoints(), 1u);
  const LearnedState learned = old.policy.ExportState();
  Gateway next;
  next.now = old.now;
  next.Servers(3);
  next.policy.ImportState(next.now, learned);
  EXPECT_EQ(next.policy.EjectedEndpoints(), 1u);
  for (int i = 0; i < 10; ++i) EXPECT_NE(Gateway::SentTo(next.Ask("n" + std::to_string(i))), "s1");
  const LearnedState again = next.policy.ExportState();
  ASSERT_EQ(again.endpoints.size(), 3u);
  for (std::size_t i = 0; i < 3; ++i) EXPECT_EQ(again.endpoints[i].latency, learned.endpoints[i].latency);
  EXPECT_EQ(again.rate, learned.rate);
  next.policy.ScaleToShare(0.5);
  EXPECT_DOUBLE_EQ(next.policy.ExportState().rate, learned.rate / 2);
  ASSERT_EQ(learned.machine_types.size(), 1u);
  EXPECT_GT(learned.machine_types[0].served, 0);
  EXPECT_DOUBLE_EQ(next.policy.ExportState().machine_types.at(0).served, learned.machine_types[0].served / 2);
  next.policy.ScaleToShare(2);
  EXPECT_DOUBLE_EQ(next.policy.ExportState().rate, learned.rate);
}

// Guards a cold server during a replacement: the chance part of a request that a new one starts with was
// spent by the old process, and is not given twice. A server that has restarted since is not taken for the
// old one.
TEST(Replacement, GivesColdServersNothingTwice) {
  Gateway old;
  old.Servers(1);
  old.Serve(100, 50);
  const LearnedState learned = old.policy.ExportState();
  int sent = 0;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    Gateway next(MakeSettings(), seed);
    next.now = old.now;
    next.List({MakeServer("s0", "0", next.now - 1)});  // cold
    next.policy.ImportState(next.now, learned);
    EXPECT_EQ(next.policy.ExportState().endpoints[0].latency, 0);  // nothing holds of the process before
    sent += !Gateway::SentTo(next.Ask("r")).empty();
  }
  EXPECT_EQ(sent, 0);
}

// What a gateway learned of five servers, of which s1 fails and s2 takes four times as long.
LearnedState LearnedOfFive(Gateway& old) {
  old.Servers(5);
  for (int i = 0; i < 400; ++i) {
    const std::string id = "f" + std::to_string(i), server = Gateway::SentTo(old.Ask(id));
    old.Pass(10);
    if (server.empty()) continue;
    old.End(id, server, server == "s1" ? AttemptResult::kConnectFailed : AttemptResult::kServed,
            server == "s2" ? 200 : 50);
  }
  return old.policy.ExportState();
}

// Guards what comes back from a disk: believed at once after a moment, less the older it is, and not at all
// from a clock that was set back.
TEST(Ageing, LetsVerdictsLatenciesAndRatesLapse) {
  Gateway old;
  const LearnedState learned = LearnedOfFive(old);
  ASSERT_TRUE(learned.endpoints[1].ejected);
  struct Row {
    Millis down;
    bool avoided, measured;
    double least_rate;  // times the one known
  };
  for (const Row& row : {Row{1000, true, true, 1}, Row{30000, true, true, 2.5}, Row{120000, false, true, 5},
                         Row{600000, false, false, 5}, Row{-1000, false, false, 5}}) {
    LearnedState then = learned;
    then.rate = 10;  // after a cut
    Gateway next;
    next.now = old.now + row.down;
    next.Servers(5);
    next.policy.ImportState(next.now, then);
    const LearnedState now = next.policy.ExportState();
    EXPECT_EQ(next.policy.EjectedEndpoints(), row.avoided ? 1u : 0u) << row.down;
    EXPECT_EQ(now.endpoints[0].latency > 0, row.measured) << row.down;
    EXPECT_GE(now.rate, 10 * row.least_rate) << row.down;
    for (std::size_t i = 0; i < 5; ++i) EXPECT_LE(now.endpoints[i].samples, then.endpoints[i].samples);
  }
}

// Guards the fleet's rate where the number of gateways changed: each takes its part of what came.
TEST(Ageing, SharesTheRateAmongAsManyGatewaysAsThereAreNow) {
  Gateway old;
  LearnedState learned = LearnedOfFive(old);
  learned.rate = 60, learned.gateway_count = 2;
  Settings settings = MakeSettings();
  settings.gateway_count = 6;
  Gateway next(settings);
  next.now = old.now;
  next.Servers(5);
  next.policy.ImportState(next.now, learned);
  EXPECT_DOUBLE_EQ(next.policy.ExportState().rate, 20);
}

// What ageing is worth: the gateway was down, and meanwhile s1 and s2 became well. How many of the next 300
// requests these two get, of 120 that are their part: with ages as they are, and as if all were news.
TEST(Ageing, FindsServersThatBecameWell) {
  Gateway old;
  const LearnedState learned = LearnedOfFive(old);
  for (const Millis down : {1000.0, 30000.0, 600000.0}) {
    int taken[2] = {};
    for (const bool aged : {false, true}) {
      LearnedState then = learned;
      for (auto& s : then.endpoints) s.last_outcome_at += aged ? 0 : down;
      then.exported_at += aged ? 0 : down;
      for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Gateway next(MakeSettings(), seed);
        next.now = old.now + down;
        next.Servers(5);
        next.policy.ImportState(next.now, then);
        for (int i = 0; i < 300; ++i) {
          const std::string id = std::to_string(i), server = Gateway::SentTo(next.Ask(id));
          next.Pass(10);
          taken[aged] += server == "s1" || server == "s2";
          if (!server.empty()) next.End(id, server, AttemptResult::kServed, 50);
        }
      }
    }
    const std::string name = "down_" + std::to_string(static_cast<int>(down / 1000)) + "s";
    RecordProperty(name,
                   std::to_string(taken[0] / 20) + " as news, " + std::to_string(taken[1] / 20) + " aged");
    std::printf("%s: s1 and s2 got %d of 300 with ages ignored, %d with ages\n", name.c_str(), taken[0] / 20,
                taken[1] / 20);
    EXPECT_GE(taken[1], taken[0]) << name;
    EXPECT_GT(taken[1], down < 600000 ? 0 : 20 * 100) << name;
  }
}

// Guards a long request that broke on its way: once it can't be sent again there is no other attempt.
TEST(Bodies, AreNotSentAgainOnceTheyPassedThrough) {
  for (const bool held : {true, false}) {
    Gateway g;
    g.Servers(2);
    g.Serve(100, 50);
    const std::string server = Gateway::SentTo(g.Ask("r", "pay"));
    const auto actions =
        g.Do(AttemptOutcome{"r", 0, server, AttemptResult::kConnectFailed, false, 0, {}, held});
    EXPECT_EQ(Gateway::Count<Send>(actions), held ? 1 : 0);
    EXPECT_EQ(Gateway::Count<Reject>(actions), held ? 0 : 1);  // it never ran
  }
}

// Guards the rate against slow clients: a long request's time begins with its last byte, a long answer is in
// time by its first, and neither the way in nor the way out is taken for the server's work.
TEST(Bodies, AreTimedWithoutTheirTransfer) {
  Gateway g;
  g.Servers(2);
  g.Serve(100, 50);
  const LearnedState before = g.policy.ExportState();
  for (int i = 0; i < 40; ++i) {
    const std::string id = "r" + std::to_string(i);
    const std::string server = Gateway::SentTo(g.Ask(id, "view", 2000));
    ASSERT_FALSE(server.empty());
    g.Pass(3000);  // the client sends
    g.Do(RequestComplete{id, 2000});
    g.Pass(50);
    g.Do(ResponseStarted{id, 0});
    g.Pass(5000);  // the client reads
    g.Do(AttemptOutcome{id, 0, server, AttemptResult::kServed, true, 5050, {}});
  }
  const LearnedState after = g.policy.ExportState();
  EXPECT_GE(after.rate, before.rate);
  for (const auto& s : after.endpoints) EXPECT_LT(s.latency, 100);
}

// Guards the other side of it: answers that break off on their way count against their server.
TEST(Bodies, ThatBreakOffMakeTheirServerSuspect) {
  Gateway g;
  g.Servers(2);
  g.Serve(100, 50);
  for (int i = 0; i < 200 && g.policy.EjectedEndpoints() == 0; ++i) {
    const std::string id = "r" + std::to_string(i);
    const std::string server = Gateway::SentTo(g.Ask(id));
    g.Pass(50);
    g.Do(ResponseStarted{id, 0});
    g.Pass(1500);  // nothing else was served meanwhile
    g.Do(AttemptOutcome{id, 0, server, AttemptResult::kReset, true, 1550, {}});
  }
  EXPECT_GT(g.policy.EjectedEndpoints(), 0u);
}

// Guards the first second of a process: a cut leaves the rate near what was sent, though that was not sent
// for long.
TEST(Rate, IsNotCutToNothingByAYoungProcess) {
  Gateway g;
  g.Servers(9);
  std::deque<std::pair<std::string, std::string>> out;
  bool cut = false;
  for (int i = 0; i < 100 && !cut; ++i) {  // 200 a second, each answered after its aim
    const std::string id = "r" + std::to_string(i);
    out.push_back({id, Gateway::SentTo(g.Ask(id))});
    ASSERT_FALSE(out.back().second.empty());
    g.now += 5;
    if (out.size() > 10) {
      cut = Gateway::Logged(g.End(out.front().first, out.front().second, AttemptResult::kTimedOut, 50),
                            "rate cut");
      out.pop_front();
    }
  }
  ASSERT_TRUE(cut);
  EXPECT_LT(g.now, 1400);
  EXPECT_GT(g.policy.ExportState().rate, 120);
  EXPECT_LT(g.policy.ExportState().rate, 220);
}

}  // namespace
}  // namespace gateway::policy::testing
