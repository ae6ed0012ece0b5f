// Tests of the client that watches the endpoint list: failover between list services, the guard against mass
// removal, and a change of the service address.
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

// A client that watches two list services. The test configures the responses of the services.
struct TwoServicesFixture : DiscoveryClient::Observer {
  struct Service {
    explicit Service(asio::io_context& io) : server(io) {}
    FakeServer server;
    std::int64_t revision = 50;
    std::string epoch = "e1";
    int status = 200;
    std::size_t long_polls = 0;  // number of long-poll calls received
  };
  TwoServicesFixture() {
    for (Service* service : {&first, &second}) {
      service->server.serve = [service](const FakeServer::ReceivedRequest& request) {
        const std::string target(request.http.target());
        const bool is_long_poll = target.find("wait_ms=0") == std::string::npos;
        service->long_polls += is_long_poll;
        nlohmann::json list =
            MakeEndpointList(service->revision, true, {MakeEndpointEntry("h0", Loopback(80))});
        list["epoch"] = service->epoch;
        const auto after = target.find("after=" + std::to_string(service->revision) + "&");
        const bool is_current = after != std::string::npos;
        if (is_long_poll && is_current && service->status == 200)
          return;  // a long poll receives no response until the list changes
        request.Respond(service->status, list.dump());
      };
    }
    DiscoveryClient::Options options;
    options.services = {first.server.address(), second.server.address()};
    options.probe_interval = 40;
    options.catch_up_timeout = 60;
    options.return_delay = 150;
    client.emplace(io, options, *this);
    client->Watch();
  }
  void OnEndpointList(EndpointList list, proxy::ListOrigin) override { revisions.push_back(list.revision); }
  void OnWatchFailed(Millis) override { ++failures; }
  std::string RejectionReason(const EndpointList&) override { return rejection_reason; }
  ::testing::AssertionResult Until(const std::function<bool()>& condition) {
    if (RunUntil(io, condition)) return ::testing::AssertionSuccess();
    return ::testing::AssertionFailure() << "the condition did not hold before the timeout of RunUntil";
  }

  asio::io_context io;
  Service first{io}, second{io};
  std::vector<std::int64_t> revisions;  // revisions of the accepted lists
  int failures = 0;                     // number of failed watches
  std::string rejection_reason;
  std::optional<DiscoveryClient> client;
};

TEST(DiscoveryClient, FailsOverToAnotherServiceAndReturnsAfterRecovery) {
  TwoServicesFixture fixture;
  ASSERT_TRUE(fixture.Until([&] { return fixture.revisions == std::vector<std::int64_t>{50}; }));
  EXPECT_EQ(fixture.client->service_index(), 0u);
  fixture.first.status = 503;
  for (const auto& connection : fixture.first.server.connections) connection->Reset();
  ASSERT_TRUE(
      fixture.Until([&] { return fixture.client->service_index() == 1 && fixture.second.long_polls > 0; }));
  EXPECT_EQ(fixture.failures, 0);  // the watch fails only if the second service fails too
  fixture.second.revision = 51;
  fixture.first.status = 200;
  fixture.first.revision = 51;
  ASSERT_TRUE(
      fixture.Until([&] { return fixture.client->service_index() == 0 && fixture.revisions.back() == 51; }));
}

TEST(DiscoveryClient, CallsEachServiceOnceBeforeItReportsAFailedWatch) {
  TwoServicesFixture fixture;
  fixture.first.status = fixture.second.status = 503;
  ASSERT_TRUE(fixture.Until([&] { return fixture.failures == 1; }));
  EXPECT_EQ(fixture.first.long_polls + fixture.second.long_polls, 2u);
}

TEST(DiscoveryClient, SwitchesToAServiceWithANewerRevision) {
  TwoServicesFixture fixture;
  ASSERT_TRUE(fixture.Until([&] { return fixture.revisions.size() == 1; }));
  fixture.second.revision = 52;  // the first service stays at 50
  ASSERT_TRUE(fixture.Until([&] { return fixture.revisions.back() == 52; }));
  EXPECT_EQ(fixture.client->service_index(), 1u);
  // The client must not return to the first service, whose list is still at revision 50.
  const Millis until = base::MonotonicNow() + 500;
  ASSERT_TRUE(fixture.Until([&] { return base::MonotonicNow() > until; }));
  EXPECT_EQ(fixture.client->service_index(), 1u);
  EXPECT_EQ(fixture.revisions.back(), 52);
}

