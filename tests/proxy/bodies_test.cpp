// Bodies that are longer than what is held, and the forms that they come in. Each test says what it guards.
#include <gtest/gtest.h>

#include "world.hpp"

namespace gateway::proxy::testing {
namespace {

std::string Body(std::size_t size) {
  std::string body(size, 0);
  for (std::size_t i = 0; i < size; ++i) body[i] = static_cast<char>('a' + (i * 7 + i / 1000) % 26);
  return body;
}

std::string Chunked(const std::string& body, std::size_t piece, const std::string& trailer = "") {
  std::ostringstream text;
  for (std::size_t at = 0; at < body.size(); at += piece) {
    const std::string one = body.substr(at, piece);
    text << std::hex << one.size() << "\r\n" << one << "\r\n";
  }
  text << "0\r\n" << trailer << "\r\n";
  return text.str();
}

std::string ChunkedHead(const std::string& id, const std::string& more = "") {
  return "POST /api HTTP/1.1\r\nReq-Id: " + id + "\r\nReq-Kind: pay\r\nReq-Deadline: 9000m\r\n" + more +
         "Transfer-Encoding: chunked\r\n\r\n";
}

// A connection that is written and read byte by byte.
class Wire {
 public:
  explicit Wire(GatewayHarness& world) : world_(world), state_(std::make_shared<State>(world.io)) {
    state_->socket.connect(world.gateway->address());
  }
  ~Wire() {
    error_code ignored;
    state_->socket.close(ignored);
  }
  void Send(std::string text) {
    const auto kept = std::make_shared<std::string>(std::move(text));
    asio::async_write(state_->socket, asio::buffer(*kept),
                      [kept, state = state_](error_code ec, std::size_t) { state->sent += !ec; });
  }
  void Read() {
    state_->socket.async_read_some(asio::buffer(state_->piece),
                                   [this, state = state_](error_code ec, std::size_t got) {
                                     state->text.append(state->piece.data(), got);
                                     state->closed_by_gateway = ec && ec != asio::error::operation_aborted;
                                     state->reset = ec == asio::error::connection_reset;
                                     if (!ec) Read();
                                   });
  }
  bool Await(const std::string& words) {
    return RunUntil(world_.io, [&] { return state_->text.find(words) != std::string::npos; });
  }
  bool AwaitClose() {
    return RunUntil(world_.io, [&] { return state_->closed_by_gateway; });
  }
  const std::string& text() const { return state_->text; }
  bool reset() const { return state_->reset; }
  int sent() const { return state_->sent; }

