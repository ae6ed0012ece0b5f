// The watch of the endpoint list: failover between several services, the guard against mass removal, and a
// change of the service's address.
#include <gtest/gtest.h>

#include "base/clock.hpp"
#include "proxy/discovery/discovery_client.hpp"
#include "proxy/discovery/mass_removal_guard.hpp"
#include "proxy/discovery/service_failover.hpp"
#include "world.hpp"

namespace gateway::proxy::testing {
namespace {

using proxy::DiscoveryClient;
using proxy::EndpointList;

// Two services that answer what the test sets, and a client that watches them.
struct TwoServices : DiscoveryClient::Observer {
  struct One {
    explicit One(asio::io_context& io) : peer(io) {}
    FakeServer peer;
    std::int64_t revision = 50;
    std::string epoch = "e1";
    int status = 200;
    std::size_t watches = 0;  // calls that may wait
  };
  TwoServices() {
    for (One* one : {&first, &second}) {
      one->peer.serve = [one](const FakeServer::ReceivedRequest& taken) {
        const std::string target(taken.http.target());
        const bool waits = target.find("wait_ms=0") == std::string::npos;
        one->watches += waits;
        nlohmann::json list = List(one->revision, true, {Member("h0", Loopback(80))});
        list["epoch"] = one->epoch;
        const auto after = target.find("after=" + std::to_string(one->revision) + "&");
        if (waits && after != std::string::npos && one->status == 200) return;  // nothing new: it waits
        taken.Respond(one->status, list.dump());
      };
    }
    DiscoveryClient::Options options;
    options.services = {first.peer.address(), second.peer.address()};
    options.probe_interval = 40;
    options.catch_up_within = 60;
    options.return_after = 150;
    client.emplace(io, options, *this);
    client->Watch();
  }
  void OnEndpointList(EndpointList list) override { revisions.push_back(list.revision); }
  void OnWatchFailed(Millis) override { ++failures; }
  std::string RejectionReason(const EndpointList&) override { return rejection_reason; }
  ::testing::AssertionResult Until(const std::function<bool()>& done) {
    if (RunUntil(io, done)) return ::testing::AssertionSuccess();
    return ::testing::AssertionFailure() << "condition not met in time";
  }

