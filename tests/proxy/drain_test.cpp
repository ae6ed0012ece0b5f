// Tests of the end of a drain: what happens to connections whose response ends, and to requests that arrive,
// shortly before the time at which operators regard the gateway as empty.
#include <gtest/gtest.h>

#include "world.hpp"

namespace gateway::proxy::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kDrainLimit{4050};       // 4 s, and 50 ms for every time limit
constexpr std::size_t kHalfBodyBytes = 100000;  // the gateway forwards long bodies while they arrive
constexpr std::size_t kUploadPieceBytes = 20000;

// A gateway with responses that have begun, with the promise to keep their connections open, and whose host
// has sent half of each body. A test ends them.
struct DrainDuringResponses {
  explicit DrainDuringResponses(std::size_t count, bool with_length = true) : with_length_(with_length) {
    for (std::size_t i = 0; i < count; ++i) {
      clients.push_back(std::make_unique<RawClient>(harness.io, harness.gateway->address()));
      clients[i]->Read();
      clients[i]->Send(ApiCall("long" + std::to_string(i), "pay"));
      EXPECT_TRUE(harness.Until([&] { return harness.host().requests.size() == i + 1; }));
      HostConnection(i).WriteRaw(Head() + Piece());
      EXPECT_TRUE(clients[i]->Await("xx"));
    }
  }

  void StartDrain() {
    drain_began_at = steady_clock::now();
    EXPECT_TRUE(harness.Call("drain-on\n").starts_with("SUCCESS"));
  }
  // Runs the event loop until this time after the start of the drain.
  void RunUntilDrainTime(milliseconds time) { harness.io.run_until(drain_began_at + time); }
  void EndResponse(std::size_t i) {
    HostConnection(i).WriteRaw(Piece() + (with_length_ ? "" : "0\r\n\r\n"));
    EXPECT_TRUE(clients[i]->Await(with_length_ ? std::string(2 * kHalfBodyBytes, 'x') : "\r\n0\r\n\r\n"));
  }
  // Returns the bytes that a client has received after its first response.
  std::string LaterResponse(std::size_t i) const {
    const std::string& text = clients[i]->text();
    const std::size_t begin = text.find("HTTP/1.1", 1);
    return begin == std::string::npos ? "" : text.substr(begin);
  }
  void ExpectRefusedAndClosed(std::size_t i) const {
    EXPECT_TRUE(LaterResponse(i).starts_with("HTTP/1.1 503")) << LaterResponse(i);
    EXPECT_NE(LaterResponse(i).find("Connection: close"), std::string::npos);
    EXPECT_TRUE(clients[i]->closed_by_gateway());
    EXPECT_FALSE(clients[i]->reset());
  }

  GatewayHarness harness;
  std::vector<std::unique_ptr<RawClient>> clients;
  steady_clock::time_point drain_began_at;

 private:
  FakeServer::Connection& HostConnection(std::size_t i) { return *harness.host().requests[i].connection; }
  std::string Head() const {
    return "HTTP/1.1 200 OK\r\n" +
           (with_length_ ? "Content-Length: " + std::to_string(2 * kHalfBodyBytes)
                         : std::string("Transfer-Encoding: chunked")) +
           "\r\n\r\n";
  }
  std::string Piece() const {
    const std::string data(kHalfBodyBytes, 'x');
    return with_length_ ? data : Chunk(data);
  }

  const bool with_length_;
};

// The head of a response that began before the drain promises to keep the connection open. Operators cut off
// connections that are idle 4 s after the start of the drain, so the gateway must close them, however late
// the response ends.
TEST(Drain, ClosesConnectionsWhoseResponsesEndLate) {
  for (const bool with_length : {true, false}) {
    SCOPED_TRACE(with_length ? "with length" : "without length");
    constexpr std::array kEndTimes = {milliseconds(3500), milliseconds(3780), milliseconds(3900),
                                      milliseconds(3960)};
    DrainDuringResponses test(kEndTimes.size(), with_length);
    test.StartDrain();
    for (std::size_t i = 0; i < kEndTimes.size(); ++i) {
      test.RunUntilDrainTime(kEndTimes[i]);
      EXPECT_FALSE(test.clients[i]->closed_by_gateway());
      test.EndResponse(i);
    }
    test.RunUntilDrainTime(kDrainLimit);
    for (const auto& client : test.clients) {
      EXPECT_TRUE(client->closed_by_gateway());
      EXPECT_FALSE(client->reset());
    }
  }
}

