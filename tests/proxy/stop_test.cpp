// Tests of the end of a process: which requests and responses it completes after SIGTERM.
#include <gtest/gtest.h>

#include "world.hpp"

namespace gateway::proxy::testing {
namespace {

constexpr std::size_t kLongBodyBytes = 200000;
// Longer than the gateway takes to stop after its last response.
constexpr std::chrono::milliseconds kObservationTime{600};

std::string LongResponseHead() {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kLongBodyBytes) + "\r\n\r\n";
}

nlohmann::json SettingsWithDeadline(std::chrono::milliseconds deadline) {
  nlohmann::json settings = TestSettings();
  for (auto& traffic_class : settings["categories"]) {
    traffic_class["sloMs"] = deadline.count();
    traffic_class["deadlineMs"] = deadline.count();
  }
  return settings;
}

// A gateway with short deadlines that stops while its only client sends a request slowly. The only work that
// is pending is the incomplete request.
struct StopDuringRequest {
  static constexpr std::chrono::milliseconds kDeadline{750};

  explicit StopDuringRequest(std::string text) : request(std::move(text)) {
    stop_began_at = std::chrono::steady_clock::now();
    harness.gateway->Stop([this] { stopped = true; });
  }
  // Sends the request in pieces. The last piece is sent at this time after the begin of the stop.
  void SendUntil(std::chrono::milliseconds end) {
    constexpr int kPieces = 20;
    for (int i = 0; i < kPieces; ++i) {
      const std::size_t begin = request.size() * i / kPieces;
      harness.io.run_until(stop_began_at + end * (i + 1) / kPieces);
      if (stopped) return;  // the process would have ended
      client->Send(request.substr(begin, request.size() * (i + 1) / kPieces - begin));
    }
  }
  // Runs until the process would end. Returns the responses that the client has until then.
  const std::vector<HttpResponse>& AwaitStop() {
    EXPECT_TRUE(harness.Until([&] { return stopped; }));
    harness.io.poll();  // the client reads what was sent
    return client->responses();
  }
  bool HostHasRequest() const { return !harness.hosts[0]->requests.empty(); }

  GatewayHarness harness{1, SettingsWithDeadline(kDeadline)};
  const std::string request;
  const std::unique_ptr<Client> client = harness.Connect();
  std::chrono::steady_clock::time_point stop_began_at;
  bool stopped = false;
};

std::string ChunkedApiCall(const std::string& body) {
  std::string text = ApiCall("r", "pay", "750m", "", "Transfer-Encoding: chunked\r\n");
  text.erase(text.find("Content-Length"), std::string("Content-Length: 0\r\n").size());
  return text + Chunk(body) + "0\r\n\r\n";
}

// A gateway that stops while a host sends a long response, and a second request whose response shows that the
// time for requests without a response is over.
struct StopDuringResponse {
  StopDuringResponse() {
    reader->Send(ApiCall("long", "pay"));
    EXPECT_TRUE(harness.Until([&] { return harness.host().requests.size() == 1; }));
    HostConnection().WriteRaw(LongResponseHead() + std::string(kLongBodyBytes / 2, 'x'));
    EXPECT_TRUE(harness.Until([&] { return HostConnection().completed_writes == 1; }));
    waiting->Send(ApiCall("pending", "pay"));
    EXPECT_TRUE(harness.Until([&] { return harness.host().requests.size() == 2; }));
    harness.gateway->Stop([this] { stopped = true; });
  }
  // Ends the long response. While a body is streamed, its two connections keep each other alive, so a test
  // must not end before.
  void EndResponse() {
    HostConnection().Reset();
    EXPECT_TRUE(reader->AwaitClose());
  }
  FakeServer::Connection& HostConnection() { return *harness.host().requests[0].connection; }