 private:
  struct State {
    explicit State(asio::io_context& io) : socket(io) {}
    tcp::socket socket;
    std::array<char, 65536> piece;
    std::string text;
    int sent = 0;
    bool closed_by_gateway = false, reset = false;
  };
  GatewayHarness& world_;
  std::shared_ptr<State> state_;
};

// Guards long bodies both ways, of stated length and in chunks, and the connections that they leave behind.
TEST(Bodies, PassThroughWhole) {
  GatewayHarness world;
  const auto client = world.Connect();
  const std::string long_body = Body(5000000);
  std::size_t n = 0;
  for (const std::size_t size : {std::size_t{64 * 1024 + 1}, std::size_t{200000}, long_body.size()}) {
    const std::string body = long_body.substr(0, size);
    for (const bool chunked : {false, true}) {
      SCOPED_TRACE(std::to_string(size) + (chunked ? " chunked" : ""));
      const std::string id = "r" + std::to_string(++n);
      client->Send(chunked ? ChunkedHead(id) + Chunked(body, 30011) : ApiCall(id, "pay", "9000m", body));
      ASSERT_TRUE(world.Until([&] { return world.host().requests.size() == n; }));
      EXPECT_TRUE(world.host().requests.back().http.body() == body);
      EXPECT_EQ(world.host().requests.back().http["Req-Id"], id);
      world.host().requests.back().connection->WriteRaw(
          chunked ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Chunked(body, 777)
                  : "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n" + body);
      EXPECT_EQ(client->Await(n).result_int(), 200u);
      EXPECT_TRUE(client->Await(n).body() == body);
      EXPECT_TRUE(client->Await(n).keep_alive());
    }
  }
  EXPECT_EQ(world.host().connections.size(), 1u);
  EXPECT_EQ(world.Vars()["responses"]["pay"], nlohmann::json({{"ok", 6}, {"shed", 0}, {"errors", 0}}));
  EXPECT_EQ(world.Vars()["tries"], 6);
  EXPECT_EQ(world.Vars()["active"], 0);
}

// Guards the memory: who does not read holds back who writes, both ways, and gets all of it in the end.
TEST(Bodies, AreHeldBackByASlowReader) {
  GatewayHarness world;
  const std::string body = Body(32 * 1024 * 1024);
  Wire slow(world);
  slow.Send(ApiCall("r1"));
  ASSERT_TRUE(world.Until([&] { return world.host().requests.size() == 1; }));
  world.host().requests[0].connection->WriteRaw(
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  world.io.run_for(std::chrono::milliseconds(500));
  EXPECT_EQ(world.host().requests[0].connection->completed_writes, 0);
  slow.Read();
  ASSERT_TRUE(RunUntil(world.io, [&] { return slow.text().size() > body.size(); }));
  EXPECT_TRUE(slow.text().ends_with(body));
}

// Guards the first bytes of a long answer, which count: they are not kept until there are more.
TEST(Bodies, AreBegunWithTheirFirstBytes) {
  GatewayHarness world;
  Wire client(world);
  client.Read();
  client.Send(ApiCall("r1"));
  ASSERT_TRUE(world.Until([&] { return world.host().requests.size() == 1; }));
  world.host().requests[0].connection->WriteRaw(
      "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nfirst bytes");
  EXPECT_TRUE(client.Await("first bytes"));
  EXPECT_EQ(world.Vars()["active"], 1);  // it has not ended
  world.host().requests[0].connection->WriteRaw(std::string(100000 - 11, 'x'));
  EXPECT_TRUE(RunUntil(world.io, [&] { return client.text().size() > 100000; }));
}

// Guards clients against an answer that breaks off and looks whole, in each form that it may have.
TEST(Bodies, ThatBreakOffAreSeenToByTheClient) {
  struct Form {
    std::string client, head;
  };
  const std::string old = "GET /api HTTP/1.0\r\nReq-Id: r1\r\nReq-Kind: view\r\nReq-Deadline: 9000m\r\n\r\n";
  const std::vector<Form> forms = {
      {ApiCall("r1"), "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n"},
      {ApiCall("r1"), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n"},
      {old, "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n"},
      {old, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n"},
  };
  for (std::size_t i = 0; i < forms.size(); ++i) {
    SCOPED_TRACE(i);
    GatewayHarness world;
    Wire client(world);
    client.Read();
    client.Send(forms[i].client);
    ASSERT_TRUE(world.Until([&] { return world.host().requests.size() == 1; }));
    const auto on = world.host().requests[0].connection;
    on->WriteRaw(forms[i].head + std::string(100000, 'x'));
    ASSERT_TRUE(client.Await("xxx"));
    on->Reset();
    ASSERT_TRUE(client.AwaitClose());
    EXPECT_EQ(client.text().find("\r\n0\r\n"), std::string::npos);
    const bool sized = client.text().find("Content-Length") != std::string::npos ||
                       client.text().find("chunked") != std::string::npos;
    EXPECT_TRUE(sized || client.reset());
    EXPECT_EQ(world.Vars()["responses"]["view"], nlohmann::json({{"ok", 0}, {"shed", 0}, {"errors", 1}}));
  }
}

// Guards the forms of answers that hosts may choose: all reach the client whole, HTTP/1.0 clients too.
TEST(Bodies, ReachTheClientInEveryForm) {
  for (const std::size_t size : {std::size_t{0}, std::size_t{1000}, std::size_t{300000}}) {
    for (const bool old : {false, true}) {
      const std::string body = Body(size);
      const std::vector<std::pair<std::string, bool>> forms = {
          {"HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n" + body, false},
          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Chunked(body, 999, "Later: x\r\n"),
           false},
          {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body, true},
          {"HTTP/1.0 200 OK\r\n\r\n" + body, true},
      };
      for (std::size_t i = 0; i < forms.size(); ++i) {
        SCOPED_TRACE(std::to_string(size) + " form " + std::to_string(i) + (old ? " to HTTP/1.0" : ""));
        GatewayHarness world;
        const auto client = world.Connect();
        client->Send(old ? "GET /api HTTP/1.0\r\nReq-Id: r1\r\nReq-Kind: view\r\nReq-Deadline: 9000m\r\n\r\n"
                         : ApiCall("r1"));
        ASSERT_TRUE(world.Until([&] { return world.host().requests.size() == 1; }));
        const auto on = world.host().requests[0].connection;
        on->WriteRaw(forms[i].first);
        if (forms[i].second) {
          ASSERT_TRUE(world.Until([&] { return on->completed_writes == 1; }));
          on->Close();
        }
        EXPECT_EQ(client->Await().result_int(), 200u);
        EXPECT_TRUE(client->Await().body() == body);
        EXPECT_FALSE(old && client->Await().chunked());
      }
    }
  }
}

// Guards hosts against a request that two readers could take for two, or that is none: told, and never passed
// on.
TEST(Bodies, OfContradictoryFramingReachNoHost) {
  const std::string head = "POST /api HTTP/1.1\r\nReq-Id: a\r\nReq-Kind: pay\r\nReq-Deadline: 900m\r\n";
  const std::vector<std::string> inputs = {
      head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      head + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
      head + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef",
      head + "Content-Length: 5, 6\r\n\r\nabcdef",
      head + "Content-Length: +5\r\n\r\nabcde",
      head + "Content-Length: -5\r\n\r\nabcde",
      head + "Content-Length: 0x5\r\n\r\nabcde",
      head + "Content-Length: 99999999999999999999999\r\n\r\nabcde",
      head + "Transfer-Encoding: gzip\r\n\r\nabcde",
      head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
      head + "Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n",
      head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      head + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
      "POST /api HTTP/1.0\r\nReq-Id: a\r\nReq-Kind: pay\r\nReq-Deadline: 900m\r\nTransfer-Encoding: "
      "chunked\r\n\r\n0\r\n\r\n",
      head + "Transfer-Encoding: chunked\r\n\r\n-5\r\nabcde\r\n0\r\n\r\n",
      head + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabcde\r\n0\r\n\r\n",
      head + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\nabcde\r\n0\r\n\r\n",
      head + "Transfer-Encoding: chunked\r\n\r\n5\r\nabcdeXX\r\n0\r\n\r\n",
      head + "Expect: 200-maybe\r\nContent-Length: 5\r\n\r\nabcde",
      head + "Content-Length : 5\r\n\r\nabcde",
      head + "Content-Length: 5\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      head + "No colon\r\n\r\n",
      "POST /api HTTP/3.7\r\nReq-Id: a\r\nReq-Kind: pay\r\nReq-Deadline: 900m\r\n\r\n",
      head + "Transfer-Encoding: chunked\r\n\r\n4000000\r\n" + std::string(100000, 'x'),
  };
  GatewayHarness world;
  for (const std::string& input : inputs) {
    SCOPED_TRACE(input.substr(60, 120));
    Wire client(world);
    client.Read();
    client.Send(input);
    EXPECT_TRUE(client.AwaitClose());
    const std::string status = client.text().substr(8, 2);  // the version is the client's
    EXPECT_TRUE(status == " 4" || status == " 5") << client.text();
    EXPECT_EQ(client.text().find("HTTP/", 1), std::string::npos);  // one answer
  }
  EXPECT_TRUE(world.host().requests.empty());
}

// Guards a client that waits to be asked for its body, and one whose request is wrong: that is told first.
TEST(Bodies, AreAskedForWhereTheClientWaits) {
  GatewayHarness world;
  Wire client(world);
  client.Read();
  client.Send(
      "POST /api HTTP/1.1\r\nReq-Id: r1\r\nReq-Kind: pay\r\nReq-Deadline: 9000m\r\nExpect: "
      "100-Continue\r\nContent-Length: 5\r\n\r\n");
  EXPECT_TRUE(client.Await("HTTP/1.1 100 Continue\r\n\r\n"));
  EXPECT_TRUE(world.host().requests.empty());
  client.Send("abcde");
  ASSERT_TRUE(world.Until([&] { return world.host().requests.size() == 1; }));
  EXPECT_EQ(world.host().requests[0].http.body(), "abcde");
  EXPECT_EQ(world.host().requests[0].http.count("Expect"), 0u);
  world.host().requests[0].Respond(200, "done");
  EXPECT_TRUE(client.Await("done"));
  Wire wrong(world);
  wrong.Read();
  wrong.Send(
      "POST /api HTTP/1.1\r\nReq-Id: r2\r\nReq-Kind: steal\r\nReq-Deadline: 9000m\r\nExpect: "
      "100-continue\r\nContent-Length: 5\r\n\r\n");
  EXPECT_TRUE(wrong.AwaitClose());
  EXPECT_TRUE(wrong.text().starts_with("HTTP/1.1 400"));
}

// Guards the head against what follows the body: a trailer must not change what the request says.
TEST(Bodies, KeepTheirTrailersOutOfTheHead) {
  GatewayHarness world;
  const auto client = world.Connect();
  client->Send(ChunkedHead("r1") + Chunked("abcde", 2, "Req-Id: r9\r\nX-Later: y\r\n") + ApiCall("r2"));
  ASSERT_TRUE(world.Until([&] { return world.host().requests.size() == 1; }));
  const HttpRequest& got = world.host().requests[0].http;
  EXPECT_EQ(got.body(), "abcde");
  EXPECT_EQ(got.count("Req-Id"), 1u);
  EXPECT_EQ(got["Req-Id"], "r1");
  world.host().requests[0].Respond(200, "one");
  EXPECT_EQ(client->Await(1).body(), "one");
  ASSERT_TRUE(
      world.Until([&] { return world.host().requests.size() == 2; }));  // what was pipelined behind it
  world.host().requests[1].Respond(200, "two");
  EXPECT_EQ(client->Await(2).body(), "two");
}

// Guards rule 2 for long requests: one that reached no host goes to another while all of it is held, and one
// that broke on its way is told as never run.
TEST(Bodies, AreSentAgainOnlyWhileHeld) {
  const std::string body = Body(300000);
  for (const std::size_t dead : {0, 1}) {  // a new gateway's first pick is the same both times, and dead once
    GatewayHarness world(2);
    FakeServer& alive = world.host(1 - dead);
    world.host(dead).StopListening();
    const auto client = world.Connect();
    client->Send(ApiCall("r1", "pay", "9000m", body));
    ASSERT_TRUE(world.Until([&] { return alive.requests.size() == 1; }));
    EXPECT_TRUE(alive.requests[0].http.body() == body);
    alive.requests[0].Respond(200, "");
    EXPECT_EQ(client->Await().result_int(), 200u);
  }
  GatewayHarness world(2);
  const auto client = world.Connect();
  const std::string call = ApiCall("r1", "pay", "9000m", body);
  client->Send(call.substr(0, 150000));
  const auto reached = [&] { return world.host(0).connections.size() + world.host(1).connections.size(); };
  ASSERT_TRUE(world.Until([&] { return reached() == 1; }));
  const auto& on = (world.host(0).connections.empty() ? world.host(1) : world.host(0)).connections[0];
  ASSERT_TRUE(world.Until([&] {  // more has come than is held
    return on->parser->is_header_done() && on->parser->content_length_remaining().value_or(300000) < 220000;
  }));
  for (auto& host : world.hosts) {
    for (auto& connection : host->connections) connection->Reset();
  }
  client->Send(call.substr(150000));
  EXPECT_EQ(client->Await().result_int(), 503u);
  EXPECT_EQ(reached(), 1u);
}

// Guards the places of clients and hosts against bodies that never come: the request is told as such, and the
// host sees its connection end.
TEST(Bodies, ThatNeverComeAreGivenUp) {
  GatewayHarness world;
  Wire held(world), passing(world);
  held.Read();
  passing.Read();
  held.Send(ApiCall("r1", "pay", "20000m", std::string(5000, 'x')).substr(0, 3000));
  passing.Send(ApiCall("r2", "pay", "20000m", std::string(200000, 'x')).substr(0, 150000));
  ASSERT_TRUE(world.Until([&] { return world.host().connections.size() == 1; }));
  EXPECT_TRUE(held.Await("HTTP/1.1 408"));
  EXPECT_TRUE(passing.Await("HTTP/1.1 408"));
  EXPECT_TRUE(world.Until([&] { return world.host().connections[0]->closed_by_gateway; }));
  EXPECT_TRUE(world.host().requests.empty());
  EXPECT_EQ(world.Vars()["active"], 0);
}

// Guards clients against a host that hangs while it is sent a long request: it never ran, and is told so long
// before the connection would end by itself.
TEST(Bodies, AreGivenUpWhereTheHostTakesNothingIn) {
  GatewayHarness world;
  world.host().never_reads = true;
  const auto client = world.Connect();
  client->Send(ApiCall("r1", "pay", "20000m", Body(32 * 1024 * 1024)));
  EXPECT_EQ(client->Await().result_int(), 503u);
}

// Guards the places against a peer that was told of its error and drips on.
TEST(Bodies, BehindAnErrorAreNotReadForEver) {
  GatewayHarness world;
  const auto peer = world.Connect();
  peer->Send("POST /api HTTP/1.1\r\nContent-Length: x\r\n\r\n");
  EXPECT_EQ(peer->Await().result_int(), 400u);
  EXPECT_TRUE(RunUntil(world.io, [&] {
    peer->Send("x");
    return peer->write_failed();
  }));
}

}  // namespace
}  // namespace gateway::proxy::testing
