// The time that a request spends in the system's queues before the gateway reads it: its client counts it.
#include "proxy/client/accept_queue.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "proxy/clock.hpp"
#include "world.hpp"

namespace gateway::proxy::testing {
namespace {

using proxy::Now;

constexpr Millis kAllowed = 5000;  // the deadline of the requests below
constexpr Millis kWait = 400;      // before the gateway reads them: far more than its own margins

// Both hosts fail a request's first attempt. Returns what further ones told them, in order.
class FailingHosts {
 public:
  explicit FailingHosts(GatewayHarness& world) {
    for (const auto& host : world.hosts) {
      host->serve = [this](const FakeServer::ReceivedRequest& taken) { Serve(taken); };
    }
  }
  const std::vector<double>& told() const { return told_; }

 private:
  void Serve(const FakeServer::ReceivedRequest& taken) {
    const std::string id(taken.http["Req-Id"]);
    if (id.starts_with("warm")) return taken.Respond(200, "");
    if (tries_++ == 0) return taken.Respond(500, "");
    told_.push_back(std::stod(std::string(taken.http["Req-Deadline"])));
    taken.Respond(200, "second");
  }

  int tries_ = 0;
  std::vector<double> told_;
};

// What has passed since then; not before kWait.
Millis AwaitWithoutTheLoop(Millis since) {
  while (Now() - since < kWait) continue;
  return Now() - since;
}

// Guards what a further attempt tells its host: no more than its client has left, wherever the request stood.
TEST(Arrival, CountsTheWaitToBeAccepted) {
  GatewayHarness world(2);
  const FailingHosts hosts(world);
  const auto client = world.Connect();
  client->Send(ApiCall("r1"));
  const Millis waited = AwaitWithoutTheLoop(Now());
  EXPECT_EQ(client->Await().body(), "second");
  ASSERT_EQ(hosts.told().size(), 1u);
  EXPECT_LE(hosts.told().front(), kAllowed - waited);
}

TEST(Arrival, CountsTheWaitToBeReadOnAnOpenConnection) {
  GatewayHarness world(2);
  const FailingHosts hosts(world);
  const auto client = world.Connect();
  client->Send(ApiCall("warm"));
  client->Await();
  client->Send(ApiCall("r1"));
  const Millis waited = AwaitWithoutTheLoop(Now());
  EXPECT_EQ(client->Await(2).body(), "second");
  ASSERT_EQ(hosts.told().size(), 1u);
  EXPECT_LE(hosts.told().front(), kAllowed - waited);
}

// The same while all places are taken, by clients that go on sending half of a request.
TEST(Arrival, CountsTheWaitForAPlace) {
  GatewayHarness world(2, TestSettings(), 10);  // 3 for clients
  const FailingHosts hosts(world);
  std::vector<std::unique_ptr<Client>> halves;
  for (int i = 0; i < 3; ++i) {
    halves.push_back(world.Connect());
    halves.back()->Send("GET /api HTTP/1.1\r\nReq-Id:");
    world.io.run_for(std::chrono::milliseconds(20));
  }
  const auto client = world.Connect();
  client->Send(ApiCall("r1"));
  const Millis sent_at = Now();
  while (Now() - sent_at < kWait) {
    for (const auto& half : halves) half->Send("x");
    world.io.run_for(std::chrono::milliseconds(20));
  }
  EXPECT_TRUE(client->responses().empty());
  const Millis waited = Now() - sent_at;
  halves.front()->Disconnect();
  EXPECT_EQ(client->Await().body(), "second");
  ASSERT_EQ(hosts.told().size(), 1u);
  EXPECT_LE(hosts.told().front(), kAllowed - waited);
}

// Guards the other side: a client that rests before it sends has lost nothing by that.
TEST(Arrival, CountsNoRestBeforeTheRequest) {
  GatewayHarness world(2);
  const FailingHosts hosts(world);
  const auto client = world.Connect();
  client->Send(ApiCall("warm"));
  client->Await();
  const Millis rests_at = Now();
  ASSERT_TRUE(world.Until([&] { return Now() - rests_at >= kWait; }));
  const Millis sent_at = Now();
  client->Send(ApiCall("r1"));
  EXPECT_EQ(client->Await(2).body(), "second");
  const Millis took = Now() - sent_at;
  ASSERT_EQ(hosts.told().size(), 1u);
  EXPECT_GE(hosts.told().front(), kAllowed - took - 50);  // the gateway's margin, and the system's clock tick
}

// Guards systems that don't tell when data came: without a connection, or of another kind.
TEST(Arrival, IsUnknownWhereTheSystemDoesNotTell) {
  EXPECT_EQ(proxy::TimeSinceLastReceived(-1), std::nullopt);
  asio::io_context io;
  asio::ip::udp::socket other(io, asio::ip::udp::v4());
  EXPECT_EQ(proxy::TimeSinceLastReceived(other.native_handle()), std::nullopt);
}

// Guards the bound that stands in there: a queue is as old as the last moment at which it was empty.
TEST(AcceptQueueDelay, BoundsTheWaitByWhenItWasLastEmpty) {
  proxy::AcceptQueueDelay queue;
  EXPECT_EQ(queue.LongestWait(1000), 0);
  queue.Observe(1000, true);
  queue.Observe(1200, true);
  EXPECT_EQ(queue.LongestWait(1500), 500);
  queue.Observe(1600, false);
  EXPECT_EQ(queue.LongestWait(1700), 0);
  queue.Observe(1800, true);
  EXPECT_EQ(queue.LongestWait(1900), 100);
}

TEST(AcceptQueueDelay, IsSeenOnTheListener) {
  asio::io_context io;
  tcp::acceptor listener(io, Loopback());
  EXPECT_FALSE(proxy::HasPendingConnections(listener.native_handle()));
  tcp::socket client(io);
  client.connect(listener.local_endpoint());
  EXPECT_TRUE(proxy::HasPendingConnections(listener.native_handle()));
  listener.accept();
  EXPECT_FALSE(proxy::HasPendingConnections(listener.native_handle()));
}

}  // namespace
}  // namespace gateway::proxy::testing