  GatewayHarness harness;
  bool stopped = false;  // the program would exit now
  const std::unique_ptr<Client> reader = harness.Connect();
  const std::unique_ptr<Client> waiting = harness.Connect();
};

// A planned stop must not lose requests. During the stop, the gateway fails its readiness check but still
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
// kills the process.
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

// SIGKILL may follow SIGTERM after the longest deadline of the deployment and 0.7 s. Where deadlines are
// short, requests must have their response before that, too: also one whose last byte arrives late in the
// stop.
TEST(GatewayStop, RespondsBeforeTheEarliestSigkillIfDeadlinesAreShort) {
  constexpr std::chrono::milliseconds kLongestDeadline{800};
  constexpr std::chrono::milliseconds kSigkillMargin{700};
  GatewayHarness harness(1, SettingsWithDeadline(kLongestDeadline));
  const auto client = harness.Connect(), uploader = harness.Connect();
  client->Send(ApiCall("r1", "pay", "800m"));
  ASSERT_TRUE(harness.Until([&] { return harness.host().requests.size() == 1; }));
  const std::string upload = ApiCall("r2", "pay", "800m", std::string(kLongBodyBytes, 'x'));
  uploader->Send(upload.substr(0, kLongBodyBytes / 2));
  ASSERT_TRUE(harness.Until([&] { return harness.host().connections.size() == 2; }));
  const auto stop_began_at = std::chrono::steady_clock::now();
  harness.gateway->Stop([] {});
  harness.io.run_for(std::chrono::milliseconds(1000));
  uploader->Send(upload.substr(kLongBodyBytes / 2));
  client->Await();
  uploader->Await();
  EXPECT_LT(std::chrono::steady_clock::now() - stop_began_at, kLongestDeadline + kSigkillMargin);
}

// A request that arrives more than 0.7 s after SIGTERM may still wait, or its response may still be written,
// when SIGKILL comes. The gateway must refuse it, which the client can repeat, instead of losing it.
TEST(GatewayStop, RejectsRequestsThatMayNotEndBeforeTheEarliestSigkill) {
  GatewayHarness harness;
  const auto client = harness.Connect();
  client->Send(ApiCall("r1", "pay"));
  ASSERT_TRUE(harness.Until([&] { return harness.host().requests.size() == 1; }));
  harness.gateway->Stop([] {});
  harness.io.run_for(std::chrono::milliseconds(900));
  client->Send(ApiCall("r2", "pay"));
  harness.host().requests[0].Respond(200, "first");
  EXPECT_EQ(client->Await(1).body(), "first");
  EXPECT_EQ(client->Await(2).result(), http::status::service_unavailable);
  EXPECT_EQ(harness.host().requests.size(), 1u);
}

// A request whose head or body is still arriving when the time for requests is over is pending work, although
// no response has begun. The process must not end before its client has a response, and no host may execute a
// request whose response could not be written.
TEST(GatewayStop, RespondsToARequestThatArrivesLate) {
  constexpr std::size_t kShortBodyBytes = 56000;
  const std::string body(kShortBodyBytes, 'x');
  for (const std::string& request :
       {ApiCall("r", "pay", "750m", body), ChunkedApiCall(body), ApiCall("r", "pay", "750m"),
        ApiCall("r", "pay", "750m", std::string(kLongBodyBytes, 'x')), ChunkedApiCall(body + body)}) {
    for (const std::chrono::milliseconds end :
         {std::chrono::milliseconds(900), std::chrono::milliseconds(1160), std::chrono::milliseconds(1400)}) {
      SCOPED_TRACE(request.substr(0, 150) + std::to_string(end.count()));
      StopDuringRequest test(request);
      test.SendUntil(end);
      const auto& responses = test.AwaitStop();
      ASSERT_EQ(responses.size(), 1u);
      EXPECT_FALSE(test.HostHasRequest() && responses[0].result() == http::status::service_unavailable);
      EXPECT_FALSE(test.client->write_failed());
    }
  }
}

// A client that stops in the middle of its request must get its response as well, and must not hold up the
// stop.
TEST(GatewayStop, EndsWhenTheClientOfAnIncompleteRequestHangs) {
  constexpr std::chrono::seconds kRestartTime{10};
  for (const std::size_t part : {50, 20000}) {
    SCOPED_TRACE(part);
    StopDuringRequest test(ApiCall("r", "pay", "750m", std::string(kLongBodyBytes, 'x')).substr(0, part));
    test.SendUntil(std::chrono::milliseconds(600));
    EXPECT_EQ(test.AwaitStop().size(), 1u);
    EXPECT_LT(std::chrono::steady_clock::now() - test.stop_began_at, kRestartTime);
  }
}

// A response that a host still sends when the time for requests is over must not be cut off: the client has
// waited for it since before SIGTERM. The process must exit soon after the response.
TEST(GatewayStop, WritesAResponseThatHasBegunCompletely) {
  StopDuringResponse test;
  EXPECT_EQ(test.waiting->Await().result(), http::status::gateway_timeout);
  test.harness.io.run_for(kObservationTime);
  EXPECT_FALSE(test.stopped);
  test.HostConnection().WriteRaw(std::string(kLongBodyBytes / 2, 'x'));
  EXPECT_EQ(test.reader->Await().body().size(), kLongBodyBytes);
  EXPECT_TRUE(test.harness.Until([&] { return test.stopped; }));
}

// A long response must not hold up the stop after its host or its client has ended it.
TEST(GatewayStop, EndsWhenTheHostOrTheClientOfTheLastResponseDisconnects) {
  for (const bool host_disconnects : {true, false}) {
    SCOPED_TRACE(host_disconnects ? "host" : "client");
    StopDuringResponse test;
    EXPECT_EQ(test.waiting->Await().result(), http::status::gateway_timeout);
    if (host_disconnects) {
      test.HostConnection().Reset();
    } else {
      test.reader->Disconnect();
      test.HostConnection().WriteRaw(std::string(kLongBodyBytes / 4, 'x'));  // the write to the client fails
    }
    EXPECT_TRUE(test.harness.Until([&] { return test.stopped; }));
  }
}

// A host that hangs in the middle of a long response must not hold up the restart, which has to be ready
// within 10 s.
TEST(GatewayStop, EndsWhenTheHostOfTheLastResponseHangs) {
  constexpr std::chrono::seconds kRestartTime{10};
  StopDuringResponse test;
  const auto stop_began_at = std::chrono::steady_clock::now();
  EXPECT_TRUE(test.harness.Until([&] { return test.stopped; }));
  EXPECT_LT(std::chrono::steady_clock::now() - stop_began_at, kRestartTime);
  test.EndResponse();
}

// While a long response holds up the stop, a pipelined request could still reach a host. SIGKILL may come
// before its response, which would lose the request. The gateway must reject it at once.
TEST(GatewayStop, RejectsRequestsThatArriveDuringTheLastResponses) {
  StopDuringResponse test;
  test.waiting->Send(ApiCall("pipelined", "pay"));
  EXPECT_EQ(test.waiting->Await(1).result(), http::status::gateway_timeout);
  EXPECT_EQ(test.waiting->Await(2).result(), http::status::service_unavailable);
  EXPECT_EQ(test.harness.host().requests.size(), 2u);
  EXPECT_FALSE(test.stopped);
  test.EndResponse();
}

// A client that still sends its body when the time for requests is over could lose the response: a close with
// unread bytes resets the connection. The gateway must read on until the client has finished.
TEST(GatewayStop, ClientThatStillSendsItsBodyReceivesTheResponse) {
  GatewayHarness harness;
  const auto client = harness.Connect();
  const std::string body(10 * kLongBodyBytes, 'x');
  const std::string request = ApiCall("upload", "pay", "20000m", body);
  client->Send(request.substr(0, kLongBodyBytes));
  ASSERT_TRUE(harness.Until([&] { return harness.host().connections.size() == 1; }));
  bool stopped = false;
  harness.gateway->Stop([&] { stopped = true; });
  std::size_t sent = kLongBodyBytes;
  constexpr std::size_t kPieceBytes = 2000;
  const auto send_piece = [&] {
    if (sent + kPieceBytes < request.size()) client->Send(request.substr(sent, kPieceBytes));
    sent += kPieceBytes;
    harness.io.run_for(std::chrono::milliseconds(30));
  };
  while (client->responses().empty() && sent < request.size()) send_piece();
  ASSERT_EQ(client->responses().size(), 1u);
  EXPECT_EQ(client->Await().result(), http::status::service_unavailable);  // no host can have executed it
  for (int i = 0; i < 20; ++i) send_piece();  // for longer than the gateway takes to stop
  EXPECT_FALSE(stopped);
  EXPECT_FALSE(client->write_failed());
  client->Disconnect();
  EXPECT_TRUE(harness.Until([&] { return stopped; }));
}

}  // namespace
}  // namespace gateway::proxy::testing
