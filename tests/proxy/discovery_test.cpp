// Several services of one list: one watch at a time, that moves, comes back and never goes back in time.
#include <gtest/gtest.h>

#include "base/clock.hpp"
#include "world.hpp"

namespace gateway::proxy::testing {
namespace {

using proxy::Discovery;
using proxy::EndpointList;

// Two services that say what the test sets, and the watch on them.
struct TwoServices {
  struct One {
    explicit One(asio::io_context& io) : peer(io) {}
    Peer peer;
    std::int64_t revision = 50;
    std::string epoch = "e1";
    int status = 200;
    bool mute = false;        // a call is never answered
    std::size_t watches = 0;  // calls that may wait
  };
  TwoServices() {
    for (One* one : {&first, &second}) {
      one->peer.serve = [one](const Peer::Taken& taken) {
        const std::string target(taken.http.target());
        const bool waits = target.find("wait_ms=0") == std::string::npos;
        one->watches += waits;
        if (one->mute) return;
        nlohmann::json list = List(one->revision, true, {Member("h0", Loopback(80))});
        list["epoch"] = one->epoch;
        const auto after = target.find("after=" + std::to_string(one->revision) + "&");
        if (waits && after != std::string::npos && one->status == 200) return;  // no news: it waits
        taken.Answer(one->status, list.dump());
      };
    }
    Discovery::Several several;
    several.others = {second.peer.address()};
    several.look_every = 40;
    several.news_within = 60;
    several.return_after = 150;
    discovery.emplace(
        io, first.peer.address(), 0, true,
        Discovery::Handlers{[this](const EndpointList& list) { told.push_back(list.revision); },
                            [this](Millis) { ++failed; }, [this](const EndpointList&) { return refuse; }},
        several);
    discovery->Watch();
  }
  ::testing::AssertionResult Until(const std::function<bool()>& done) {
    if (RunUntil(io, done)) return ::testing::AssertionSuccess();
    return ::testing::AssertionFailure() << "did not come about";
  }