TEST(DiscoveryClient, AcceptsALowerRevisionOnlyFromAnotherEpoch) {
  TwoServicesFixture fixture;
  ASSERT_TRUE(fixture.Until([&] { return fixture.revisions.size() == 1; }));
  fixture.second.revision = 40;
  for (const auto& connection : fixture.first.server.connections) connection->Reset();
  fixture.first.status = 503;
  ASSERT_TRUE(fixture.Until([&] { return fixture.failures > 0; }));
  EXPECT_EQ(fixture.revisions, std::vector<std::int64_t>{50});
  fixture.second.epoch = "e2";  // a service that has lost its data on disk starts a new epoch
  fixture.client->Watch();
  ASSERT_TRUE(fixture.Until([&] {
    if (fixture.failures > 1) {
      fixture.failures = 0;
      fixture.client->Watch();
    }
    return fixture.revisions.back() == 40;
  }));
}

TEST(DiscoveryClient, IgnoresARejectedListAndReportsAFailedWatch) {
  TwoServicesFixture fixture;
  fixture.rejection_reason = "too many endpoints are missing";
  ASSERT_TRUE(fixture.Until([&] { return fixture.failures == 1; }));
  EXPECT_TRUE(fixture.revisions.empty());
  EXPECT_EQ(fixture.client->last_list_at(), 0);
}