  asio::io_context io;
  One first{io}, second{io};
  std::vector<std::int64_t> revisions;  // of the lists taken
  int failures = 0;                     // of the watch
  std::string rejection_reason;
  std::optional<DiscoveryClient> client;
};

TEST(DiscoveryClient, FailsOverToAnotherServiceAndReturns) {
  TwoServices w;
  ASSERT_TRUE(w.Until([&] { return w.revisions == std::vector<std::int64_t>{50}; }));
  EXPECT_EQ(w.client->service_index(), 0u);
  w.first.status = 503;
  for (const auto& connection : w.first.peer.connections) connection->Reset();
  ASSERT_TRUE(w.Until([&] { return w.client->service_index() == 1 && w.second.watches > 0; }));
  EXPECT_EQ(w.failures, 0);  // the other one was tried first
  w.second.revision = 51;
  w.first.status = 200;
  w.first.revision = 51;
  ASSERT_TRUE(w.Until([&] { return w.client->service_index() == 0 && w.revisions.back() == 51; }));
}

TEST(DiscoveryClient, CallsEachServiceOnceBeforeTheWatchFails) {
  TwoServices w;
  w.first.status = w.second.status = 503;
  ASSERT_TRUE(w.Until([&] { return w.failures == 1; }));
  EXPECT_EQ(w.first.watches + w.second.watches, 2u);
}

TEST(DiscoveryClient, LeavesAServiceThatLagsBehind) {
  TwoServices w;
  ASSERT_TRUE(w.Until([&] { return w.revisions.size() == 1; }));
  w.second.revision = 52;  // the first one stays at 50
  ASSERT_TRUE(w.Until([&] { return w.revisions.back() == 52; }));
  EXPECT_EQ(w.client->service_index(), 1u);
  // No return to the first one, which lags: its list is older.
  const Millis until = base::MonotonicNow() + 500;
  ASSERT_TRUE(w.Until([&] { return base::MonotonicNow() > until; }));
  EXPECT_EQ(w.client->service_index(), 1u);
  EXPECT_EQ(w.revisions.back(), 52);
}

TEST(DiscoveryClient, TakesAnOlderRevisionOnlyOfAnotherEpoch) {
  TwoServices w;
  ASSERT_TRUE(w.Until([&] { return w.revisions.size() == 1; }));
  w.second.revision = 40;
  for (const auto& connection : w.first.peer.connections) connection->Reset();
  w.first.status = 503;
  ASSERT_TRUE(w.Until([&] { return w.failures > 0; }));
  EXPECT_EQ(w.revisions, std::vector<std::int64_t>{50});
  w.second.epoch = "e2";  // the service lost its disk
  w.client->Watch();
  ASSERT_TRUE(w.Until([&] {
    if (w.failures > 1) {
      w.failures = 0;
      w.client->Watch();
    }
    return w.revisions.back() == 40;
  }));
}

TEST(DiscoveryClient, TakesNothingFromARejectedList) {
  TwoServices w;
  w.rejection_reason = "too many are gone";
  ASSERT_TRUE(w.Until([&] { return w.failures == 1; }));
  EXPECT_TRUE(w.revisions.empty());
  EXPECT_EQ(w.client->last_list_at(), 0);
}

// Rules of failover, called directly. Times in ms.
TEST(ServiceFailover, ReportsARoundOnlyWhenEveryServiceFailed) {
  proxy::ServiceFailover failover(3, 30000);
  EXPECT_FALSE(failover.RecordFailure(1));
  EXPECT_FALSE(failover.RecordFailure(2));
  EXPECT_TRUE(failover.RecordFailure(3));
  EXPECT_EQ(failover.current(), 0u);
  EXPECT_FALSE(failover.RecordFailure(4));
  failover.RecordSuccess();
  EXPECT_FALSE(failover.RecordFailure(5));
  EXPECT_EQ(failover.current(), 2u);
}

TEST(ServiceFailover, StaysAwayTwiceAsLongAfterAReturnThatFailed) {
  proxy::ServiceFailover failover(2, 100);
  const EndpointList current{7, true, {}, "e1", 0};
  const proxy::WatchPosition position{7, "e1"};
  failover.RecordFailure(1000);
  EXPECT_EQ(failover.EvaluateProbe(0, current, position, 1099), proxy::ProbeDecision::kStay);
  EXPECT_EQ(failover.EvaluateProbe(0, current, position, 1100), proxy::ProbeDecision::kReturnToFirst);
  failover.SwitchTo(0, 1100);
  failover.RecordFailure(1150);
  EXPECT_EQ(failover.EvaluateProbe(0, current, position, 1349), proxy::ProbeDecision::kStay);
  EXPECT_EQ(failover.EvaluateProbe(0, current, position, 1350), proxy::ProbeDecision::kReturnToFirst);
}

TEST(ServiceFailover, IgnoresAProbeOfAnotherEpoch) {
  const proxy::ServiceFailover failover(2, 100);
  const proxy::WatchPosition position{7, "e1"};
  EXPECT_EQ(failover.EvaluateProbe(1, {8, true, {}, "e1", 0}, position, 0),
            proxy::ProbeDecision::kSwitchUnlessCaughtUp);
  EXPECT_EQ(failover.EvaluateProbe(1, {8, true, {}, "e2", 0}, position, 0), proxy::ProbeDecision::kStay);
}

// Rule of the guard, called directly: a delta counts the endpoints that it names, a snapshot those that it
// leaves out; one endpoint alone is never a mass removal.
TEST(MassRemovalGuard, CountsSnapshotsAndDeltas) {
  proxy::EndpointsById known;
  for (const char* id : {"h0", "h1", "h2"}) known[id].info.id = id;
  EndpointList removal{8, false, {known["h0"], known["h1"]}, "", 0};
  for (proxy::ListedEndpoint& endpoint : removal.endpoints) {
    endpoint.info.state = policy::EndpointState::kRemoved;
  }
  EXPECT_TRUE(proxy::FindUnconfirmedMassRemoval(removal, known, 7, 0.5));
  EXPECT_FALSE(proxy::FindUnconfirmedMassRemoval(removal, known, 7, 0.7));
  EXPECT_FALSE(
      proxy::FindUnconfirmedMassRemoval({8, true, {known["h0"], known["h1"]}, "", 0}, known, 7, 0.3));
  const EndpointList snapshot{8, true, {known["h0"]}, "", 0};
  ASSERT_TRUE(proxy::FindUnconfirmedMassRemoval(snapshot, known, 7, 0.5));
  EXPECT_EQ(proxy::FindUnconfirmedMassRemoval(snapshot, known, 7, 0.5)->removed, 2u);
  removal.confirmed_revision = 8;
  EXPECT_FALSE(proxy::FindUnconfirmedMassRemoval(removal, known, 7, 0.5));
}

// Guards the endpoints against a service that lost them: its list is not taken without an operator's
// confirmation, but the endpoints that it drains are drained.
TEST(MassRemovalGuard, KeepsEndpointsWhoseMassRemovalIsUnconfirmed) {
  GatewayHarness world(6);
  world.EnableMassRemovalGuard();
  const auto list_of = [&](std::int64_t revision, std::size_t hosts, std::int64_t confirmed) {
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
    world.discovery.requests.back().Respond(200, body);
  };
  answer(list_of(42, 2, 0));
  answer(list_of(43, 2, 0));
  EXPECT_EQ(world.Vars()["pool_size"], 6);
  answer(list_of(44, 3, 0));  // half of them is not too many
  ASSERT_TRUE(world.Until([&] { return world.Vars()["pool_size"] == 3; }));
  answer(list_of(46, 1, 45));  // confirmed
  ASSERT_TRUE(world.Until([&] { return world.Vars()["pool_size"] == 1; }));
}

// A change counts as received 6 s after discovery had it, whether or not it arrived. So a watch that fell
// silent, in its first call or a later one, is reopened early enough to leave a second for the response.
TEST(DiscoveryClient, ReopensASilentWatchInTime) {
  for (const std::size_t silent : {0u, 1u}) {  // the call that is never answered
    GatewayHarness world(2);
    ASSERT_TRUE(world.Until([&] { return !world.discovery.requests.empty(); }));
    const auto answer = [&](std::size_t call, const std::string& phase) {
      world.discovery.requests[call].Respond(
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
    EXPECT_NE(world.discovery.requests[silent].connection, world.discovery.requests[silent + 1].connection);
    answer(silent + 1, "draining");
    const std::string metric = "list_revision " + std::to_string(43 + silent) + "\n";
    ASSERT_TRUE(world.Until([&] { return world.Call("metrics\n").find(metric) != std::string::npos; }));
    const auto client = world.Connect();
    client->Send(ApiCall("a"));
    ASSERT_TRUE(world.Until([&] { return !world.host(1).requests.empty(); }));
    EXPECT_TRUE(world.host(0).requests.empty());
  }
}

// A gateway whose discovery gets a new address while a call to the former one is in progress. The new address
// answers when the test makes it.
struct MovingWorld : GatewayHarness {
  MovingWorld() : GatewayHarness(2) {
    for (const auto& host : hosts) {
      host->serve = [](const FakeServer::ReceivedRequest& taken) { taken.Respond(200, ""); };
    }
  }
  bool FirstCallArrived() {
    return Until([&] { return discovery.requests.size() == 1; });
  }
  // Puts bytes into the gateway's socket, where they stay unread until the event loop runs. If the gateway
  // has closed it, the checks that follow fail.
  void Write(const std::string& text) {
    error_code ignored;
    asio::write(discovery.requests[0].connection->socket, asio::buffer(text), ignored);
  }
  void Move() { gateway->MoveDiscovery(moved.address()); }
  // Runs the event loop for a few complete management calls: it has read what its sockets held before them.
  void TurnLoop() {
    for (int i = 0; i < 5; ++i) Call("check\n");
  }
  // How many of 20 consecutive requests reach the host.
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

  FakeServer moved{io};
  int asked = 0;
};

// Guards a drain that discovery has written and that is unread when its address changes: it takes effect at
// once, however long the new address takes for its first response.
TEST(DiscoveryClient, TakesAResponseWrittenAtTheFormerAddressBeforeTheChange) {
  MovingWorld world;
  ASSERT_TRUE(world.FirstCallArrived());
  EXPECT_GT(world.Share(0), 0u);
  world.Write(world.Answer(world.Drained(42)));
  world.Move();
  world.TurnLoop();
  EXPECT_EQ(world.Share(0), 0u);
  ASSERT_TRUE(world.Until([&] { return world.moved.requests.size() == 1; }));
  EXPECT_EQ(world.Share(0), 0u);
  // The watch at the new address begins at the revision known at the change.
  EXPECT_NE(std::string(world.moved.requests[0].http.target()).find("after=41&"), std::string::npos);
  world.moved.requests[0].Respond(200, world.Drained(42).dump());
  ASSERT_TRUE(world.Until([&] { return world.moved.requests.size() == 2; }));
  EXPECT_NE(std::string(world.moved.requests[1].http.target()).find("after=42&"), std::string::npos);
  EXPECT_EQ(world.Share(0), 0u);
}

// Guards the same for a response that has arrived in part, cut at each of several places, and for one that
// discovery writes after the new address got its first call.
TEST(DiscoveryClient, TakesAResponseWrittenAtTheFormerAddressDuringTheChange) {
  for (const std::size_t part : {0u, 1u, 20u, 60u, 150u}) {  // bytes in the socket at the change
    SCOPED_TRACE(part);
    MovingWorld world;
    ASSERT_TRUE(world.FirstCallArrived());
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

// Guards the order of the two addresses: once the new one has answered, a list from the former one, whose
// revisions may be of another epoch, is ignored. If the new one is silent, the former connection is closed
// after the 1.5 s for which discovery keeps it.
TEST(DiscoveryClient, IgnoresTheFormerAddressOnceTheNewOneAnswers) {
  MovingWorld world;
  ASSERT_TRUE(world.FirstCallArrived());
  world.Move();
  ASSERT_TRUE(world.Until([&] { return world.moved.requests.size() == 1; }));
  EXPECT_FALSE(world.discovery.connections[0]->closed_by_gateway);
  world.moved.requests[0].Respond(200, List(7, true, {Member("h1", world.host(1).address())}).dump());
  ASSERT_TRUE(world.Until([&] { return world.moved.requests.size() == 2; }));
  EXPECT_NE(std::string(world.moved.requests[1].http.target()).find("after=7&"), std::string::npos);
  world.Write(world.Answer(List(50, true, {Member("h0", world.host(0).address())})));
  world.TurnLoop();
  EXPECT_EQ(world.Share(0), 0u);
  ASSERT_TRUE(world.Until([&] { return world.discovery.connections[0]->closed_by_gateway; }));

  MovingWorld silent;
  ASSERT_TRUE(silent.FirstCallArrived());
  silent.Move();
  const Millis moved_at = base::MonotonicNow();
  ASSERT_TRUE(silent.Until([&] { return silent.discovery.connections[0]->closed_by_gateway; }));
  EXPECT_GE(base::MonotonicNow() - moved_at, 1400);
  ASSERT_TRUE(silent.Until([&] { return silent.moved.requests.size() == 2; }));  // the next call, by 4.5 s
}

// Guards that lists from the former address pass the guard against mass removal too.
TEST(DiscoveryClient, GuardsAgainstMassRemovalByTheFormerAddress) {
  MovingWorld world;
  world.EnableMassRemovalGuard();
  ASSERT_TRUE(world.FirstCallArrived());
  world.Write(world.Answer(List(42, true, nlohmann::json::array())));
  world.Move();
  world.TurnLoop();
  EXPECT_EQ(world.Vars()["pool_size"], 2);
}

}  // namespace
}  // namespace gateway::proxy::testing