  asio::io_context io;
  One first{io}, second{io};
  std::vector<std::int64_t> told;
  int failed = 0;
  std::string refuse;
  std::optional<Discovery> discovery;
};

TEST(Discovery, MovesToAnotherServiceAndComesBack) {
  TwoServices w;
  ASSERT_TRUE(w.Until([&] { return w.told == std::vector<std::int64_t>{50}; }));
  EXPECT_EQ(w.discovery->service(), 0u);
  w.first.status = 503;
  for (const auto& connection : w.first.peer.connections) connection->Reset();
  ASSERT_TRUE(w.Until([&] { return w.discovery->service() == 1 && w.second.watches > 0; }));
  EXPECT_EQ(w.failed, 0);  // the other one was tried before anyone waits
  w.second.revision = 51;
  w.first.status = 200;
  w.first.revision = 51;
  ASSERT_TRUE(w.Until([&] { return w.discovery->service() == 0 && w.told.back() == 51; }));
}

TEST(Discovery, AsksEachServiceOnceBeforeItWaits) {
  TwoServices w;
  w.first.status = w.second.status = 503;
  ASSERT_TRUE(w.Until([&] { return w.failed == 1; }));
  EXPECT_EQ(w.first.watches + w.second.watches, 2u);
}

TEST(Discovery, LeavesAServiceThatGetsNoNews) {
  TwoServices w;
  ASSERT_TRUE(w.Until([&] { return w.told.size() == 1; }));
  w.second.revision = 52;  // the first one stays at 50
  ASSERT_TRUE(w.Until([&] { return w.told.back() == 52; }));
  EXPECT_EQ(w.discovery->service(), 1u);
  // The first one, which lags, is not gone back to: it would tell an older list.
  const Millis until = base::MonotonicNow() + 500;
  ASSERT_TRUE(w.Until([&] { return base::MonotonicNow() > until; }));
  EXPECT_EQ(w.discovery->service(), 1u);
  EXPECT_EQ(w.told.back(), 52);
}

TEST(Discovery, TakesAnOlderRevisionOnlyOfAnotherHistory) {
  TwoServices w;
  ASSERT_TRUE(w.Until([&] { return w.told.size() == 1; }));
  w.second.revision = 40;
  for (const auto& connection : w.first.peer.connections) connection->Reset();
  w.first.status = 503;
  ASSERT_TRUE(w.Until([&] { return w.failed > 0; }));
  EXPECT_EQ(w.told, std::vector<std::int64_t>{50});
  w.second.epoch = "e2";  // the service lost its disk
  w.discovery->Watch();
  ASSERT_TRUE(w.Until([&] {
    if (w.failed > 1) w.failed = 0, w.discovery->Watch();
    return w.told.back() == 40;
  }));
}

TEST(Discovery, RefusesAListAsAWhole) {
  TwoServices w;
  w.refuse = "too many are gone";
  ASSERT_TRUE(w.Until([&] { return w.failed == 1; }));
  EXPECT_TRUE(w.told.empty());
  EXPECT_EQ(w.discovery->heard_at(), 0);
}

// Guards the hosts against a service that forgot them: its list is not believed without operators' word, but
// what drains in it drains.
TEST(Discovery, GatewayKeepsHostsThatNobodyConfirmedToBeGone) {
  World world(6);
  world.GuardList();
  const auto told = [&](std::int64_t revision, std::size_t hosts, std::int64_t confirmed) {
    std::vector<nlohmann::json> members;
    for (std::size_t i = 0; i < hosts; ++i) {
      members.push_back(Member("h" + std::to_string(i), world.host(i).address(), i == 0 ? "draining" : "up"));
    }
    nlohmann::json list = List(revision, true, members);
    list["confirmed"] = confirmed;
    return list.dump();
  };
  const auto answer = [&](const std::string& body) {
    const std::size_t asked = world.discovery.requests.size();
    ASSERT_TRUE(world.Until([&] { return world.discovery.requests.size() > asked; }));
    world.discovery.requests.back().Answer(200, body);
  };
  answer(told(42, 2, 0));
  answer(told(43, 2, 0));
  EXPECT_EQ(world.Vars()["pool_size"], 6);
  answer(told(44, 3, 0));  // half of them is not too many
  ASSERT_TRUE(world.Until([&] { return world.Vars()["pool_size"] == 3; }));
  answer(told(46, 1, 45));  // confirmed
  ASSERT_TRUE(world.Until([&] { return world.Vars()["pool_size"] == 1; }));
}

// What discovery has counts as told 6 s later, whether or not it arrived: a watch that has fallen silent, the
// first call of it or one that goes on, is opened anew so early that a second is left for the answer.
TEST(Discovery, OpensASilentWatchAnewInTime) {
  for (const std::size_t silent : {0u, 1u}) {  // the call that is never answered
    World world(2);
    ASSERT_TRUE(world.Until([&] { return !world.discovery.requests.empty(); }));
    const auto answer = [&](std::size_t call, const std::string& phase) {
      world.discovery.requests[call].Answer(
          200, List(42 + static_cast<int>(call), true,
                    {Member("h0", world.host(0).address(), phase), Member("h1", world.host(1).address())})
                   .dump());
    };
    if (silent == 1) {
      answer(0, "up");
      ASSERT_TRUE(world.Until([&] { return world.discovery.requests.size() == 2; }));
    }
    const Millis begun = base::MonotonicNow();
    ASSERT_TRUE(world.Until([&] { return world.discovery.requests.size() == silent + 2; }));
    EXPECT_LT(base::MonotonicNow() - begun, 5000) << "call " << silent;
    EXPECT_NE(world.discovery.requests[silent].on, world.discovery.requests[silent + 1].on);
    answer(silent + 1, "draining");
    const std::string told = "list_revision " + std::to_string(43 + silent) + "\n";
    ASSERT_TRUE(world.Until([&] { return world.Call("metrics\n").find(told) != std::string::npos; }));
    const auto client = world.Connect();
    client->Send(ApiCall("a"));
    ASSERT_TRUE(world.Until([&] { return !world.host(1).requests.empty(); }));
    EXPECT_TRUE(world.host(0).requests.empty());
  }
}

// A gateway whose discovery moves while a call is on at the old address. The new address takes the call and
// answers when the test says so.
struct MovingWorld : World {
  MovingWorld() : World(2) {
    for (const auto& host : hosts) {
      host->serve = [](const Peer::Taken& taken) { taken.Answer(200, ""); };
    }
  }
  bool Asked() {
    return Until([&] { return discovery.requests.size() == 1; });
  }
  // Puts bytes into the gateway's socket at once: they stand there unread until the loop runs. A gateway that
  // has closed it is told by what follows.
  void Write(const std::string& text) {
    error_code ignored;
    asio::write(discovery.requests[0].on->socket, asio::buffer(text), ignored);
  }
  void Move() { gateway->MoveDiscovery(moved.address()); }
  // So many operators' calls from connect to close: what stood in a socket before them has been read by then.
  void TurnLoop() {
    for (int i = 0; i < 5; ++i) Call("check\n");
  }
  // How many of 20 requests that follow each other come to the host.
  std::size_t Share(std::size_t of) {
    const std::size_t before = host(of).requests.size();
    const auto client = Connect();
    for (std::size_t i = 1; i <= 20; ++i) {
      client->Send(ApiCall("r" + std::to_string(++asked)));
      EXPECT_EQ(client->Await(i).result(), http::status::ok);
    }
    return host(of).requests.size() - before;
  }
  std::string Answer(const nlohmann::json& list) const {
    const std::string body = list.dump();
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  nlohmann::json Drained(int revision) {
    return List(revision, false, {Member("h0", host(0).address(), "draining")});
  }

  Peer moved{io};
  int asked = 0;
};

// Guards a drain that discovery has written and that nobody has read when the word comes that discovery has
// moved: it is told, and binds at once, however long the new address takes for its first answer.
TEST(Discovery, TakesWhatItsOldAddressWroteBeforeTheMove) {
  MovingWorld world;
  ASSERT_TRUE(world.Asked());
  EXPECT_GT(world.Share(0), 0u);
  world.Write(world.Answer(world.Drained(42)));
  world.Move();
  world.TurnLoop();
  EXPECT_EQ(world.Share(0), 0u);
  ASSERT_TRUE(world.Until([&] { return world.moved.requests.size() == 1; }));
  EXPECT_EQ(world.Share(0), 0u);
  // The new address is asked from the revision known at the move, and goes on from there.
  EXPECT_NE(std::string(world.moved.requests[0].http.target()).find("after=41&"), std::string::npos);
  world.moved.requests[0].Answer(200, world.Drained(42).dump());
  ASSERT_TRUE(world.Until([&] { return world.moved.requests.size() == 2; }));
  EXPECT_NE(std::string(world.moved.requests[1].http.target()).find("after=42&"), std::string::npos);
  EXPECT_EQ(world.Share(0), 0u);
}

// Guards the same for an answer of which a part has come, at every place that may part it, and for one that
// discovery writes when it knows that the new address is asked.
TEST(Discovery, TakesWhatItsOldAddressWritesDuringTheMove) {
  for (const std::size_t part : {0u, 1u, 20u, 60u, 150u}) {  // bytes that stand in the socket at the move
    SCOPED_TRACE(part);
    MovingWorld world;
    ASSERT_TRUE(world.Asked());
    const std::string answer = world.Answer(world.Drained(42));
    ASSERT_LT(part, answer.size());
    world.Write(answer.substr(0, part));
    world.Move();
    ASSERT_TRUE(world.Until([&] { return world.moved.requests.size() == 1; }));
    world.Write(answer.substr(part));
    world.TurnLoop();
    EXPECT_EQ(world.Share(0), 0u);
  }
}

// Guards the order of two addresses that speak: behind the new one's answer the old one is not heard any
// more, whose revisions may be those of another history. And where the new one is silent, the old connection
// is not kept beyond the 1.5 s for which discovery keeps it.
TEST(Discovery, HearsItsOldAddressOnlyUntilTheNewOneAnswers) {
  MovingWorld world;
  ASSERT_TRUE(world.Asked());
  world.Move();
  ASSERT_TRUE(world.Until([&] { return world.moved.requests.size() == 1; }));
  EXPECT_FALSE(world.discovery.connections[0]->ended);
  world.moved.requests[0].Answer(200, List(7, true, {Member("h1", world.host(1).address())}).dump());
  ASSERT_TRUE(world.Until([&] { return world.moved.requests.size() == 2; }));
  EXPECT_NE(std::string(world.moved.requests[1].http.target()).find("after=7&"), std::string::npos);
  world.Write(world.Answer(List(50, true, {Member("h0", world.host(0).address())})));
  world.TurnLoop();
  EXPECT_EQ(world.Share(0), 0u);
  ASSERT_TRUE(world.Until([&] { return world.discovery.connections[0]->ended; }));

  MovingWorld silent;
  ASSERT_TRUE(silent.Asked());
  silent.Move();
  const Millis moved_at = base::MonotonicNow();
  ASSERT_TRUE(silent.Until([&] { return silent.discovery.connections[0]->ended; }));
  EXPECT_GE(base::MonotonicNow() - moved_at, 1400);
  ASSERT_TRUE(silent.Until([&] { return silent.moved.requests.size() == 2; }));  // the next call, by 4.5 s
}

// Guards a guarded list: what the old address says of hosts that are gone is believed no sooner than before.
TEST(Discovery, BelievesItsOldAddressNoMoreThanBefore) {
  MovingWorld world;
  world.GuardList();
  ASSERT_TRUE(world.Asked());
  world.Write(world.Answer(List(42, true, nlohmann::json::array())));
  world.Move();
  world.TurnLoop();
  EXPECT_EQ(world.Vars()["pool_size"], 2);
}

}  // namespace
}  // namespace gateway::proxy::testing
