// Tests of hot restart: a new process replaces the running process, and the two processes exchange messages.
#include "proxy/restart/hot_restart.hpp"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>

#include <cstring>
#include <filesystem>

#include "program.hpp"
#include "proxy/restart/hot_restart_message.hpp"
#include "proxy/restart/packet_socket.hpp"

namespace gateway::proxy::testing {
namespace {

// The old and the new process with one host, which responds to most requests at once.
struct HotRestartFixture : ProgramFixture {
  // While both processes run, each process sends at most one concurrent request to a new endpoint. The
  // request "pending" occupies one endpoint, so the other requests need more endpoints.
  static constexpr std::size_t kEndpointsPerHost = 3;

  HotRestartFixture() : ProgramFixture(1, {}, nlohmann::json::object(), kEndpointsPerHost) {
    host().serve = [this](const FakeServer::ReceivedRequest& request) {
      const std::string id(request.http["Req-Id"]);
      if (id == "pending") return pending.push_back(request);
      if (id != never_answered) request.Respond(200, id);
    };
  }
  // Sends a request and returns the body of its response. `response_number` is the number of the response on
  // the client's connection, from 1.
  std::string Request(Client& client, const std::string& id, std::size_t response_number = 1) {
    client.Send(ApiCall(id));
    return client.Await(response_number).body();
  }

  // Requests with the ID "pending". The test responds to them.
  std::vector<FakeServer::ReceivedRequest> pending;
  std::string never_answered;  // the ID of a request to which the host does not respond
};

// The two processes may run different versions of the program, so no version may change the encoding of the
// messages.
TEST(HotRestartMessage, HasAStableEncoding) {
  EXPECT_EQ(proxy::EncodeMessage(proxy::Hello{}).text, "forkwick 1");
  EXPECT_EQ(proxy::EncodeMessage(proxy::ListenerTransfer{}).text, "listener");
  EXPECT_EQ(proxy::EncodeMessage(proxy::SuccessorReady{}).text, "ready");
  EXPECT_EQ(proxy::EncodeMessage(proxy::PredecessorLeaving{}).text, "leaving");
  EXPECT_EQ(proxy::EncodeMessage(proxy::ClientTransfer{}).text, "client");
  EXPECT_EQ(proxy::EncodeMessage(proxy::RequestsClaimed{{{1, 0xabcdef}, {2, 3}}}).text,
            "claim 00000000000000010000000000abcdef 00000000000000020000000000000003");
  EXPECT_EQ(proxy::EncodeMessage(proxy::RequestsReleased{{{1, 2}}}).text,
            "release 00000000000000010000000000000002");
  EXPECT_EQ(proxy::EncodeMessage(proxy::ConfigReplaced{}).text, "reload");
  EXPECT_TRUE(std::holds_alternative<proxy::ConfigReplaced>(proxy::DecodeMessage({"reload", {}})));
  const proxy::TransferredState state{{42, true, {}, "", 0}, {}};
  EXPECT_EQ(proxy::EncodeMessage(proxy::StateTransfer{state}).text,
            R"({"at":0.0,"classes":[],"failing":0.0,"gateways":0,"kinds":[],)"
            R"("list":{"complete":true,"members":[],"revision":42},)"
            R"("mean_latency":0.0,"rate":0.0,"samples":0,"servers":[],"spent":0.0})");
}

// Decoding must return UnknownMessage for a malformed message, for a message of another protocol version, and
// for a message without its required file descriptor.
TEST(HotRestartMessage, IsUnknownIfMalformedOrOfAnotherVersionOrWithoutItsDescriptor) {
  for (const char* text :
       {"forkwick 2", "listener", "client", "{}", "", "claim 1", "claim 0000000000000001000000000000000g",
        "release 0000000000000001 0000000000000001"}) {
    const proxy::HotRestartMessage message = proxy::DecodeMessage({text, {}});
    EXPECT_TRUE(std::holds_alternative<proxy::UnknownMessage>(message)) << text;
  }
  base::FileDescriptor descriptor(::dup(0));
  ASSERT_TRUE(descriptor);
  const auto message = proxy::DecodeMessage({"client", std::move(descriptor)});
  EXPECT_TRUE(std::holds_alternative<proxy::ClientTransfer>(message));
}

// A predecessor that serves and that a test drives, without a gateway.
struct PredecessorFixture {
  PredecessorFixture() {
    callbacks.is_ready = [] { return true; };
    callbacks.is_stopping = [] { return false; };
    callbacks.listener = [this] { return listener.native_handle(); };
    callbacks.export_state = [] { return proxy::TransferredState{}; };
    callbacks.scale_rate = [](double) {};
    callbacks.limit_connections = [](bool) {};
    callbacks.adopt_client = [](base::FileDescriptor) {};
    callbacks.claimed_requests = [] { return std::vector<policy::RequestDigest>{}; };
    callbacks.requests_claimed = [](const std::vector<policy::RequestDigest>&) {};
    callbacks.requests_released = [](const std::vector<policy::RequestDigest>&) {};
    callbacks.config_replaced = [] {};
  }
  ~PredecessorFixture() { ::unlink(path.c_str()); }
  // Starts the predecessor, and connects a successor to it.
  ::testing::AssertionResult Connect() {
    predecessor.emplace(io, path, base::FileDescriptor(), /*address_in_use=*/false, callbacks);
    predecessor->Start();
    const auto address = proxy::ToUnixAddress(path);
    if (!successor || !address) return ::testing::AssertionFailure() << "no socket";
    if (::connect(successor.get(), reinterpret_cast<const sockaddr*>(&*address), sizeof *address) != 0)
      return ::testing::AssertionFailure() << std::strerror(errno);
    return ::testing::AssertionSuccess();
  }
  proxy::SendResult Send(proxy::HotRestartMessage message) {
    return proxy::SendPacket(successor.get(), proxy::EncodeMessage(std::move(message)));
  }