// The ServiceFailover tests call the state machine directly and pass simulated times in ms.
TEST(ServiceFailover, ReportsAFailureOnlyAfterEveryServiceHasFailed) {
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

TEST(ServiceFailover, DoublesTheReturnDelayIfTheFirstServiceFailsAgain) {
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

TEST(ServiceFailover, IgnoresAProbeThatReturnsAListOfAnotherEpoch) {
  const proxy::ServiceFailover failover(2, 100);
  const proxy::WatchPosition position{7, "e1"};
  EXPECT_EQ(failover.EvaluateProbe(1, {8, true, {}, "e1", 0}, position, 0),
            proxy::ProbeDecision::kSwitchUnlessCaughtUp);
  EXPECT_EQ(failover.EvaluateProbe(1, {8, true, {}, "e2", 0}, position, 0), proxy::ProbeDecision::kStay);
}

// A delta removes the endpoints whose listed state is "removed". A snapshot removes the known endpoints that
// are missing from it. The removal of a single endpoint is never a mass removal.
TEST(MassRemovalGuard, CountsRemovalsInSnapshotsAndDeltas) {
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

// A list service that has lost its data may send a list without most of the endpoints. The gateway must not
// remove these endpoints until an operator confirms the removal. It must still apply the drains in the list.
TEST(MassRemovalGuard, KeepsEndpointsUntilAMassRemovalIsConfirmed) {
  GatewayHarness harness(6);
  harness.EnableMassRemovalGuard();
  const auto list_of = [&](std::int64_t revision, std::size_t hosts, std::int64_t confirmed) {
    std::vector<nlohmann::json> members;
    for (std::size_t i = 0; i < hosts; ++i) {
      members.push_back(
          MakeEndpointEntry("h" + std::to_string(i), harness.host(i).address(), i == 0 ? "draining" : "up"));
    }
    nlohmann::json list = MakeEndpointList(revision, true, members);
    list["confirmed"] = confirmed;
    return list.dump();
  };
  const auto respond = [&](const std::string& body) {
    const std::size_t earlier_calls = harness.discovery.requests.size();
    ASSERT_TRUE(harness.Until([&] { return harness.discovery.requests.size() > earlier_calls; }));
    harness.discovery.requests.back().Respond(200, body);
  };
  respond(list_of(42, 2, 0));
  respond(list_of(43, 2, 0));
  EXPECT_EQ(harness.Vars()["pool_size"], 6);
  respond(list_of(44, 3, 0));  // removing 3 of 6 endpoints is not a mass removal
  ASSERT_TRUE(harness.Until([&] { return harness.Vars()["pool_size"] == 3; }));
  respond(list_of(46, 1, 45));  // the removal is confirmed
  ASSERT_TRUE(harness.Until([&] { return harness.Vars()["pool_size"] == 1; }));
}

// Discovery assumes that every gateway has received a change 6 s after its publication. If a call of the
// watch receives no response, the client must make the next call within 5 s, which leaves 1 s for the
// response. This holds for the first call and for later calls.
TEST(DiscoveryClient, ReopensTheWatchWithin5SecondsIfACallReceivesNoResponse) {
  for (const std::size_t unanswered : {0u, 1u}) {  // index of the call that receives no response
    GatewayHarness harness(2);
    ASSERT_TRUE(harness.Until([&] { return !harness.discovery.requests.empty(); }));
    const auto respond = [&](std::size_t call, const std::string& phase) {
      harness.discovery.requests[call].Respond(
          200, MakeEndpointList(42 + static_cast<int>(call), true,
                                {MakeEndpointEntry("h0", harness.host(0).address(), phase),
                                 MakeEndpointEntry("h1", harness.host(1).address())})
                   .dump());
    };
    if (unanswered == 1) {
      respond(0, "up");
      ASSERT_TRUE(harness.Until([&] { return harness.discovery.requests.size() == 2; }));
    }
    const Millis started_at = base::MonotonicNow();
    ASSERT_TRUE(harness.Until([&] { return harness.discovery.requests.size() == unanswered + 2; }));
    EXPECT_LT(base::MonotonicNow() - started_at, 5000) << "call " << unanswered;
    EXPECT_NE(harness.discovery.requests[unanswered].connection,
              harness.discovery.requests[unanswered + 1].connection);
    respond(unanswered + 1, "draining");
    const std::string metric = "list_revision " + std::to_string(43 + unanswered) + "\n";
    ASSERT_TRUE(harness.Until([&] { return harness.Call("metrics\n").find(metric) != std::string::npos; }));
    const auto client = harness.Connect();
    client->Send(ApiCall("a"));
    ASSERT_TRUE(harness.Until([&] { return !harness.host(1).requests.empty(); }));
    EXPECT_TRUE(harness.host(0).requests.empty());
  }
}

// A gateway whose discovery address changes while a call to the former address is in progress. The test
// writes the responses of the services at the former address and at the new address.
struct AddressChangeHarness : GatewayHarness {
  AddressChangeHarness() : GatewayHarness(2) {
    for (const auto& host : hosts) {
      host->serve = [](const FakeServer::ReceivedRequest& request) { request.Respond(200, ""); };
    }
  }
  bool FirstCallArrived() {
    return Until([&] { return discovery.requests.size() == 1; });
  }
  // Writes the text to the gateway's connection at the former address. The gateway reads the text when the
  // event loop runs. Ignores errors: if the gateway has closed the connection, a later check fails.
  void WriteAtFormerAddress(const std::string& text) {
    error_code ignored;
    asio::write(discovery.requests[0].connection->socket, asio::buffer(text), ignored);
  }
  void ChangeAddress() { gateway->ChangeDiscovery({.file = new_discovery.address()}); }
  // Makes a few management calls. When they return, the gateway has read all bytes that its sockets had
  // received before.
  void RunEventLoop() {
    for (int i = 0; i < 5; ++i) Call("check\n");
  }
  // Sends 20 requests one after another and returns how many of them reach the host.
  std::size_t CountRequestsTo(std::size_t host_index) {
    const std::size_t before = host(host_index).requests.size();
    const auto client = Connect();
    for (std::size_t i = 1; i <= 20; ++i) {
      client->Send(ApiCall("r" + std::to_string(++sent_requests)));
      EXPECT_EQ(client->Await(i).result(), http::status::ok);
    }
    return host(host_index).requests.size() - before;
  }
  std::string MakeResponse(const nlohmann::json& list) const {
    const std::string body = list.dump();
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  // Returns a delta that drains host 0.
  nlohmann::json MakeDrain(int revision) {
    return MakeEndpointList(revision, false, {MakeEndpointEntry("h0", host(0).address(), "draining")});
  }

  FakeServer new_discovery{io};
  int sent_requests = 0;
};

// When the address of discovery changes, the socket of the former address may hold a drain that the gateway
// has not read yet. The drain must take effect at once, even if the new address has not responded.
TEST(DiscoveryClient, AcceptsAResponseOfTheFormerAddressWrittenBeforeTheChange) {
  AddressChangeHarness harness;
  ASSERT_TRUE(harness.FirstCallArrived());
  EXPECT_GT(harness.CountRequestsTo(0), 0u);
  harness.WriteAtFormerAddress(harness.MakeResponse(harness.MakeDrain(42)));
  harness.ChangeAddress();
  harness.RunEventLoop();
  EXPECT_EQ(harness.CountRequestsTo(0), 0u);
  ASSERT_TRUE(harness.Until([&] { return harness.new_discovery.requests.size() == 1; }));
  EXPECT_EQ(harness.CountRequestsTo(0), 0u);
  // The watch at the new address must begin at the revision that the gateway knew at the change.
  EXPECT_NE(std::string(harness.new_discovery.requests[0].http.target()).find("after=41&"),
            std::string::npos);
  harness.new_discovery.requests[0].Respond(200, harness.MakeDrain(42).dump());
  ASSERT_TRUE(harness.Until([&] { return harness.new_discovery.requests.size() == 2; }));
  EXPECT_NE(std::string(harness.new_discovery.requests[1].http.target()).find("after=42&"),
            std::string::npos);
  EXPECT_EQ(harness.CountRequestsTo(0), 0u);
}

// A drain must also take effect if discovery writes a part of the response before the address changes, and
// the rest after the first call to the new address. The test repeats this with parts of several lengths.
TEST(DiscoveryClient, AcceptsAResponseOfTheFormerAddressCompletedAfterTheChange) {
  for (const std::size_t part : {0u, 1u, 20u, 60u, 150u}) {  // bytes written before the change
    SCOPED_TRACE(part);
    AddressChangeHarness harness;
    ASSERT_TRUE(harness.FirstCallArrived());
    const std::string response = harness.MakeResponse(harness.MakeDrain(42));
    ASSERT_LT(part, response.size());
    harness.WriteAtFormerAddress(response.substr(0, part));
    harness.ChangeAddress();
    ASSERT_TRUE(harness.Until([&] { return harness.new_discovery.requests.size() == 1; }));
    harness.WriteAtFormerAddress(response.substr(part));
    harness.RunEventLoop();
    EXPECT_EQ(harness.CountRequestsTo(0), 0u);
  }
}

// Once the new address has responded, the gateway must ignore a list from the former address, because that
// list may belong to another epoch. If the new address does not respond, the gateway must close the
// connection to the former address after 1.5 s, the time for which discovery keeps that connection.
TEST(DiscoveryClient, IgnoresTheFormerAddressAfterAResponseOfTheNewAddress) {
  AddressChangeHarness harness;
  ASSERT_TRUE(harness.FirstCallArrived());
  harness.ChangeAddress();
  ASSERT_TRUE(harness.Until([&] { return harness.new_discovery.requests.size() == 1; }));
  EXPECT_FALSE(harness.discovery.connections[0]->closed_by_gateway);
  harness.new_discovery.requests[0].Respond(
      200, MakeEndpointList(7, true, {MakeEndpointEntry("h1", harness.host(1).address())}).dump());
  ASSERT_TRUE(harness.Until([&] { return harness.new_discovery.requests.size() == 2; }));
  EXPECT_NE(std::string(harness.new_discovery.requests[1].http.target()).find("after=7&"), std::string::npos);
  harness.WriteAtFormerAddress(
      harness.MakeResponse(MakeEndpointList(50, true, {MakeEndpointEntry("h0", harness.host(0).address())})));
  harness.RunEventLoop();
  EXPECT_EQ(harness.CountRequestsTo(0), 0u);
  ASSERT_TRUE(harness.Until([&] { return harness.discovery.connections[0]->closed_by_gateway; }));

  AddressChangeHarness unanswered;
  ASSERT_TRUE(unanswered.FirstCallArrived());
  unanswered.ChangeAddress();
  const Millis changed_at = base::MonotonicNow();
  ASSERT_TRUE(unanswered.Until([&] { return unanswered.discovery.connections[0]->closed_by_gateway; }));
  EXPECT_GE(base::MonotonicNow() - changed_at, 1400);
  // The next call to the new address is due within 4.5 s, although the first call received no response.
  ASSERT_TRUE(unanswered.Until([&] { return unanswered.new_discovery.requests.size() == 2; }));
}

// The mass removal guard must also reject a list from the former address.
TEST(DiscoveryClient, RejectsAMassRemovalByTheFormerAddress) {
  AddressChangeHarness harness;
  harness.EnableMassRemovalGuard();
  ASSERT_TRUE(harness.FirstCallArrived());
  harness.WriteAtFormerAddress(harness.MakeResponse(MakeEndpointList(42, true, nlohmann::json::array())));
  harness.ChangeAddress();
  harness.RunEventLoop();
  EXPECT_EQ(harness.Vars()["pool_size"], 2);
}

}  // namespace
}  // namespace gateway::proxy::testing