// A client that sends its next request at once after a late response must not lose it by the close of the
// connection. If the request could be open 4 s after the start of the drain, the gateway must refuse it at
// once, which the client can repeat. A request that ends before must be served.
TEST(Drain, RefusesLateRequestsThatMayOutlastTheDrain) {
  DrainDuringResponses test(3);
  test.StartDrain();
  test.RunUntilDrainTime(milliseconds(2300));
  test.EndResponse(0);
  test.clients[0]->Send(ApiCall("short", "pay", "1000m"));
  EXPECT_TRUE(test.harness.Until([&] { return test.harness.host().requests.size() == 4; }));
  test.harness.host().requests[3].Respond(200, "served");
  test.EndResponse(1);
  test.clients[1]->Send(ApiCall("long", "pay", "2000m", "body"));
  EXPECT_TRUE(test.clients[1]->AwaitClose());
  test.ExpectRefusedAndClosed(1);
  test.RunUntilDrainTime(milliseconds(3930));
  EXPECT_NE(test.LaterResponse(0).find("served"), std::string::npos);
  test.EndResponse(2);
  test.clients[2]->Send(ApiCall("last", "pay", "2000m"));
  test.RunUntilDrainTime(kDrainLimit);
  test.ExpectRefusedAndClosed(2);
  EXPECT_EQ(test.harness.host().requests.size(), 4u);
}

// A pipelined request waits until the previous response has ended. Late in a drain it must be refused, also
// if it is incomplete, and its connection must not stay open.
TEST(Drain, RefusesPipelinedRequestsAfterALateResponse) {
  const std::string upload = ApiCall("upload", "pay", "2000m", "body");
  for (const std::string& next : {ApiCall("next", "pay"), ApiCall("a", "pay") + ApiCall("b", "pay"),
                                  upload.substr(0, 20), upload.substr(0, upload.size() - 1)}) {
    SCOPED_TRACE(next);
    DrainDuringResponses test(1);
    test.clients[0]->Send(next);
    test.StartDrain();
    test.RunUntilDrainTime(milliseconds(3930));
    test.EndResponse(0);
    test.RunUntilDrainTime(kDrainLimit);
    test.ExpectRefusedAndClosed(0);
    EXPECT_EQ(test.harness.host().requests.size(), 1u);
  }
}

// The last byte of a long upload may arrive when its response could not be complete at the end of the drain.
// The gateway must refuse the request without the last byte for the host, so that the client can repeat it.
TEST(Drain, RefusesAnUploadThatEndsLate) {
  DrainDuringResponses test(0);
  const auto client = test.harness.Connect();
  const std::string request = ApiCall("upload", "pay", "2000m", std::string(10 * kUploadPieceBytes, 'x'));
  client->Send(request.substr(0, 5 * kUploadPieceBytes));
  ASSERT_TRUE(test.harness.Until([&] { return test.harness.host().connections.size() == 1; }));
  test.StartDrain();
  std::size_t sent = 5 * kUploadPieceBytes;
  for (const milliseconds time : {milliseconds(1200), milliseconds(2400), milliseconds(3600)}) {
    test.RunUntilDrainTime(time);
    client->Send(request.substr(sent, kUploadPieceBytes));
    sent += kUploadPieceBytes;
  }
  client->Send(request.substr(sent));
  test.RunUntilDrainTime(kDrainLimit);
  EXPECT_EQ(client->Await().result(), http::status::service_unavailable);
  EXPECT_TRUE(client->closed_by_gateway());
  EXPECT_TRUE(test.harness.host().requests.empty());
}

// The end of a drain must cancel the close of connections that its start has scheduled, and requests must be
// accepted again.
TEST(Drain, KeepsConnectionsOfLateResponsesOpenIfTheDrainEnds) {
  DrainDuringResponses test(1);
  test.StartDrain();
  test.RunUntilDrainTime(milliseconds(3000));
  test.EndResponse(0);
  EXPECT_TRUE(test.harness.Call("drain-off\n").starts_with("SUCCESS"));
  test.RunUntilDrainTime(kDrainLimit);
  EXPECT_FALSE(test.clients[0]->closed_by_gateway());
  test.clients[0]->Send(ApiCall("next", "pay"));
  EXPECT_TRUE(test.harness.Until([&] { return test.harness.host().requests.size() == 2; }));
}

}  // namespace
}  // namespace gateway::proxy::testing