  asio::io_context io;
  tcp::acceptor listener{io, Loopback()};
  const std::string path = ::testing::TempDir() + "gateway-early-" + std::to_string(getpid()) + ".sock";
  proxy::HotRestart::Callbacks callbacks;
  std::optional<proxy::HotRestart> predecessor;
  const base::FileDescriptor successor = proxy::OpenPacketSocket();
};

// A successor may be ready so soon that both of its messages wait in the socket when the predecessor reads
// the first one. If the predecessor lost the second message, it would close its clients' connections at
// SIGTERM instead of transferring them.
TEST(HotRestart, NoticesASuccessorThatIsReadyBeforeItsFirstMessageIsRead) {
  PredecessorFixture fixture;
  ASSERT_TRUE(fixture.Connect());
  ASSERT_EQ(fixture.Send(proxy::Hello{}), proxy::SendResult::kSent);
  ASSERT_EQ(fixture.Send(proxy::SuccessorReady{}), proxy::SendResult::kSent);
  EXPECT_FALSE(fixture.predecessor->HasReadySuccessor());
  EXPECT_TRUE(RunUntil(fixture.io, [&] { return fixture.predecessor->HasReadySuccessor(); }));
}

// SIGHUP may arrive after the state for the successor was exported and before the successor is connected. The
// successor has the former address then, and the signal was not for it.
TEST(HotRestart, NotifiesASuccessorOfAReloadDuringTheTransfer) {
  PredecessorFixture fixture;
  fixture.callbacks.export_state = [&] {
    asio::post(fixture.io, [&] { fixture.predecessor->ShareReload(); });
    return proxy::TransferredState{};
  };
  ASSERT_TRUE(fixture.Connect());
  ASSERT_EQ(fixture.Send(proxy::Hello{}), proxy::SendResult::kSent);
  EXPECT_TRUE(RunUntil(fixture.io, [&] {
    proxy::Packet packet;
    return proxy::ReceivePacket(fixture.successor.get(), packet) == proxy::ReceiveResult::kReceived &&
           packet.text == "reload";
  }));
}

// During a hot restart a client could lose its connection or its request. The test opens an idle connection
// and a connection with a request in flight. When the old process exits, both connections must stay open and
// the request must complete. Neither process may reject a client.
TEST(HotRestart, TakesOverWithoutRejectingClients) {
  HotRestartFixture fixture;
  auto old = fixture.Start();
  ASSERT_TRUE(fixture.BecomesReady(old));
  Client idle(fixture.io, fixture.listen), busy(fixture.io, fixture.listen);
  EXPECT_EQ(fixture.Request(idle, "one"), "one");
  busy.Send(ApiCall("pending", "pay"));
  ASSERT_TRUE(RunUntil(fixture.io, [&] { return fixture.pending.size() == 1; }));
  auto next = fixture.Start();
  ASSERT_TRUE(fixture.BecomesReady(next));
  EXPECT_EQ(fixture.Call(old, "check\n"), "SUCCESS");  // the old process serves clients until SIGTERM
  old.process->Terminate();
  // The old process completes requests for 3.3 s. On a slow machine, the 50 requests may take longer.
  asio::steady_timer response_timer(fixture.io, std::chrono::milliseconds(2000));
  auto respond = [&, responded = false]() mutable {
    if (!std::exchange(responded, true)) fixture.pending[0].Respond(200, "pending");
  };
  response_timer.async_wait([&](error_code) { respond(); });
  for (int i = 0; i < 50; ++i) {
    Client another(fixture.io, fixture.listen);
    EXPECT_EQ(fixture.Request(another, "n" + std::to_string(i)), "n" + std::to_string(i))
        << another.Await() << old.process->StandardError() << next.process->StandardError();
  }
  response_timer.cancel();
  EXPECT_EQ(busy.Await().body(), "pending");
  EXPECT_TRUE(busy.Await().keep_alive());
  ASSERT_TRUE(RunUntil(fixture.io, [&] { return old.process->HasExited(); }));
  EXPECT_EQ(old.process->Wait(), 0);
  EXPECT_EQ(fixture.Request(idle, "two", 2), "two");
  EXPECT_EQ(fixture.Request(busy, "three", 2), "three");
  EXPECT_FALSE(idle.closed_by_gateway());
  EXPECT_FALSE(busy.closed_by_gateway());
  auto last = fixture.Start();  // a third process replaces the second process
  ASSERT_TRUE(fixture.BecomesReady(last));
  next.process->Terminate();
  ASSERT_TRUE(RunUntil(fixture.io, [&] { return next.process->HasExited(); }));
  EXPECT_EQ(fixture.Request(idle, "four", 3), "four");
}

// A response that the old process has begun to send may take longer than the old process serves requests. The
// old process must complete it before it exits, and then transfer the connection.
TEST(HotRestart, OldProcessWritesAResponseThatHasBegunCompletely) {
  constexpr std::size_t kBodyBytes = 200000;
  HotRestartFixture fixture;
  auto old = fixture.Start();
  ASSERT_TRUE(fixture.BecomesReady(old));
  Client reader(fixture.io, fixture.listen), waiting(fixture.io, fixture.listen);
  reader.Send(ApiCall("pending", "pay"));
  ASSERT_TRUE(RunUntil(fixture.io, [&] { return fixture.pending.size() == 1; }));
  FakeServer::Connection& host = *fixture.pending[0].connection;
  host.WriteRaw("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kBodyBytes) + "\r\n\r\n" +
                std::string(kBodyBytes / 2, 'x'));
  fixture.never_answered = "waiting";
  waiting.Send(ApiCall("waiting", "pay"));
  auto next = fixture.Start();
  ASSERT_TRUE(fixture.BecomesReady(next));
  old.process->Terminate();
  EXPECT_EQ(waiting.Await().result(), http::status::gateway_timeout);  // no time is left for requests
  fixture.io.run_for(std::chrono::milliseconds(600));  // longer than the process takes to exit
  EXPECT_FALSE(old.process->HasExited());
  host.WriteRaw(std::string(kBodyBytes / 2, 'x'));
  EXPECT_EQ(reader.Await().body().size(), kBodyBytes);
  EXPECT_TRUE(RunUntil(fixture.io, [&] { return old.process->HasExited(); }));
  EXPECT_EQ(old.process->Wait(), 0);
  EXPECT_EQ(fixture.Request(reader, "two", 2), "two");
}

// A client may still send its body when the old process has no time left for requests. The old process must
// not exit before the client has its response, which tells it to repeat the request.
TEST(HotRestart, OldProcessRespondsToARequestWhoseBodyArrivesLate) {
  constexpr std::size_t kBodyBytes = 50000;
  constexpr int kPieces = 40;
  HotRestartFixture fixture;
  auto old = fixture.Start();
  ASSERT_TRUE(fixture.BecomesReady(old));
  Client client(fixture.io, fixture.listen);
  const std::string request = ApiCall("late", "pay", "5000m", std::string(kBodyBytes, 'x'));
  client.Send(request.substr(0, request.size() - kBodyBytes));
  auto next = fixture.Start();
  ASSERT_TRUE(fixture.BecomesReady(next));
  old.process->Terminate();
  for (int i = 0; i < kPieces; ++i) {  // for 4 s, longer than the process serves requests
    client.Send(std::string(kBodyBytes / kPieces, 'x'));
    fixture.io.run_for(std::chrono::milliseconds(100));
  }
  EXPECT_EQ(client.Await().result(), http::status::service_unavailable);
  EXPECT_FALSE(client.write_failed());
  EXPECT_TRUE(RunUntil(fixture.io, [&] { return old.process->HasExited(); }));
  EXPECT_EQ(old.process->Wait(), 0);
}

// If an operator drains the old process while both processes run, the old process must fail its health check,
// although the new process is ready.
TEST(HotRestart, OldProcessFailsItsHealthCheckWhileDraining) {
  HotRestartFixture fixture;
  auto old = fixture.Start();
  ASSERT_TRUE(fixture.BecomesReady(old));
  Client client(fixture.io, fixture.listen);
  EXPECT_EQ(fixture.Request(client, "one"), "one");  // the old process accepts the connection
  auto next = fixture.Start();
  ASSERT_TRUE(fixture.BecomesReady(next));
  EXPECT_EQ(fixture.Call(old, "drain-on\n"), "SUCCESS");
  client.Send("GET /up HTTP/1.1\r\n\r\n");
  EXPECT_EQ(client.Await(2).result_int(), 503u);
  EXPECT_EQ(fixture.Call(next, "check\n"), "SUCCESS");
}

// If SIGKILL ends one of the two processes while both run, the other process must continue to serve clients.
TEST(HotRestart, ServesClientsAfterEitherProcessIsKilled) {
  HotRestartFixture fixture;
  auto old = fixture.Start();
  ASSERT_TRUE(fixture.BecomesReady(old));
  {
    auto killed = fixture.Start();
    ASSERT_TRUE(fixture.BecomesReady(killed));
    killed.process->Kill();
    killed.process->Wait();
  }
  Client client(fixture.io, fixture.listen);
  EXPECT_EQ(fixture.Request(client, "one"), "one");
  auto next = fixture.Start();
  ASSERT_TRUE(fixture.BecomesReady(next));
  old.process->Kill();
  old.process->Wait();
  for (int i = 0; i < 10; ++i) {
    Client another(fixture.io, fixture.listen);
    EXPECT_EQ(fixture.Request(another, "n" + std::to_string(i)), "n" + std::to_string(i));
  }
}

// No transfer is possible if the old process hangs, or if a file, a folder or a stale socket is at the path
// of the Unix socket. The new process must still start and share the client address.
TEST(HotRestart, StartsEvenIfNoTransferIsPossible) {
  for (const std::string obstacle : {"file", "folder", "stale socket", "hung process"}) {
    SCOPED_TRACE(obstacle);
    HotRestartFixture fixture;
    const std::string path =
        (fixture.folder / ("forkwick-" + std::to_string(fixture.listen.port()) + ".sock")).string();
    if (obstacle == "file") std::ofstream(path) << "not a socket";
    if (obstacle == "folder") std::filesystem::create_directory(path);
    if (obstacle == "stale socket") {
      const int socket = ::socket(AF_UNIX, SOCK_SEQPACKET, 0);
      sockaddr_un address{};
      address.sun_family = AF_UNIX;
      std::strncpy(address.sun_path, path.c_str(), sizeof address.sun_path - 1);
      ASSERT_EQ(::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address), 0);
      ::close(socket);
    }
    auto old = fixture.Start();
    ASSERT_TRUE(fixture.BecomesReady(old)) << old.process->StandardError();
    if (obstacle == "hung process") old.process->Suspend();
    auto next = fixture.Start();
    EXPECT_TRUE(fixture.BecomesReady(next)) << next.process->StandardError();
    if (obstacle == "hung process") {
      old.process->Kill();
    } else {
      old.process->Terminate();
    }
    ASSERT_TRUE(RunUntil(fixture.io, [&] { return old.process->HasExited(); }));
    Client client(fixture.io, fixture.listen);
    EXPECT_EQ(fixture.Request(client, "one"), "one");
  }
}

}  // namespace
}  // namespace gateway::proxy::testing
