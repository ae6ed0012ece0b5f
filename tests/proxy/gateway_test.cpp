// The gateway over loopback sockets. Each test says what it guards against.
#include "proxy/gateway.hpp"

#include <gtest/gtest.h>

#include "proxy/clock.hpp"
#include "world.hpp"

namespace gateway::proxy::testing {
namespace {

proxy::UpstreamRequest MakeUpstreamRequest(std::shared_ptr<const HttpRequest> request, Millis deadline,
                                           std::function<void(policy::AttemptResult)> done) {
  proxy::UpstreamRequest attempt;
  attempt.request = std::move(request);
  attempt.deadline = deadline;
  attempt.on_end = [done = std::move(done)](policy::AttemptResult result, HttpResponse) { done(result); };
  return attempt;
}

policy::EndpointInfo MakeHost(const std::string& id) {
  policy::EndpointInfo server;
  server.id = id;
  return server;
}

// Guards the way through: everything that hosts and clients rely on arrives unchanged.
TEST(Gateway, PassesARequestOnAndItsAnswerBack) {
  GatewayHarness world;
  const auto client = world.Connect();
  client->Send(ApiCall("r1", "pay", "5000m", "body of r1", "Idempotency-Key: k1\r\nReq-Owner: acme\r\n"));
  ASSERT_TRUE(world.Until([&] { return world.host().requests.size() == 1; }));
  const HttpRequest& got = world.host().requests[0].http;
  EXPECT_EQ(got.method(), http::verb::post);
  EXPECT_EQ(got.target(), "/api");
  EXPECT_EQ(got["Req-Id"], "r1");
  EXPECT_EQ(got["Idempotency-Key"], "k1");
  EXPECT_EQ(got.body(), "body of r1");
  const std::string left(got["Req-Deadline"]);
  ASSERT_FALSE(left.empty());
  EXPECT_EQ(left.back(), 'm');
  EXPECT_GT(std::stoi(left), 0);
  EXPECT_LT(std::stoi(left), 5000);  // what is left, not what there was
  world.host().requests[0].Respond(200, "answer to r1");
  EXPECT_EQ(client->Await().result(), http::status::ok);
  EXPECT_EQ(client->Await().body(), "answer to r1");
  EXPECT_TRUE(client->Await().keep_alive());
}

// Guards the 64 KiB up to which a body is held, to the byte.
TEST(Gateway, TakesABodyOfTheFullSize) {
  GatewayHarness world;
  const auto client = world.Connect();
  client->Send(ApiCall("r1", "pay", "9000m", std::string(64 * 1024, 'x')));
  ASSERT_TRUE(world.Until([&] { return world.host().requests.size() == 1; }));
  EXPECT_EQ(world.host().requests[0].http.body().size(), 64u * 1024);
  world.host().requests[0].Respond(200, std::string(64 * 1024, 'y'));
  EXPECT_EQ(client->Await().body().size(), 64u * 1024);
}

struct BadInput {
  std::string what, text;
  unsigned status;
};

// Guards against input that is no proper request: it must be told so by a 4xx that does not invite a retry,
// reach no host, and leave the gateway serving.
TEST(Gateway, AnswersBadInputItself) {
  const std::string head = "GET /api HTTP/1.1\r\nHost: b\r\n";
  const std::string good = "Req-Id: a\r\nReq-Kind: view\r\nReq-Deadline: 900m\r\n";
  const std::vector<BadInput> inputs = {
      {"no HTTP", "BOGUS\r\n\r\n", 400},
      {"binary", std::string("\x16\x03\x01\x02\0\x01\r\n\r\n", 10), 400},
      {"bad length", "POST /api HTTP/1.1\r\nContent-Length: x\r\n\r\n", 400},
      {"large body",
       "POST /api HTTP/1.1\r\n" + good.substr(0, good.find("view")) +
           "pay\r\nReq-Deadline: 900m\r\nContent-Length: 33554433\r\n\r\nx",
       413},
      {"large header", head + "X: " + std::string(20000, 'x') + "\r\n\r\n", 431},
      {"no id", head + "Req-Kind: view\r\nReq-Deadline: 900m\r\n\r\n", 400},
      {"long id", ApiCall(std::string(300, 'i')), 400},
      {"unknown class", ApiCall("a", "steal"), 400},
      {"no class", head + "Req-Id: a\r\nReq-Deadline: 900m\r\n\r\n", 400},
      {"no deadline", head + "Req-Id: a\r\nReq-Kind: view\r\n\r\n", 400},
      {"deadline without a unit", ApiCall("a", "view", "900"), 400},
      {"deadline in words", ApiCall("a", "view", "soonm"), 400},
      {"negative deadline", ApiCall("a", "view", "-5m"), 400},
      {"deadline that is no number", ApiCall("a", "view", "nanm"), 400},
      {"endless deadline", ApiCall("a", "view", "infm"), 400},
      {"wrong path", "GET /apix HTTP/1.1\r\n" + good + "\r\n", 404},
      {"safe class by POST", "POST /api HTTP/1.1\r\nContent-Length: 0\r\n" + good + "\r\n", 405},
      {"other method", "DELETE /api HTTP/1.1\r\n" + good + "\r\n", 405},
      {"unsafe class by GET", head + "Req-Id: a\r\nReq-Kind: pay\r\nReq-Deadline: 900m\r\n\r\n", 405},
      {"keyed class without a key", ApiCall("a", "key"), 400},
  };
  GatewayHarness world;
  for (const BadInput& input : inputs) {
    SCOPED_TRACE(input.what);
    const auto client = world.Connect();
    client->Send(input.text);
    EXPECT_EQ(client->Await().result_int(), input.status);
  }
  EXPECT_TRUE(world.host().requests.empty());
  const auto client = world.Connect();
  client->Send(ApiCall("fine"));
  ASSERT_TRUE(world.Until([&] { return world.host().requests.size() == 1; }));
  world.host().requests[0].Respond(200, "");
  EXPECT_EQ(client->Await().result(), http::status::ok);
}

// Guards against two requests of one id: their answers could not be told apart.
TEST(Gateway, TurnsAwayAnIdThatIsInUse) {
  GatewayHarness world;
  const auto first = world.Connect(), second = world.Connect();
  first->Send(ApiCall("r1"));
  ASSERT_TRUE(world.Until([&] { return world.host().requests.size() == 1; }));
  second->Send(ApiCall("r1"));
  EXPECT_EQ(second->Await().result(), http::status::conflict);
  world.host().requests[0].Respond(200, "");
  EXPECT_EQ(first->Await().result(), http::status::ok);
}

// Guards against a request that the module gives up on being held back, or told without a time to come back.
TEST(Gateway, RefusesWithRetryAfter) {
  GatewayHarness world;
  const auto client = world.Connect();
  client->Send(ApiCall("r1", "pay", "15m"));  // no time to try
  EXPECT_EQ(client->Await().result(), http::status::service_unavailable);
  EXPECT_EQ(client->Await().count("Retry-After"), 1u);
  EXPECT_TRUE(world.host().requests.empty());
}

// How a host may treat a request, and what a gateway may make of it.
struct Treatment {
  std::string what;
  std::function<void(const FakeServer::ReceivedRequest&)> treat;
  bool may_have_run;
};

const std::vector<Treatment>& Treatments() {
  static const std::vector<Treatment> all = {
      {"reset", [](const auto& r) { r.connection->Reset(); }, true},
      {"closed", [](const auto& r) { r.connection->Close(); }, true},
      {"half an answer",
       [](const auto& r) {
         r.connection->WriteRaw("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
         asio::post(r.connection->socket.get_executor(), [on = r.connection] { on->Close(); });
       },
       true},
      {"half a header",
       [](const auto& r) {
         r.connection->WriteRaw("HTTP/1.1 200 OK\r\nContent-");
         asio::post(r.connection->socket.get_executor(), [on = r.connection] { on->Close(); });
       },
       true},
      {"no HTTP", [](const auto& r) { r.connection->WriteRaw("220 mail ready\r\n\r\n"); }, true},
      {"too large",
       [](const auto& r) {
         r.connection->WriteRaw("HTTP/1.1 200 OK\r\nContent-Length: 33554433\r\n\r\nsome");
       },
       true},
      {"error", [](const auto& r) { r.Respond(500, "oops"); }, true},
      {"503 without a word", [](const auto& r) { r.Respond(503, ""); }, true},
      {"declined otherwise", [](const auto& r) { r.Respond(503, "", "Srv-Declined", "0"); }, true},
      {"declined by an error", [](const auto& r) { r.Respond(500, "", "Srv-Declined", "1"); }, true},
      {"declined", [](const auto& r) { r.Respond(503, "", "Srv-Declined", "1"); }, false},
      {"declined as over", [](const auto& r) { r.Respond(504, "", "Srv-Declined", "1"); }, false},
  };
  return all;
}

// Guards rule 2: an unsafe request goes out again only if it never ran, and any doubt is told as a failure,
// never as a refusal. One host treats it so, another would serve it.
TEST(Gateway, SendsUnsafeAgainOnlyIfItNeverRan) {
  for (const Treatment& treatment : Treatments()) {
    SCOPED_TRACE(treatment.what);
    GatewayHarness world(2);
    int tries = 0;
    for (std::size_t i = 0; i < 2; ++i) {
      world.host(i).serve = [&](const FakeServer::ReceivedRequest& taken) {
        if (tries++ == 0) return treatment.treat(taken);
        taken.Respond(200, "second");
      };
    }
    const auto client = world.Connect();
    client->Send(ApiCall("r1", "pay"));
    EXPECT_EQ(client->Await().result_int(), treatment.may_have_run ? 502u : 200u);
    EXPECT_EQ(tries, treatment.may_have_run ? 1 : 2);
    EXPECT_EQ(client->responses().size(), 1u);
  }
}

// Guards the other side of it: what is safe to repeat is not failed for one host's sake.
TEST(Gateway, SendsSafeAgain) {
  for (const Treatment& treatment : Treatments()) {
    SCOPED_TRACE(treatment.what);
    GatewayHarness world(2);
    int tries = 0;
    for (std::size_t i = 0; i < 2; ++i) {
      world.host(i).serve = [&](const FakeServer::ReceivedRequest& taken) {
        if (tries++ == 0) return treatment.treat(taken);
        taken.Respond(200, "second");
      };
    }
    const auto client = world.Connect();
    client->Send(ApiCall("r1"));
    EXPECT_EQ(client->Await().body(), "second");
  }
}

// Guards against a refused dial being taken for a request that may have run: the client may try again.
TEST(Gateway, TellsARefusedDialAsNeverRun) {
  GatewayHarness world;
  world.host().StopListening();
  const auto client = world.Connect();
  client->Send(ApiCall("r1", "pay", "300m"));
  EXPECT_EQ(client->Await().result_int(), 503u);
  EXPECT_EQ(client->Await().count("Retry-After"), 1u);
}

// Guards a stalled host's request: it ends in time, its connection is closed so that the late answer can't
// reach anyone, and the client gets one answer.
TEST(Gateway, GivesUpOnAHostThatStalls) {
  GatewayHarness world;
  const auto client = world.Connect();
  const auto begun = std::chrono::steady_clock::now();
  client->Send(ApiCall("r1", "pay", "400m"));
  ASSERT_TRUE(world.Until([&] { return world.host().requests.size() == 1; }));
  EXPECT_EQ(client->Await().result_int(), 502u);
  EXPECT_GE(std::chrono::steady_clock::now() - begun, std::chrono::milliseconds(300));
  ASSERT_TRUE(world.Until([&] { return world.host().connections[0]->closed_by_gateway; }));
  world.host().requests[0].Respond(200, "late");
  client->Send("GET /up HTTP/1.1\r\n\r\n");  // the next answer on the connection is this one's
  EXPECT_EQ(client->Await(2).body(), "");
  EXPECT_EQ(client->responses().size(), 2u);
}

// Guards against dials that cost hosts work: one connection serves requests that follow each other, and of
// several the one used last is taken.
TEST(Gateway, ReusesTheMostRecentConnection) {
  GatewayHarness world;
  FakeServer& host = world.host();
  const auto one = world.Connect(), two = world.Connect();
  one->Send(ApiCall("r1"));
  ASSERT_TRUE(world.Until([&] { return host.requests.size() == 1; }));
  two->Send(ApiCall("r2"));
  ASSERT_TRUE(world.Until([&] { return host.requests.size() == 2; }));
  EXPECT_EQ(host.connections.size(), 2u);
  host.requests[0].Respond(200, "");
  one->Await();
  host.requests[1].Respond(200, "");
  two->Await();
  one->Send(ApiCall("r3"));
  ASSERT_TRUE(world.Until([&] { return host.requests.size() == 3; }));
  EXPECT_EQ(host.connections.size(), 2u);
  EXPECT_EQ(host.requests[2].connection, host.requests[1].connection);
}

// Guards against a write into a connection that the host has closed while it stood idle: an unsafe request
// would be lost to a reset that need not be.
TEST(Gateway, NoticesAConnectionClosedWhileIdle) {
  GatewayHarness world;
  FakeServer& host = world.host();
  host.serve = [](const FakeServer::ReceivedRequest& taken) { taken.Respond(200, ""); };
  const auto client = world.Connect();
  for (std::size_t i = 1; i <= 6; ++i) {
    client->Send(ApiCall("r" + std::to_string(i), "pay"));
    EXPECT_EQ(client->Await(i).result(), http::status::ok);
    i % 2 == 0 ? host.connections.back()->Close() : host.connections.back()->Reset();
  }
  EXPECT_EQ(host.connections.size(), 6u);
}

// Guards against an answer that no request asked for being given to the next request.
TEST(Gateway, DropsAConnectionThatSpeaksUnasked) {
  GatewayHarness world;
  FakeServer& host = world.host();
  const auto client = world.Connect();
  client->Send(ApiCall("r1"));
  ASSERT_TRUE(world.Until([&] { return host.requests.size() == 1; }));
  host.requests[0].Respond(200, "one");
  EXPECT_EQ(client->Await().body(), "one");
  host.requests[0].Respond(200, "stray");
  client->Send(ApiCall("r2"));
  ASSERT_TRUE(world.Until([&] { return host.requests.size() == 2 || client->responses().size() == 2; }));
  ASSERT_EQ(host.requests.size(), 2u);
  host.requests[1].Respond(200, "two");
  EXPECT_EQ(client->Await(2).body(), "two");
}

// Guards against work for a client that has left: the attempt is given up by closing its connection.
TEST(Gateway, CancelsForAClientThatLeft) {
  GatewayHarness world;
  const auto client = world.Connect();
  client->Send(ApiCall("r1"));
  ASSERT_TRUE(world.Until([&] { return world.host().requests.size() == 1; }));
  client->Disconnect();
  EXPECT_TRUE(world.Until([&] { return world.host().connections[0]->closed_by_gateway; }));
  const auto other = world.Connect();  // the id is free again, and the gateway serves
  other->Send(ApiCall("r1"));
  ASSERT_TRUE(world.Until([&] { return world.host().requests.size() == 2; }));
  world.host().requests[1].Respond(200, "");
  EXPECT_EQ(other->Await().result(), http::status::ok);
}

// Guards against a client that sends on and goes: its close stands behind what nobody reads yet. Neither what
// it sent on, nor a further attempt, reaches a host; the one under way is given up.
TEST(Gateway, SeesAClientLeaveBehindWhatItSentOn) {
  for (const std::size_t more : {1u, 600u}) {  // requests that follow; many are more than is read ahead
    GatewayHarness world;
    const auto client = world.Connect();
    client->Send(ApiCall("r1", "view", "20000m"));
    ASSERT_TRUE(world.Until([&] { return world.host().requests.size() == 1; }));
    std::string on;
    for (std::size_t i = 0; i < more; ++i) on += ApiCall("more" + std::to_string(i));
    client->Send(on);
    world.Call("check\n");  // the gateway has seen that more came
    client->Disconnect();
    const Millis left = proxy::Now();
    EXPECT_TRUE(world.Until([&] { return world.host().connections[0]->closed_by_gateway; })) << more;
    EXPECT_LT(proxy::Now() - left, 5000) << more;  // not by the request's own time
    EXPECT_EQ(world.host().requests.size(), 1u);
    EXPECT_EQ(world.host().connections.size(), 1u);
  }
}

// Guards the moment in which a client's close and the reason to send once more come together: the host's
// reset is told first, in so many turns of the loop, and the close stands in the socket only. The other host
// has a connection at rest, on which a request would be written at once.
TEST(Gateway, SendsNoFurtherAttemptForAClientWhoseCloseIsNotToldYet) {
  int crossed = 0;
  for (int turns = 0; turns < 8; ++turns) {
    GatewayHarness world(2);
    std::vector<std::string> sent;  // ids, as hosts get them
    for (const auto& host : world.hosts) {
      host->serve = [&](const FakeServer::ReceivedRequest& taken) {
        sent.emplace_back(taken.http["Req-Id"]);
      };
    }
    std::vector<std::unique_ptr<Client>> warm;  // several at once: they spread over both hosts
    for (int i = 0; i < 4; ++i) {
      warm.push_back(world.Connect());
      warm.back()->Send(ApiCall("warm" + std::to_string(i)));
    }
    ASSERT_TRUE(world.Until([&] { return sent.size() == 4; }));
    for (const auto& host : world.hosts) {
      ASSERT_FALSE(host->requests.empty());
      for (const auto& taken : host->requests) taken.Respond(200, "");
    }
    for (const auto& other : warm) other->Await();
    sent.clear();
    const auto client = world.Connect();
    client->Send(ApiCall("r1"));
    ASSERT_TRUE(world.Until([&] { return sent.size() == 1; }));
    const std::size_t first = world.host(0).requests.back().http["Req-Id"] == "r1" ? 0 : 1;
    world.host(first).requests.back().connection->Reset();
    for (int i = 0; i < turns; ++i) world.io.run_one_for(std::chrono::milliseconds(5));
    client->Disconnect();
    error_code ec;
    bool begun = sent.size() > 1;  // the further attempt, by then
    for (const auto& rests : world.host(1 - first).connections) begun |= rests->socket.available(ec) > 0;
    if (begun) continue;
    ++crossed;
    ASSERT_TRUE(world.Until(
        [&] { return world.Call("metrics\n").find("clients_left_total 1") != std::string::npos; }));
    const auto next = world.Connect();  // whatever was to be sent on is sent by now
    next->Send(ApiCall("r2"));
    ASSERT_TRUE(world.Until([&] { return !sent.empty() && sent.back() == "r2"; }));
    EXPECT_EQ(sent, (std::vector<std::string>{"r1", "r2"})) << turns;
  }
  EXPECT_GT(crossed, 0);
}

// Guards a dial that takes long: the client has left when it comes up, and nothing is written, be attempts
// cancelled in this deployment or not.
TEST(Gateway, WritesNothingForAClientThatLeftDuringTheDial) {
  for (const bool cancels : {true, false}) {
    asio::io_context queue;
    tcp::acceptor listener(queue, tcp::v4());
    listener.bind(Loopback());
    listener.listen(0);
    listener.non_blocking(true);
    tcp::socket fill(queue);
    fill.connect(listener.local_endpoint());  // takes the one place in the queue
    nlohmann::json settings = TestSettings();
    settings["limits"]["cancelling"] = cancels;
    GatewayHarness world(0, settings, 300,
                         {{"known", List(41, true, {Member("h0", listener.local_endpoint())})}});
    const auto client = world.Connect();
    client->Send(ApiCall("r1"));
    const auto metric = [&](const std::string& line) {
      return world.Call("metrics\n").find(line) != std::string::npos;
    };
    ASSERT_TRUE(world.Until([&] { return metric("dials_total 1"); }));
    client->Disconnect();
    ASSERT_TRUE(world.Until([&] { return metric("clients_left_total 1"); }));
    std::vector<tcp::socket> accepted;
    ASSERT_TRUE(world.Until([&] {
      error_code ec;
      tcp::socket socket = listener.accept(ec);
      if (!ec) accepted.push_back(std::move(socket));
      return metric("host_connections 0");
    })) << cancels;
    for (auto& socket : accepted) {
      error_code ec;
      EXPECT_EQ(socket.available(ec), 0u) << cancels;
    }
  }
}

// Guards against answers out of order, and against a request lost that came before the last was answered.
TEST(Gateway, AnswersRequestsThatCameTogetherInOrder) {
  GatewayHarness world;
  world.host().serve = [](const FakeServer::ReceivedRequest& taken) {
    taken.Respond(200, std::string(taken.http["Req-Id"]));
  };
  const auto client = world.Connect();
  client->Send(ApiCall("r1") + ApiCall("r2") + ApiCall("r3"));
  client->Await(3);
  ASSERT_EQ(client->responses().size(), 3u);
  for (int i = 0; i < 3; ++i) EXPECT_EQ(client->responses()[i].body(), "r" + std::to_string(i + 1));
}

// Guards rule 3: news that a host drains takes effect on the next send, and idle connections to it go.
TEST(Gateway, SendsNothingToAHostThatDrains) {
  GatewayHarness world(2);
  for (auto& host : world.hosts)
    host->serve = [](const FakeServer::ReceivedRequest& taken) { taken.Respond(200, ""); };
  const auto client = world.Connect();
  std::size_t sent = 0;
  while (world.host(0).requests.empty() && sent < 1000) {
    client->Send(ApiCall("r" + std::to_string(++sent)));
    client->Await(sent);
  }
  ASSERT_FALSE(world.host(0).requests.empty());
  ASSERT_TRUE(world.Until([&] { return world.discovery.requests.size() == 1; }));
  world.discovery.requests[0].Respond(
      200, List(42, false, {Member("h0", world.host(0).address(), "draining")}).dump());
  ASSERT_TRUE(world.Until([&] { return world.host(0).connections[0]->closed_by_gateway; }));
  const std::size_t before = world.host(0).requests.size();
  for (int i = 0; i < 20; ++i) {
    client->Send(ApiCall("r" + std::to_string(++sent)));
    EXPECT_EQ(client->Await(sent).result(), http::status::ok);
  }
  EXPECT_EQ(world.host(0).requests.size(), before);
}

// Guards the gap between a dial and its write: a host that began to drain meanwhile gets no byte. The dial
// hangs because the listener's queue is full, and comes up when there is room.
TEST(UpstreamPool, WritesNothingToAHostThatDrainedDuringTheDial) {
  asio::io_context io;
  tcp::acceptor listener(io, tcp::v4());
  listener.bind(Loopback());
  listener.listen(0);
  listener.non_blocking(true);
  const auto at = listener.local_endpoint();
  tcp::socket fill(io);
  fill.connect(at);  // takes the one place in the queue
  proxy::UpstreamPool pool(io, {20000, 60000, 10});
  proxy::EndpointList list;
  list.endpoints.push_back({MakeHost("h0"), at});
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

// Guards the question behind a dial whether the attempt is wanted still: its answer may be that attempt's
// end.
TEST(UpstreamPool, EndsAnAttemptThatIsFoundUnwantedBehindItsDial) {
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
    const std::string held(100, 'x');  // on the heap, so that a sanitizer sees it freed too soon
    upstream_request.may_send = [&, held] {
      if (cancelled) pool.Cancel(attempt);
      return held.empty();
    };
    attempt = pool.Start("h1", std::move(upstream_request));
    ASSERT_TRUE(RunUntil(io, [&] { return !results.empty(); }));
    EXPECT_EQ(results, std::vector<policy::AttemptResult>{cancelled ? policy::AttemptResult::kCancelled
                                                                    : policy::AttemptResult::kNotSent});
    EXPECT_EQ(pool.connections(), 0u);
  }
  EXPECT_TRUE(host.requests.empty());
}

// Guards the limit on connections: beyond it an attempt is told as never sent, and one that idles makes room.
TEST(UpstreamPool, KeepsToItsLimit) {
  asio::io_context io;
  FakeServer one(io), two(io);
  proxy::UpstreamPool pool(io, {5000, 60000, 2});
  proxy::EndpointList list;
  list.endpoints = {{MakeHost("h1"), one.address()}, {MakeHost("h2"), two.address()}};
  pool.ApplyEndpointList(list);
  std::vector<policy::AttemptResult> results;
  const auto request = std::make_shared<const HttpRequest>(http::verb::get, "/api", 11);
  const auto start = [&](const char* host) {
    return pool.Start(host, MakeUpstreamRequest(request, proxy::Now() + 60000,
                                                [&](policy::AttemptResult r) { results.push_back(r); }));
  };
  start("h1");
  const auto second = start("h1");
  ASSERT_TRUE(RunUntil(io, [&] { return one.requests.size() == 2; }));
  start("h2");
  EXPECT_EQ(results, std::vector<policy::AttemptResult>{policy::AttemptResult::kNotSent});
  one.requests[0].Respond(200, "");
  ASSERT_TRUE(RunUntil(io, [&] { return results.size() == 2; }));
  start("h2");
  EXPECT_TRUE(RunUntil(io, [&] { return two.requests.size() == 1; }));
  EXPECT_EQ(pool.connections(), 2u);
  pool.Cancel(second);
  EXPECT_EQ(results.back(), policy::AttemptResult::kCancelled);
  EXPECT_EQ(pool.connections(), 1u);
}

// Guards an attempt that is given up before its write was told of: what is written must stay until then.
TEST(UpstreamPool, CancelsAnAttemptThatIsBeingWritten) {
  asio::io_context io;
  FakeServer host(io);
  host.serve = [](const FakeServer::ReceivedRequest& taken) { taken.Respond(200, ""); };
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
  pool.Cancel(start());  // on the connection that is open: the write has begun
  EXPECT_EQ(results.back(), policy::AttemptResult::kCancelled);
  start();
  EXPECT_TRUE(RunUntil(io, [&] { return results.size() == 3; }));
  EXPECT_EQ(results.back(), policy::AttemptResult::kServed);
}

// Guards the watch: it starts from the known list, goes on from each answer, and a call that fails in any way
// is made again from the last good revision.
TEST(Gateway, KeepsWatchingThroughFailures) {
  GatewayHarness world;
  FakeServer& discovery = world.discovery;
  const auto asked = [&](std::size_t n) {
    EXPECT_TRUE(world.Until([&] { return discovery.requests.size() >= n; })) << "call " << n;
    return discovery.requests.size() < n ? std::string()
                                         : std::string(discovery.requests[n - 1].http.target());
  };
  EXPECT_EQ(asked(1).find("/discovery/hosts?after=41&wait_ms="), 0u);
  discovery.requests[0].Respond(200, List(42, false, {}).dump());
  EXPECT_NE(asked(2).find("after=42&"), std::string::npos);
  EXPECT_EQ(discovery.connections.size(), 1u);
  discovery.requests[1].Respond(200, "{\"revision\":43,");
  EXPECT_NE(asked(3).find("after=42&"), std::string::npos);
  nlohmann::json wrong = List(43, true, {Member("h9", world.host().address(), "dancing")});
  discovery.requests[2].Respond(200, wrong.dump());
  EXPECT_NE(asked(4).find("after=42&"), std::string::npos);
  discovery.requests[3].Respond(503, "");
  EXPECT_NE(asked(5).find("after=42&"), std::string::npos);
  discovery.requests[4].connection->Reset();
  EXPECT_NE(asked(6).find("after=42&"), std::string::npos);
  discovery.requests[5].Respond(200, List(44, true, {Member("h0", world.host().address())}).dump());
  EXPECT_NE(asked(7).find("after=44&"), std::string::npos);
  discovery.requests[6].Respond(200, List(43, true, {}).dump());  // older: changes nothing
  EXPECT_NE(asked(8).find("after=44&"), std::string::npos);
  EXPECT_EQ(world.Vars().at("pool_size"), 1);
}

// Guards the memory: the extension of a chunk's head may be of any length, and must not be kept whole.
TEST(Gateway, EndsARequestWhoseChunkHeadNeverEnds) {
  GatewayHarness world;
  const auto client = world.Connect();
  client->Send("POST /api HTTP/1.1\r\nReq-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n5;" +
               std::string(100000, 'x'));
  EXPECT_EQ(client->Await().result(), http::status::bad_request);
  EXPECT_TRUE(client->AwaitClose());
}

// Guards the same on the other side: the attempt has failed and may have run.
TEST(Gateway, EndsAnAnswerWhoseChunkHeadNeverEnds) {
  GatewayHarness world;
  const auto client = world.Connect();
  client->Send(ApiCall("r1", "pay"));
  ASSERT_TRUE(world.Until([&] { return world.host().requests.size() == 1; }));
  world.host().requests[0].connection->WriteRaw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;" +
                                                std::string(100000, 'x'));
  EXPECT_EQ(client->Await().result(), http::status::bad_gateway);
}

// Guards the answer that follows an announcement: a host may send any number of 1xx heads before it.
TEST(Gateway, WaitsForTheAnswerBehindAnAnnouncement) {
  GatewayHarness world;
  const auto client = world.Connect();
  for (std::size_t i = 0; i < 2; ++i) {
    client->Send(ApiCall("r" + std::to_string(i), "pay"));
    ASSERT_TRUE(world.Until([&] { return world.host().requests.size() == i + 1; }));
    world.host().requests[i].connection->WriteRaw(
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n");
    world.host().requests[i].Respond(200, "done");
    EXPECT_EQ(client->Await(i + 1).result(), http::status::ok);
    EXPECT_EQ(client->Await(i + 1).body(), "done");
  }
  EXPECT_EQ(world.host().connections.size(), 1u);  // which stays in step
}

// Guards the memory against an answer of a stated length that no body may have: it is given up at its head.
TEST(Gateway, EndsAnAnswerThatStatesTooLargeABody) {
  for (const std::string length : {"33554433", "3000000000"}) {
    GatewayHarness world;
    const auto client = world.Connect();
    client->Send(ApiCall("r1", "pay"));
    ASSERT_TRUE(world.Until([&] { return world.host().requests.size() == 1; }));
    world.host().requests[0].connection->WriteRaw("HTTP/1.1 200 OK\r\nContent-Length: " + length +
                                                  "\r\n\r\nsome");
    EXPECT_EQ(client->Await().result(), http::status::bad_gateway) << length;
    EXPECT_TRUE(world.Until([&] { return world.host().connections[0]->closed_by_gateway; }));
  }
}

// Guards the places against peers that connect and send nothing, or never the whole of a first request: far
// sooner than a client's connection between two requests they are closed or told.
TEST(Gateway, EndsConnectionsThatBringNoRequest) {
  GatewayHarness world;
  world.host().serve = [](const FakeServer::ReceivedRequest& taken) { taken.Respond(200, ""); };
  const auto kept = world.Connect(), silent = world.Connect(), partial = world.Connect();
  kept->Send(ApiCall("r1"));
  EXPECT_EQ(kept->Await().result(), http::status::ok);
  partial->Send("GET /api HTTP/1.1\r\nReq-Id:");
  EXPECT_TRUE(silent->AwaitClose());
  EXPECT_EQ(partial->Await().result(), http::status::request_timeout);
  EXPECT_FALSE(kept->closed_by_gateway());
}

// Guards a flood of clients: those between requests make room, and a new one is served.
TEST(Gateway, ServesThroughAFloodOfConnections) {
  GatewayHarness world(1, TestSettings(), 200);  // 106 of them for clients
  world.host().serve = [](const FakeServer::ReceivedRequest& taken) { taken.Respond(200, ""); };
  std::vector<std::unique_ptr<Client>> flood;
  for (int i = 0; i < 150; ++i) {
    flood.push_back(world.Connect());
    world.io.poll();
  }
  const auto client = world.Connect();
  client->Send(ApiCall("r1"));
  EXPECT_EQ(client->Await().result(), http::status::ok);
  std::size_t closed = 0;
  EXPECT_TRUE(world.Until([&] {
    closed = std::count_if(flood.begin(), flood.end(), [](const auto& c) { return c->closed_by_gateway(); });
    return closed >= 45;
  }));
  EXPECT_LE(closed, 46u);
}

// Guards the same against a crowd that never sends a whole request, in its head or in its body: the most
// silent give way, long before each has been given its time, to whoever sends one.
TEST(Gateway, ServesThroughAFloodOfHalfRequests) {
  const std::string body = ApiCall("r0", "pay", "9000m", std::string(2000, 'x')).substr(0, 1000);
  for (const std::string& half : {std::string("GET /api HTTP/1.1\r\nReq-Id:"), body}) {
    SCOPED_TRACE(half.substr(0, 4));
    GatewayHarness world(1, TestSettings(), 200);
    world.host().serve = [](const FakeServer::ReceivedRequest& taken) { taken.Respond(200, ""); };
    std::vector<std::unique_ptr<Client>> flood;
    for (int i = 0; i < 300; ++i) {
      flood.push_back(world.Connect());
      flood.back()->Send(half);
      world.io.poll();
    }
    const auto client = world.Connect();
    client->Send(ApiCall("r1"));
    EXPECT_EQ(client->Await().result(), http::status::ok);
    const auto told =
        std::count_if(flood.begin(), flood.end(), [](const auto& c) { return !c->responses().empty(); });
    EXPECT_LT(told, 100);  // of the time-outs that would all have come first
  }
}

// Guards the clients that wait for a place while all are taken by requests under way: places come free.
TEST(Gateway, MakesRoomWhenAllPlacesAreBusy) {
  GatewayHarness world(1, TestSettings(), 10);  // 3 for clients
  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i < 4; ++i) {
    clients.push_back(world.Connect());
    clients.back()->Send(ApiCall("r" + std::to_string(i), "view", "15m"));
  }
  for (const auto& client : clients) EXPECT_EQ(client->Await().result_int(), 503u);
}

// Guards a planned restart: not ready any more but still accepting, all that was taken is answered,
// keep-alives end with Connection: close, idle ones are closed, and then it is done.
TEST(Gateway, AnswersAllBeforeItStops) {
  GatewayHarness world;
  const auto idle = world.Connect(), busy = world.Connect();
  idle->Send("GET /up HTTP/1.1\r\n\r\n");
  EXPECT_EQ(idle->Await().result(), http::status::ok);
  busy->Send(ApiCall("r1", "pay"));
  ASSERT_TRUE(world.Until([&] { return world.host().requests.size() == 1; }));
  bool done = false;
  world.gateway->Stop([&] { done = true; });
  const auto late = world.Connect();
  late->Send("GET /up HTTP/1.1\r\n\r\n");
  EXPECT_EQ(late->Await().result(), http::status::service_unavailable);
  const auto queued = world.Connect();
  queued->Send(ApiCall("r2", "pay"));
  ASSERT_TRUE(world.Until([&] { return world.host().requests.size() == 2; }));
  EXPECT_TRUE(idle->AwaitClose());
  EXPECT_FALSE(done);
  for (const auto& request : world.host().requests) request.Respond(200, "");
  for (Client* client : {busy.get(), queued.get()}) {
    EXPECT_EQ(client->Await().result(), http::status::ok);
    EXPECT_FALSE(client->Await().keep_alive());
    EXPECT_TRUE(client->AwaitClose());
    client->Disconnect();
  }
  late->Disconnect();
  idle->Disconnect();
  EXPECT_TRUE(world.Until([&] { return done; }));
}

// Guards a stop with a host that never answers: what is left is failed before the process would be killed.
TEST(Gateway, FailsWhatIsLeftWhenTheStopRunsOut) {
  GatewayHarness world;
  const auto client = world.Connect();
  client->Send(ApiCall("r1", "pay", "20000m"));
  ASSERT_TRUE(world.Until([&] { return world.host().requests.size() == 1; }));
  bool done = false;
  world.gateway->Stop([&] { done = true; });
  EXPECT_EQ(client->Await().result(), http::status::gateway_timeout);
  EXPECT_TRUE(world.Until([&] { return done; }));
}

}  // namespace
}  // namespace gateway::proxy::testing
