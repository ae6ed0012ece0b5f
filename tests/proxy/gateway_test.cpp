// The gateway, tested over loopback sockets with fake clients, hosts and discovery.
#include "proxy/gateway.hpp"

#include <gtest/gtest.h>

#include "proxy/clock.hpp"
#include "world.hpp"

namespace gateway::proxy::testing {
namespace {

proxy::UpstreamRequest MakeUpstreamRequest(std::shared_ptr<const HttpRequest> request, Millis deadline,
                                           std::function<void(policy::AttemptResult)> on_end) {
  proxy::UpstreamRequest attempt;
  attempt.request = std::move(request);
  attempt.deadline = deadline;
  attempt.on_end = [on_end = std::move(on_end)](policy::AttemptResult result, HttpResponse) {
    on_end(result);
  };
  return attempt;
}

policy::EndpointInfo MakeHost(const std::string& id) {
  policy::EndpointInfo host;
  host.id = id;
  return host;
}

// A header field or a body that is lost or changed on the way would break hosts and clients. Only the
// deadline changes: the host receives the remaining time.
TEST(Gateway, ForwardsARequestAndItsResponse) {
  GatewayHarness harness;
  const auto client = harness.Connect();
  client->Send(ApiCall("r1", "pay", "5000m", "body of r1", "Idempotency-Key: k1\r\nReq-Owner: acme\r\n"));
  ASSERT_TRUE(harness.Until([&] { return harness.host().requests.size() == 1; }));
  const HttpRequest& received = harness.host().requests[0].http;
  EXPECT_EQ(received.method(), http::verb::post);
  EXPECT_EQ(received.target(), "/api");
  EXPECT_EQ(received["Req-Id"], "r1");
  EXPECT_EQ(received["Idempotency-Key"], "k1");
  EXPECT_EQ(received.body(), "body of r1");
  const std::string remaining_time(received["Req-Deadline"]);
  ASSERT_FALSE(remaining_time.empty());
  EXPECT_EQ(remaining_time.back(), 'm');
  EXPECT_GT(std::stoi(remaining_time), 0);
  EXPECT_LT(std::stoi(remaining_time), 5000);
  harness.host().requests[0].Respond(200, "answer to r1");
  EXPECT_EQ(client->Await().result(), http::status::ok);
  EXPECT_EQ(client->Await().body(), "answer to r1");
  EXPECT_TRUE(client->Await().keep_alive());
}

// Bodies of up to 64 KiB are buffered. An off-by-one error at this limit would lose a body of exactly 64 KiB.
TEST(Gateway, ForwardsBodiesOfTheLargestBufferedSize) {
  GatewayHarness harness;
  const auto client = harness.Connect();
  client->Send(ApiCall("r1", "pay", "9000m", std::string(64 * 1024, 'x')));
  ASSERT_TRUE(harness.Until([&] { return harness.host().requests.size() == 1; }));
  EXPECT_EQ(harness.host().requests[0].http.body().size(), 64u * 1024);
  harness.host().requests[0].Respond(200, std::string(64 * 1024, 'y'));
  EXPECT_EQ(client->Await().body().size(), 64u * 1024);
}

struct InvalidRequest {
  std::string description, text;
  unsigned status;
};

// Invalid input must neither reach a host nor stop the gateway. The client receives a 4xx status: a retry
// would fail again.
TEST(Gateway, RejectsInvalidRequestsWithoutForwardingThem) {
  const std::string head = "GET /api HTTP/1.1\r\nHost: b\r\n";
  const std::string valid_fields = "Req-Id: a\r\nReq-Kind: view\r\nReq-Deadline: 900m\r\n";
  const std::vector<InvalidRequest> inputs = {
      {"not HTTP", "BOGUS\r\n\r\n", 400},
      {"binary", std::string("\x16\x03\x01\x02\0\x01\r\n\r\n", 10), 400},
      {"bad length", "POST /api HTTP/1.1\r\nContent-Length: x\r\n\r\n", 400},
      {"large body",
       "POST /api HTTP/1.1\r\n" + valid_fields.substr(0, valid_fields.find("view")) +
           "pay\r\nReq-Deadline: 900m\r\nContent-Length: 33554433\r\n\r\nx",
       413},
      {"large header", head + "X: " + std::string(20000, 'x') + "\r\n\r\n", 431},
      {"no id", head + "Req-Kind: view\r\nReq-Deadline: 900m\r\n\r\n", 400},
      {"long id", ApiCall(std::string(300, 'i')), 400},
      {"unknown class", ApiCall("a", "steal"), 400},
      {"no class", head + "Req-Id: a\r\nReq-Deadline: 900m\r\n\r\n", 400},
      {"no deadline", head + "Req-Id: a\r\nReq-Kind: view\r\n\r\n", 400},
      {"deadline without a unit", ApiCall("a", "view", "900"), 400},
      {"deadline that is a word", ApiCall("a", "view", "soonm"), 400},
      {"negative deadline", ApiCall("a", "view", "-5m"), 400},
      {"NaN deadline", ApiCall("a", "view", "nanm"), 400},
      {"infinite deadline", ApiCall("a", "view", "infm"), 400},
      {"wrong path", "GET /apix HTTP/1.1\r\n" + valid_fields + "\r\n", 404},
      {"idempotent class with POST", "POST /api HTTP/1.1\r\nContent-Length: 0\r\n" + valid_fields + "\r\n",
       405},
      {"other method", "DELETE /api HTTP/1.1\r\n" + valid_fields + "\r\n", 405},
      {"non-idempotent class with GET", head + "Req-Id: a\r\nReq-Kind: pay\r\nReq-Deadline: 900m\r\n\r\n",
       405},
      {"class with idempotency keys without a key", ApiCall("a", "key"), 400},
  };
  GatewayHarness harness;
  for (const InvalidRequest& input : inputs) {
    SCOPED_TRACE(input.description);
    const auto client = harness.Connect();
    client->Send(input.text);
    EXPECT_EQ(client->Await().result_int(), input.status);
  }
  EXPECT_TRUE(harness.host().requests.empty());
  const auto client = harness.Connect();
  client->Send(ApiCall("fine"));
  ASSERT_TRUE(harness.Until([&] { return harness.host().requests.size() == 1; }));
  harness.host().requests[0].Respond(200, "");
  EXPECT_EQ(client->Await().result(), http::status::ok);
}

// The gateway identifies requests by their ID. It could not distinguish the outcomes of two concurrent
// requests with the same ID.
TEST(Gateway, RejectsARequestWhoseIdIsInUse) {
  GatewayHarness harness;
  const auto first = harness.Connect(), second = harness.Connect();
  first->Send(ApiCall("r1"));
  ASSERT_TRUE(harness.Until([&] { return harness.host().requests.size() == 1; }));
  second->Send(ApiCall("r1"));
  EXPECT_EQ(second->Await().result(), http::status::conflict);
  harness.host().requests[0].Respond(200, "");
  EXPECT_EQ(first->Await().result(), http::status::ok);
}

// A request that the policy rejects must not stay queued, and its client needs to know when to retry.
TEST(Gateway, SendsRetryAfterWithARejection) {
  GatewayHarness harness;
  const auto client = harness.Connect();
  client->Send(ApiCall("r1", "pay", "15m"));  // too short for an attempt
  EXPECT_EQ(client->Await().result(), http::status::service_unavailable);
  EXPECT_EQ(client->Await().count("Retry-After"), 1u);
  EXPECT_TRUE(harness.host().requests.empty());
}

// A way in which a host fails a request, and whether it may have executed the request.
struct HostFailure {
  std::string description;
  std::function<void(const FakeServer::ReceivedRequest&)> fail;
  bool may_have_run;
};

const std::vector<HostFailure>& HostFailures() {
  static const std::vector<HostFailure> failures = {
      {"reset", [](const auto& request) { request.connection->Reset(); }, true},
      {"closed", [](const auto& request) { request.connection->Close(); }, true},
      {"incomplete response",
       [](const auto& request) {
         request.connection->WriteRaw("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
         asio::post(request.connection->socket.get_executor(),
                    [connection = request.connection] { connection->Close(); });
       },
       true},
      {"incomplete header",
       [](const auto& request) {
         request.connection->WriteRaw("HTTP/1.1 200 OK\r\nContent-");
         asio::post(request.connection->socket.get_executor(),
                    [connection = request.connection] { connection->Close(); });
       },
       true},
      {"not HTTP", [](const auto& request) { request.connection->WriteRaw("220 mail ready\r\n\r\n"); }, true},
      {"too large",
       [](const auto& request) {
         request.connection->WriteRaw("HTTP/1.1 200 OK\r\nContent-Length: 33554433\r\n\r\nsome");
       },
       true},
      {"error", [](const auto& request) { request.Respond(500, "oops"); }, true},
      {"503 without Srv-Declined", [](const auto& request) { request.Respond(503, ""); }, true},
      {"503 with Srv-Declined: 0", [](const auto& request) { request.Respond(503, "", "Srv-Declined", "0"); },
       true},
      {"500 with Srv-Declined: 1", [](const auto& request) { request.Respond(500, "", "Srv-Declined", "1"); },
       true},
      {"503 with Srv-Declined: 1", [](const auto& request) { request.Respond(503, "", "Srv-Declined", "1"); },
       false},
      {"504 with Srv-Declined: 1", [](const auto& request) { request.Respond(504, "", "Srv-Declined", "1"); },
       false},
  };
  return failures;
}

// If the first host may have executed a non-idempotent request, a retry by the gateway could execute it
// twice. So could a retry by the client, which a rejection (503) would allow. The gateway must then respond
// with 502. It retries only if the request cannot have run. The second host would serve a retry.
TEST(Gateway, RetriesANonIdempotentRequestOnlyIfItNeverRan) {
  for (const HostFailure& failure : HostFailures()) {
    SCOPED_TRACE(failure.description);
    GatewayHarness harness(2);
    int attempts = 0;
    for (std::size_t i = 0; i < 2; ++i) {
      harness.host(i).serve = [&](const FakeServer::ReceivedRequest& request) {
        if (attempts++ == 0) return failure.fail(request);
        request.Respond(200, "second");
      };
    }
    const auto client = harness.Connect();
    client->Send(ApiCall("r1", "pay"));
    EXPECT_EQ(client->Await().result_int(), failure.may_have_run ? 502u : 200u);
    EXPECT_EQ(attempts, failure.may_have_run ? 1 : 2);
    EXPECT_EQ(client->responses().size(), 1u);
  }
}

// An idempotent request must not fail because one of the two hosts fails it: the other host serves the retry.
TEST(Gateway, RetriesAnIdempotentRequest) {
  for (const HostFailure& failure : HostFailures()) {
    SCOPED_TRACE(failure.description);
    GatewayHarness harness(2);
    int attempts = 0;
    for (std::size_t i = 0; i < 2; ++i) {
      harness.host(i).serve = [&](const FakeServer::ReceivedRequest& request) {
        if (attempts++ == 0) return failure.fail(request);
        request.Respond(200, "second");
      };
    }
    const auto client = harness.Connect();
    client->Send(ApiCall("r1"));
    EXPECT_EQ(client->Await().body(), "second");
  }
}

// A host that refuses the connection cannot have executed the request. The response must be 503 with
// Retry-After, so that the client may retry, and not 502.
TEST(Gateway, RejectsARequestWhoseConnectionIsRefused) {
  GatewayHarness harness;
  harness.host().StopListening();
  const auto client = harness.Connect();
  client->Send(ApiCall("r1", "pay", "300m"));
  EXPECT_EQ(client->Await().result_int(), 503u);
  EXPECT_EQ(client->Await().count("Retry-After"), 1u);
}

// A request whose host stalls must fail at its deadline, and the gateway must close the connection to the
// host. If the connection were reused, a late response would be taken for the response to the next request.
TEST(Gateway, FailsARequestAtItsDeadlineIfTheHostStalls) {
  GatewayHarness harness;
  const auto client = harness.Connect();
  const auto sent_at = std::chrono::steady_clock::now();
  client->Send(ApiCall("r1", "pay", "400m"));
  ASSERT_TRUE(harness.Until([&] { return harness.host().requests.size() == 1; }));
  EXPECT_EQ(client->Await().result_int(), 502u);
  EXPECT_GE(std::chrono::steady_clock::now() - sent_at, std::chrono::milliseconds(300));
  ASSERT_TRUE(harness.Until([&] { return harness.host().connections[0]->closed_by_gateway; }));
  harness.host().requests[0].Respond(200, "late");
  client->Send("GET /up HTTP/1.1\r\n\r\n");  // its response must be the next one that this client receives
  EXPECT_EQ(client->Await(2).body(), "");
  EXPECT_EQ(client->responses().size(), 2u);
}

// Opening a connection costs the host time. Consecutive requests must reuse an idle connection, and the most
// recently used one if several are idle.
TEST(Gateway, ReusesTheMostRecentlyUsedConnection) {
  GatewayHarness harness;
  FakeServer& host = harness.host();
  const auto first = harness.Connect(), second = harness.Connect();
  first->Send(ApiCall("r1"));
  ASSERT_TRUE(harness.Until([&] { return host.requests.size() == 1; }));
  second->Send(ApiCall("r2"));
  ASSERT_TRUE(harness.Until([&] { return host.requests.size() == 2; }));
  EXPECT_EQ(host.connections.size(), 2u);
  host.requests[0].Respond(200, "");
  first->Await();
  host.requests[1].Respond(200, "");
  second->Await();
  first->Send(ApiCall("r3"));
  ASSERT_TRUE(harness.Until([&] { return host.requests.size() == 3; }));
  EXPECT_EQ(host.connections.size(), 2u);
  EXPECT_EQ(host.requests[2].connection, host.requests[1].connection);
}

// A host may close a connection while it is idle. If the gateway wrote a non-idempotent request to it, the
// request would fail with a reset, although a new connection would serve it.
TEST(Gateway, DetectsAConnectionClosedWhileIdle) {
  GatewayHarness harness;
  FakeServer& host = harness.host();
  host.serve = [](const FakeServer::ReceivedRequest& request) { request.Respond(200, ""); };
  const auto client = harness.Connect();
  for (std::size_t i = 1; i <= 6; ++i) {
    client->Send(ApiCall("r" + std::to_string(i), "pay"));
    EXPECT_EQ(client->Await(i).result(), http::status::ok);
    i % 2 == 0 ? host.connections.back()->Close() : host.connections.back()->Reset();
  }
  EXPECT_EQ(host.connections.size(), 6u);
}

// An unsolicited response on an idle connection must not be taken for the response to the next request.
TEST(Gateway, ClosesAConnectionWithAnUnsolicitedResponse) {
  GatewayHarness harness;
  FakeServer& host = harness.host();
  const auto client = harness.Connect();
  client->Send(ApiCall("r1"));
  ASSERT_TRUE(harness.Until([&] { return host.requests.size() == 1; }));
  host.requests[0].Respond(200, "one");
  EXPECT_EQ(client->Await().body(), "one");
  host.requests[0].Respond(200, "stray");
  client->Send(ApiCall("r2"));
  ASSERT_TRUE(harness.Until([&] { return host.requests.size() == 2 || client->responses().size() == 2; }));
  ASSERT_EQ(host.requests.size(), 2u);
  host.requests[1].Respond(200, "two");
  EXPECT_EQ(client->Await(2).body(), "two");
}

// Without cancellation a host would work for a client that has disconnected. The gateway cancels an attempt
// by closing its connection to the host.
TEST(Gateway, CancelsTheAttemptIfTheClientDisconnects) {
  GatewayHarness harness;
  const auto client = harness.Connect();
  client->Send(ApiCall("r1"));
  ASSERT_TRUE(harness.Until([&] { return harness.host().requests.size() == 1; }));
  client->Disconnect();
  EXPECT_TRUE(harness.Until([&] { return harness.host().connections[0]->closed_by_gateway; }));
  const auto other = harness.Connect();  // the ID is available again
  other->Send(ApiCall("r1"));
  ASSERT_TRUE(harness.Until([&] { return harness.host().requests.size() == 2; }));
  harness.host().requests[1].Respond(200, "");
  EXPECT_EQ(other->Await().result(), http::status::ok);
}

// If a client pipelines requests and then disconnects, unread data precedes its FIN. The gateway must still
// detect the disconnect and cancel the active attempt. Neither a retry nor a pipelined request may reach a
// host.
TEST(Gateway, DetectsADisconnectAfterPipelinedRequests) {
  for (const std::size_t pipelined : {1u, 600u}) {  // 600 requests exceed the read-ahead limit
    GatewayHarness harness;
    const auto client = harness.Connect();
    client->Send(ApiCall("r1", "view", "20000m"));
    ASSERT_TRUE(harness.Until([&] { return harness.host().requests.size() == 1; }));
    std::string requests;
    for (std::size_t i = 0; i < pipelined; ++i) requests += ApiCall("more" + std::to_string(i));
    client->Send(requests);
    harness.Call("check\n");  // when this call returns, the gateway has read the client's data
    client->Disconnect();
    const Millis disconnected_at = proxy::Now();
    EXPECT_TRUE(harness.Until([&] { return harness.host().connections[0]->closed_by_gateway; })) << pipelined;
    EXPECT_LT(proxy::Now() - disconnected_at, 5000) << pipelined;  // far less than the request's deadline
    EXPECT_EQ(harness.host().requests.size(), 1u);
    EXPECT_EQ(harness.host().connections.size(), 1u);
  }
}

// The gateway may handle a host's reset before it has read the client's close from the client's socket. It
// must not send a retry in this case, although the other host has an idle connection. The client disconnects
// after 0 to 7 iterations of the event loop; at least one of these runs must hit that case.
TEST(Gateway, StartsNoRetryIfTheClientsCloseIsUnread) {
  int closes_before_retry = 0;
  for (int iterations = 0; iterations < 8; ++iterations) {
    GatewayHarness harness(2);
    std::vector<std::string> sent;  // IDs of the requests that hosts received, in order
    for (const auto& host : harness.hosts) {
      host->serve = [&](const FakeServer::ReceivedRequest& request) {
        sent.emplace_back(request.http["Req-Id"]);
      };
    }
    std::vector<std::unique_ptr<Client>> warm;  // concurrent, so that their requests reach both hosts
    for (int i = 0; i < 4; ++i) {
      warm.push_back(harness.Connect());
      warm.back()->Send(ApiCall("warm" + std::to_string(i)));
    }
    ASSERT_TRUE(harness.Until([&] { return sent.size() == 4; }));
    for (const auto& host : harness.hosts) {
      ASSERT_FALSE(host->requests.empty());
      for (const auto& request : host->requests) request.Respond(200, "");
    }
    for (const auto& warm_client : warm) warm_client->Await();
    sent.clear();
    const auto client = harness.Connect();
    client->Send(ApiCall("r1"));
    ASSERT_TRUE(harness.Until([&] { return sent.size() == 1; }));
    const std::size_t first_host = harness.host(0).requests.back().http["Req-Id"] == "r1" ? 0 : 1;
    harness.host(first_host).requests.back().connection->Reset();
    for (int i = 0; i < iterations; ++i) harness.io.run_one_for(std::chrono::milliseconds(5));
    client->Disconnect();
    error_code ec;
    bool retry_sent = sent.size() > 1;  // before the client disconnected
    for (const auto& connection : harness.host(1 - first_host).connections) {
      retry_sent |= connection->socket.available(ec) > 0;
    }
    if (retry_sent) continue;
    ++closes_before_retry;
    ASSERT_TRUE(harness.Until(
        [&] { return harness.Call("metrics\n").find("clients_left_total 1") != std::string::npos; }));
    const auto next = harness.Connect();  // a retry would be sent before its request
    next->Send(ApiCall("r2"));
    ASSERT_TRUE(harness.Until([&] { return !sent.empty() && sent.back() == "r2"; }));
    EXPECT_EQ(sent, (std::vector<std::string>{"r1", "r2"})) << iterations;
  }
  EXPECT_GT(closes_before_retry, 0);
}

// If the client disconnects while the connection to the host is being established, nothing may be sent on it,
// whether the setting `cancelling` (cancellation of attempts) is on or off.
TEST(Gateway, SendsNothingIfTheClientDisconnectsDuringTheConnect) {
  for (const bool cancelling : {true, false}) {
    asio::io_context listener_io;
    tcp::acceptor listener(listener_io, tcp::v4());
    listener.bind(Loopback());
    listener.listen(0);
    listener.non_blocking(true);
    tcp::socket queue_filler(listener_io);
    queue_filler.connect(listener.local_endpoint());  // occupies the only slot of the accept queue
    nlohmann::json settings = TestSettings();
    settings["limits"]["cancelling"] = cancelling;
    GatewayHarness harness(0, settings, 300,
                           {{"known", List(41, true, {Member("h0", listener.local_endpoint())})}});
    const auto client = harness.Connect();
    client->Send(ApiCall("r1"));
    const auto has_metric = [&](const std::string& line) {
      return harness.Call("metrics\n").find(line) != std::string::npos;
    };
    ASSERT_TRUE(harness.Until([&] { return has_metric("dials_total 1"); }));
    client->Disconnect();
    ASSERT_TRUE(harness.Until([&] { return has_metric("clients_left_total 1"); }));
    std::vector<tcp::socket> accepted;
    ASSERT_TRUE(harness.Until([&] {
      error_code ec;
      tcp::socket socket = listener.accept(ec);
      if (!ec) accepted.push_back(std::move(socket));
      return has_metric("host_connections 0");
    })) << cancelling;
    for (auto& socket : accepted) {
      error_code ec;
      EXPECT_EQ(socket.available(ec), 0u) << cancelling;
    }
  }
}

// Pipelined requests arrive before the first response is written. None may be lost, and the responses must be
// in the order of the requests.
TEST(Gateway, RespondsToPipelinedRequestsInOrder) {
  GatewayHarness harness;
  harness.host().serve = [](const FakeServer::ReceivedRequest& request) {
    request.Respond(200, std::string(request.http["Req-Id"]));
  };
  const auto client = harness.Connect();
  client->Send(ApiCall("r1") + ApiCall("r2") + ApiCall("r3"));
  client->Await(3);
  ASSERT_EQ(client->responses().size(), 3u);
  for (int i = 0; i < 3; ++i) EXPECT_EQ(client->responses()[i].body(), "r" + std::to_string(i + 1));
}

// When a list marks a host as draining, the gateway must close its idle connections to the host and send no
// further attempt to it.
TEST(Gateway, SendsNothingToADrainingHost) {
  GatewayHarness harness(2);
  for (auto& host : harness.hosts)
    host->serve = [](const FakeServer::ReceivedRequest& request) { request.Respond(200, ""); };
  const auto client = harness.Connect();
  std::size_t sent = 0;
  while (harness.host(0).requests.empty() && sent < 1000) {
    client->Send(ApiCall("r" + std::to_string(++sent)));
    client->Await(sent);
  }
  ASSERT_FALSE(harness.host(0).requests.empty());
  ASSERT_TRUE(harness.Until([&] { return harness.discovery.requests.size() == 1; }));
  harness.discovery.requests[0].Respond(
      200, List(42, false, {Member("h0", harness.host(0).address(), "draining")}).dump());
  ASSERT_TRUE(harness.Until([&] { return harness.host(0).connections[0]->closed_by_gateway; }));
  const std::size_t requests_before = harness.host(0).requests.size();
  for (int i = 0; i < 20; ++i) {
    client->Send(ApiCall("r" + std::to_string(++sent)));
    EXPECT_EQ(client->Await(sent).result(), http::status::ok);
  }
  EXPECT_EQ(harness.host(0).requests.size(), requests_before);
}

// If a host begins to drain while a connection to it is being established, nothing may be sent on the
// connection. A full accept queue delays the connect, which succeeds once the queue has room.
TEST(UpstreamPool, SendsNothingIfTheHostDrainsDuringTheConnect) {
  asio::io_context io;
  tcp::acceptor listener(io, tcp::v4());
  listener.bind(Loopback());
  listener.listen(0);
  listener.non_blocking(true);
  const auto address = listener.local_endpoint();
  tcp::socket queue_filler(io);
  queue_filler.connect(address);  // occupies the only slot of the accept queue
  proxy::UpstreamPool pool(io, {20000, 60000, 10});
  proxy::EndpointList list;
  list.endpoints.push_back({MakeHost("h0"), address});
  pool.ApplyEndpointList(list);
  std::optional<policy::AttemptResult> result;
  const auto request = std::make_shared<const HttpRequest>(http::verb::get, "/api", 11);
  pool.Start(
      "h0", MakeUpstreamRequest(request, proxy::Now() + 20000, [&](policy::AttemptResult r) { result = r; }));
  list.endpoints[0].info.state = policy::EndpointState::kDraining;
  pool.ApplyEndpointList(list);
  std::vector<tcp::socket> accepted;
  ASSERT_TRUE(RunUntil(io, [&] {
    error_code ec;
    tcp::socket socket = listener.accept(ec);
    if (!ec) accepted.push_back(std::move(socket));
    return result.has_value();
  }));
  EXPECT_EQ(*result, policy::AttemptResult::kNotSent);
  EXPECT_EQ(pool.connections(), 0u);
  for (auto& socket : accepted) {
    error_code ec;
    EXPECT_EQ(socket.available(ec), 0u);
  }
}

// The pool calls `may_send` when the connection is established. If the callback returns false, with or
// without cancelling the attempt itself, the attempt must end exactly once. The callback must not be
// destroyed while it runs.
TEST(UpstreamPool, EndsAnAttemptIfMaySendReturnsFalse) {
  asio::io_context io;
  FakeServer host(io);
  proxy::UpstreamPool pool(io, {5000, 60000, 2});
  proxy::EndpointList list;
  list.endpoints = {{MakeHost("h1"), host.address()}};
  pool.ApplyEndpointList(list);
  for (const bool cancelled : {true, false}) {
    std::vector<policy::AttemptResult> results;
    std::uint64_t attempt = 0;
    auto upstream_request =
        MakeUpstreamRequest(std::make_shared<const HttpRequest>(http::verb::get, "/api", 11),
                            proxy::Now() + 60000, [&](policy::AttemptResult r) { results.push_back(r); });
    const std::string captured(100, 'x');  // on the heap, so that a sanitizer detects a use after free
    upstream_request.may_send = [&, captured] {
      if (cancelled) pool.Cancel(attempt);
      return captured.empty();
    };
    attempt = pool.Start("h1", std::move(upstream_request));
    ASSERT_TRUE(RunUntil(io, [&] { return !results.empty(); }));
    EXPECT_EQ(results, std::vector<policy::AttemptResult>{cancelled ? policy::AttemptResult::kCancelled
                                                                    : policy::AttemptResult::kNotSent});
    EXPECT_EQ(pool.connections(), 0u);
  }
  EXPECT_TRUE(host.requests.empty());
}

// The pool has a limit of 2 connections. At the limit an attempt must end with kNotSent if no connection is
// idle. If one is idle, the pool must close it and open another.
TEST(UpstreamPool, EnforcesItsConnectionLimit) {
  asio::io_context io;
  FakeServer first_host(io), second_host(io);
  proxy::UpstreamPool pool(io, {5000, 60000, 2});
  proxy::EndpointList list;
  list.endpoints = {{MakeHost("h1"), first_host.address()}, {MakeHost("h2"), second_host.address()}};
  pool.ApplyEndpointList(list);
  std::vector<policy::AttemptResult> results;
  const auto request = std::make_shared<const HttpRequest>(http::verb::get, "/api", 11);
  const auto start = [&](const char* host) {
    return pool.Start(host, MakeUpstreamRequest(request, proxy::Now() + 60000,
                                                [&](policy::AttemptResult r) { results.push_back(r); }));
  };
  start("h1");
  const auto second_attempt = start("h1");
  ASSERT_TRUE(RunUntil(io, [&] { return first_host.requests.size() == 2; }));
  start("h2");
  EXPECT_EQ(results, std::vector<policy::AttemptResult>{policy::AttemptResult::kNotSent});
  first_host.requests[0].Respond(200, "");
  ASSERT_TRUE(RunUntil(io, [&] { return results.size() == 2; }));
  start("h2");
  EXPECT_TRUE(RunUntil(io, [&] { return second_host.requests.size() == 1; }));
  EXPECT_EQ(pool.connections(), 2u);
  pool.Cancel(second_attempt);
  EXPECT_EQ(results.back(), policy::AttemptResult::kCancelled);
  EXPECT_EQ(pool.connections(), 1u);
}

// An attempt may be cancelled before the event loop has delivered the completion of its write. The buffers of
// the write must stay valid until the completion is delivered.
TEST(UpstreamPool, CancelsAnAttemptDuringItsWrite) {
  asio::io_context io;
  FakeServer host(io);
  host.serve = [](const FakeServer::ReceivedRequest& request) { request.Respond(200, ""); };
  proxy::UpstreamPool pool(io, {5000, 60000, 2});
  proxy::EndpointList list;
  list.endpoints = {{MakeHost("h1"), host.address()}};
  pool.ApplyEndpointList(list);
  std::vector<policy::AttemptResult> results;
  HttpRequest get(http::verb::get, "/api", 11);
  get.set("Req-Id", "r1");
  const auto request = std::make_shared<const HttpRequest>(std::move(get));
  const auto start = [&] {
    return pool.Start("h1", MakeUpstreamRequest(request, proxy::Now() + 60000,
                                                [&](policy::AttemptResult r) { results.push_back(r); }));
  };
  start();
  ASSERT_TRUE(RunUntil(io, [&] { return results.size() == 1; }));
  pool.Cancel(start());  // reuses the idle connection, so the write starts at once
  EXPECT_EQ(results.back(), policy::AttemptResult::kCancelled);
  start();
  EXPECT_TRUE(RunUntil(io, [&] { return results.size() == 3; }));
  EXPECT_EQ(results.back(), policy::AttemptResult::kServed);
}

// The watch starts at the revision of the configured list and continues from the revision of each valid
// response. After any kind of failed call the next call must continue from the last valid revision. Otherwise
// the gateway would miss changes.
TEST(Gateway, ResumesTheWatchAtTheLastValidRevisionAfterFailures) {
  GatewayHarness harness;
  FakeServer& discovery = harness.discovery;
  const auto target_of_call = [&](std::size_t n) {
    EXPECT_TRUE(harness.Until([&] { return discovery.requests.size() >= n; })) << "call " << n;
    return discovery.requests.size() < n ? std::string()
                                         : std::string(discovery.requests[n - 1].http.target());
  };
  EXPECT_EQ(target_of_call(1).find("/discovery/hosts?after=41&wait_ms="), 0u);
  discovery.requests[0].Respond(200, List(42, false, {}).dump());
  EXPECT_NE(target_of_call(2).find("after=42&"), std::string::npos);
  EXPECT_EQ(discovery.connections.size(), 1u);
  discovery.requests[1].Respond(200, "{\"revision\":43,");
  EXPECT_NE(target_of_call(3).find("after=42&"), std::string::npos);
  nlohmann::json invalid = List(43, true, {Member("h9", harness.host().address(), "dancing")});
  discovery.requests[2].Respond(200, invalid.dump());
  EXPECT_NE(target_of_call(4).find("after=42&"), std::string::npos);
  discovery.requests[3].Respond(503, "");
  EXPECT_NE(target_of_call(5).find("after=42&"), std::string::npos);
  discovery.requests[4].connection->Reset();
  EXPECT_NE(target_of_call(6).find("after=42&"), std::string::npos);
  discovery.requests[5].Respond(200, List(44, true, {Member("h0", harness.host().address())}).dump());
  EXPECT_NE(target_of_call(7).find("after=44&"), std::string::npos);
  discovery.requests[6].Respond(200, List(43, true, {}).dump());  // an older revision, which is ignored
  EXPECT_NE(target_of_call(8).find("after=44&"), std::string::npos);
  EXPECT_EQ(harness.Vars().at("pool_size"), 1);
}

// HTTP does not limit the length of a chunk extension. A request with an endless chunk extension must not
// exhaust the gateway's memory.
TEST(Gateway, RejectsARequestWithAnEndlessChunkHeader) {
  GatewayHarness harness;
  const auto client = harness.Connect();
  client->Send("POST /api HTTP/1.1\r\nReq-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n5;" +
               std::string(100000, 'x'));
  EXPECT_EQ(client->Await().result(), http::status::bad_request);
  EXPECT_TRUE(client->AwaitClose());
}

// A response with an endless chunk extension must not exhaust the gateway's memory either. The attempt fails,
// and the client receives 502, because its request may have run.
TEST(Gateway, FailsAResponseWithAnEndlessChunkHeader) {
  GatewayHarness harness;
  const auto client = harness.Connect();
  client->Send(ApiCall("r1", "pay"));
  ASSERT_TRUE(harness.Until([&] { return harness.host().requests.size() == 1; }));
  harness.host().requests[0].connection->WriteRaw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;" +
                                                  std::string(100000, 'x'));
  EXPECT_EQ(client->Await().result(), http::status::bad_gateway);
}

// A host may send any number of interim (1xx) responses. The gateway must not take them for the final
// response.
TEST(Gateway, WaitsForTheFinalResponseAfterInterimResponses) {
  GatewayHarness harness;
  const auto client = harness.Connect();
  for (std::size_t i = 0; i < 2; ++i) {
    client->Send(ApiCall("r" + std::to_string(i), "pay"));
    ASSERT_TRUE(harness.Until([&] { return harness.host().requests.size() == i + 1; }));
    harness.host().requests[i].connection->WriteRaw(
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n");
    harness.host().requests[i].Respond(200, "done");
    EXPECT_EQ(client->Await(i + 1).result(), http::status::ok);
    EXPECT_EQ(client->Await(i + 1).body(), "done");
  }
  EXPECT_EQ(harness.host().connections.size(), 1u);  // still usable after interim responses
}

// A response whose Content-Length exceeds the body limit must fail as soon as its head has arrived, before
// the gateway spends memory on the body.
TEST(Gateway, FailsAResponseWithAnExcessiveContentLength) {
  for (const std::string length : {"33554433", "3000000000"}) {
    GatewayHarness harness;
    const auto client = harness.Connect();
    client->Send(ApiCall("r1", "pay"));
    ASSERT_TRUE(harness.Until([&] { return harness.host().requests.size() == 1; }));
    harness.host().requests[0].connection->WriteRaw("HTTP/1.1 200 OK\r\nContent-Length: " + length +
                                                    "\r\n\r\nsome");
    EXPECT_EQ(client->Await().result(), http::status::bad_gateway) << length;
    EXPECT_TRUE(harness.Until([&] { return harness.host().connections[0]->closed_by_gateway; }));
  }
}

// Clients that send nothing, or only a part of their first request, could occupy all connections. The gateway
// must close their connections sooner than connections that are idle between two requests.
TEST(Gateway, ClosesConnectionsWithoutACompleteFirstRequest) {
  GatewayHarness harness;
  harness.host().serve = [](const FakeServer::ReceivedRequest& request) { request.Respond(200, ""); };
  const auto kept = harness.Connect(), silent = harness.Connect(), partial = harness.Connect();
  kept->Send(ApiCall("r1"));
  EXPECT_EQ(kept->Await().result(), http::status::ok);
  partial->Send("GET /api HTTP/1.1\r\nReq-Id:");
  EXPECT_TRUE(silent->AwaitClose());
  EXPECT_EQ(partial->Await().result(), http::status::request_timeout);
  EXPECT_FALSE(kept->closed_by_gateway());
}

// A flood of idle connections must not lock out a client that sends a request.
TEST(Gateway, EvictsIdleConnectionsForANewClient) {
  GatewayHarness harness(1, TestSettings(), 200);  // a limit of 200 sockets leaves 106 for clients
  harness.host().serve = [](const FakeServer::ReceivedRequest& request) { request.Respond(200, ""); };
  std::vector<std::unique_ptr<Client>> flood;
  for (int i = 0; i < 150; ++i) {
    flood.push_back(harness.Connect());
    harness.io.poll();
  }
  const auto client = harness.Connect();
  client->Send(ApiCall("r1"));
  EXPECT_EQ(client->Await().result(), http::status::ok);
  std::size_t closed = 0;
  EXPECT_TRUE(harness.Until([&] {
    closed = std::count_if(flood.begin(), flood.end(), [](const auto& c) { return c->closed_by_gateway(); });
    return closed >= 45;
  }));
  EXPECT_LE(closed, 46u);
}

// A flood of requests whose head or body stays incomplete must not lock out a client that sends a complete
// request. The gateway must evict the connections that have made no progress for the longest time, long
// before their requests time out.
TEST(Gateway, EvictsStalledConnectionsForANewClient) {
  const std::string body = ApiCall("r0", "pay", "9000m", std::string(2000, 'x')).substr(0, 1000);
  for (const std::string& incomplete : {std::string("GET /api HTTP/1.1\r\nReq-Id:"), body}) {
    SCOPED_TRACE(incomplete.substr(0, 4));
    GatewayHarness harness(1, TestSettings(), 200);
    harness.host().serve = [](const FakeServer::ReceivedRequest& request) { request.Respond(200, ""); };
    std::vector<std::unique_ptr<Client>> flood;
    for (int i = 0; i < 300; ++i) {
      flood.push_back(harness.Connect());
      flood.back()->Send(incomplete);
      harness.io.poll();
    }
    const auto client = harness.Connect();
    client->Send(ApiCall("r1"));
    EXPECT_EQ(client->Await().result(), http::status::ok);
    const auto timed_out =
        std::count_if(flood.begin(), flood.end(), [](const auto& c) { return !c->responses().empty(); });
    EXPECT_LT(timed_out, 100);  // without eviction, all of the connections would time out first
  }
}

// While all connections are busy, further clients wait in the accept queue. They must receive a response when
// the requests on the busy connections have ended.
TEST(Gateway, RespondsToQueuedClientsWhenBusyConnectionsBecomeFree) {
  GatewayHarness harness(1, TestSettings(), 10);  // a limit of 10 sockets leaves 3 for clients
  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i < 4; ++i) {
    clients.push_back(harness.Connect());
    clients.back()->Send(ApiCall("r" + std::to_string(i), "view", "15m"));
  }
  for (const auto& client : clients) EXPECT_EQ(client->Await().result_int(), 503u);
}

// A planned stop must not lose requests. During the stop the gateway fails its readiness check but still
// accepts clients. It responds to all requests with Connection: close, and closes idle connections.
TEST(Gateway, CompletesAllRequestsBeforeItStops) {
  GatewayHarness harness;
  const auto idle = harness.Connect(), busy = harness.Connect();
  idle->Send("GET /up HTTP/1.1\r\n\r\n");
  EXPECT_EQ(idle->Await().result(), http::status::ok);
  busy->Send(ApiCall("r1", "pay"));
  ASSERT_TRUE(harness.Until([&] { return harness.host().requests.size() == 1; }));
  bool stopped = false;
  harness.gateway->Stop([&] { stopped = true; });
  const auto late = harness.Connect();
  late->Send("GET /up HTTP/1.1\r\n\r\n");
  EXPECT_EQ(late->Await().result(), http::status::service_unavailable);
  const auto queued = harness.Connect();
  queued->Send(ApiCall("r2", "pay"));
  ASSERT_TRUE(harness.Until([&] { return harness.host().requests.size() == 2; }));
  EXPECT_TRUE(idle->AwaitClose());
  EXPECT_FALSE(stopped);
  for (const auto& request : harness.host().requests) request.Respond(200, "");
  for (Client* client : {busy.get(), queued.get()}) {
    EXPECT_EQ(client->Await().result(), http::status::ok);
    EXPECT_FALSE(client->Await().keep_alive());
    EXPECT_TRUE(client->AwaitClose());
    client->Disconnect();
  }
  late->Disconnect();
  idle->Disconnect();
  EXPECT_TRUE(harness.Until([&] { return stopped; }));
}

// If a host never responds, the gateway must respond to the remaining requests with 504 before the platform
// would kill the process.
TEST(Gateway, FailsRemainingRequestsWhenTheStopTimesOut) {
  GatewayHarness harness;
  const auto client = harness.Connect();
  client->Send(ApiCall("r1", "pay", "20000m"));
  ASSERT_TRUE(harness.Until([&] { return harness.host().requests.size() == 1; }));
  bool stopped = false;
  harness.gateway->Stop([&] { stopped = true; });
  EXPECT_EQ(client->Await().result(), http::status::gateway_timeout);
  EXPECT_TRUE(harness.Until([&] { return stopped; }));
}

}  // namespace
}  // namespace gateway::proxy::testing
