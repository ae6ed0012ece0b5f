// Hot restart: the replacement of the running process by another, and the messages between both. Each test
// says what it guards.
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>

#include <cstring>
#include <filesystem>

#include "process.hpp"
#include "proxy/restart/hot_restart_message.hpp"

namespace gateway::proxy::testing {
namespace {

// What both processes share: discovery, one host, the clients' address and the folder.
struct Platform {
  Platform() {
    folder = std::filesystem::path(::testing::TempDir()) / ("gateway-tmp-" + std::to_string(getpid()));
    std::filesystem::remove_all(folder);
    std::filesystem::create_directory(folder);
    host.serve = [this](const FakeServer::ReceivedRequest& taken) {
      if (taken.http["Req-Id"] != "held") return taken.Respond(200, std::string(taken.http["Req-Id"]));
      held.push_back(taken);
    };
    discovery.serve = [](const FakeServer::ReceivedRequest&) {};
  }
  ~Platform() { std::filesystem::remove_all(folder); }

  struct Instance {
    tcp::endpoint management;
    std::unique_ptr<Process> process;
  };
  Instance Start() {
    Instance instance{FreeAddress(io), nullptr};
    instance.process = std::make_unique<Process>(
        std::vector<std::pair<std::string, std::string>>{{"NODE_CONFIG", file.path},
                                                         {"NODE_LISTEN", ToText(listen)},
                                                         {"NODE_DISCOVERY", ToText(discovery.address())},
                                                         {"NODE_MGMT", ToText(instance.management)},
                                                         {"TMPDIR", folder.string()}});
    return instance;
  }
  // The first word of the answer to a call; nothing where nobody listens.
  std::string Call(const Instance& instance, const std::string& call) {
    tcp::socket socket(io);
    error_code ec;
    socket.connect(instance.management, ec);
    if (ec) return "";
    asio::write(socket, asio::buffer(call), ec);
    std::string answer;
    bool ended = false;
    asio::async_read(socket, asio::dynamic_buffer(answer), [&](error_code, std::size_t) { ended = true; });
    EXPECT_TRUE(RunUntil(io, [&] { return ended; }));
    return answer.substr(0, answer.find_first_of(" \n"));
  }
  bool Ready(const Instance& instance) {
    return RunUntil(io, [&] { return Call(instance, "check\n") == "SUCCESS"; });
  }
  std::string Ask(Client& client, const std::string& id, std::size_t answer = 1) {
    client.Send(ApiCall(id));
    return client.Await(answer).body();
  }

  asio::io_context io;
  FakeServer host{io}, discovery{io};
  std::vector<FakeServer::ReceivedRequest> held;
  const tcp::endpoint listen = FreeAddress(io);
  std::filesystem::path folder;
  const ConfigFile file{nlohmann::json{
      {"seed",
       "1f"},  // More than one: while both run each gives a new host one place only, which "held" takes.
      {"known",
       List(1, true,
            {Member("h0", host.address()), Member("h1", host.address()), Member("h2", host.address())})},
      {"settings",
       TestSettings()}}.dump()};
};

// Guards the form on the socket between an old and a new process, which may be of different builds.
TEST(HotRestartMessage, KeepsItsWords) {
  EXPECT_EQ(proxy::EncodeMessage(proxy::Hello{}).text, "forkwick 1");
  EXPECT_EQ(proxy::EncodeMessage(proxy::ListenerTransfer{}).text, "listener");
  EXPECT_EQ(proxy::EncodeMessage(proxy::SuccessorReady{}).text, "ready");
  EXPECT_EQ(proxy::EncodeMessage(proxy::PredecessorLeaving{}).text, "leaving");
  EXPECT_EQ(proxy::EncodeMessage(proxy::ClientTransfer{}).text, "client");
  const proxy::TransferredState state{{42, true, {}, "", 0}, {}};
  EXPECT_EQ(proxy::EncodeMessage(proxy::StateTransfer{state}).text,
            R"({"at":0.0,"classes":[],"failing":0.0,"gateways":0,"kinds":[],)"
            R"("list":{"complete":true,"members":[],"revision":42},)"
            R"("mean_latency":0.0,"rate":0.0,"samples":0,"servers":[],"spent":0.0})");
}

// Guards against messages that name a descriptor and carry none, and against other versions of the protocol.
TEST(HotRestartMessage, IsUnknownUnlessComplete) {
  for (const char* text : {"forkwick 2", "listener", "client", "{}", ""}) {
    const proxy::HotRestartMessage message = proxy::DecodeMessage({text, {}});
    EXPECT_TRUE(std::holds_alternative<proxy::UnknownMessage>(message)) << text;
  }
  base::FileDescriptor descriptor(::dup(0));
  ASSERT_TRUE(descriptor);
  const auto message = proxy::DecodeMessage({"client", std::move(descriptor)});
  EXPECT_TRUE(std::holds_alternative<proxy::ClientTransfer>(message));
}

// Guards a replacement as the platform does it: an idle connection of a client survives the old process, as
// does one with a request in flight; that request is answered, and no client is rejected meanwhile.
TEST(HotRestart, TakesOverWithoutRejectingClients) {
  Platform platform;
  auto old = platform.Start();
  ASSERT_TRUE(platform.Ready(old));
  Client idle(platform.io, platform.listen), busy(platform.io, platform.listen);
  EXPECT_EQ(platform.Ask(idle, "one"), "one");
  busy.Send(ApiCall("held", "pay"));
  ASSERT_TRUE(RunUntil(platform.io, [&] { return platform.held.size() == 1; }));
  auto next = platform.Start();
  ASSERT_TRUE(platform.Ready(next));
  EXPECT_EQ(platform.Call(old, "check\n"), "SUCCESS");  // both serve until the old one is told to end
  old.process->Terminate();
  for (int i = 0; i < 50; ++i) {
    Client another(platform.io, platform.listen);
    EXPECT_EQ(platform.Ask(another, "n" + std::to_string(i)), "n" + std::to_string(i))
        << another.Await() << old.process->StandardError() << next.process->StandardError();
  }
  platform.held[0].Respond(200, "held");
  EXPECT_EQ(busy.Await().body(), "held");
  EXPECT_TRUE(busy.Await().keep_alive());
  ASSERT_TRUE(RunUntil(platform.io, [&] { return old.process->HasExited(); }));
  EXPECT_EQ(old.process->Wait(), 0);
  EXPECT_EQ(platform.Ask(idle, "two", 2), "two");
  EXPECT_EQ(platform.Ask(busy, "three", 2), "three");
  EXPECT_FALSE(idle.closed_by_gateway());
  EXPECT_FALSE(busy.closed_by_gateway());
  auto last = platform.Start();  // and once more
  ASSERT_TRUE(platform.Ready(last));
  next.process->Terminate();
  ASSERT_TRUE(RunUntil(platform.io, [&] { return next.process->HasExited(); }));
  EXPECT_EQ(platform.Ask(idle, "four", 3), "four");
}

// Guards a drain of the old process during the overlap: it fails its health check for as long as it drains.
TEST(HotRestart, PreservesADrainOfThePredecessor) {
  Platform platform;
  auto old = platform.Start();
  ASSERT_TRUE(platform.Ready(old));
  Client client(platform.io, platform.listen);
  EXPECT_EQ(platform.Ask(client, "one"), "one");  // the old process has the connection
  auto next = platform.Start();
  ASSERT_TRUE(platform.Ready(next));
  EXPECT_EQ(platform.Call(old, "drain-on\n"), "SUCCESS");
  client.Send("GET /up HTTP/1.1\r\n\r\n");
  EXPECT_EQ(client.Await(2).result_int(), 503u);
  EXPECT_EQ(platform.Call(next, "check\n"), "SUCCESS");
}

// Guards against the end of either process by SIGKILL during the overlap: the other one continues.
TEST(HotRestart, SurvivesTheEndOfEitherProcess) {
  Platform platform;
  auto old = platform.Start();
  ASSERT_TRUE(platform.Ready(old));
  {
    auto dies = platform.Start();
    ASSERT_TRUE(platform.Ready(dies));
    dies.process->Kill();
    dies.process->Wait();
  }
  Client client(platform.io, platform.listen);
  EXPECT_EQ(platform.Ask(client, "one"), "one");
  auto next = platform.Start();
  ASSERT_TRUE(platform.Ready(next));
  old.process->Kill();
  old.process->Wait();
  for (int i = 0; i < 10; ++i) {
    Client another(platform.io, platform.listen);
    EXPECT_EQ(platform.Ask(another, "n" + std::to_string(i)), "n" + std::to_string(i));
  }
}

// Guards the start against any file at the socket's path, and against an old process that hangs: the clients'
// address is shared nevertheless.
TEST(HotRestart, StartsWithoutATransfer) {
  for (const std::string there : {"file", "folder", "stale socket", "hung process"}) {
    SCOPED_TRACE(there);
    Platform platform;
    const std::string path =
        (platform.folder / ("forkwick-" + std::to_string(platform.listen.port()) + ".sock")).string();
    if (there == "file") std::ofstream(path) << "not ours";
    if (there == "folder") std::filesystem::create_directory(path);
    if (there == "stale socket") {
      const int socket = ::socket(AF_UNIX, SOCK_SEQPACKET, 0);
      sockaddr_un at{};
      at.sun_family = AF_UNIX;
      std::strncpy(at.sun_path, path.c_str(), sizeof at.sun_path - 1);
      ASSERT_EQ(::bind(socket, reinterpret_cast<const sockaddr*>(&at), sizeof at), 0);
      ::close(socket);
    }
    auto old = platform.Start();
    ASSERT_TRUE(platform.Ready(old));
    if (there == "hung process") old.process->Suspend();
    auto next = platform.Start();
    EXPECT_TRUE(platform.Ready(next));
    if (there == "hung process") {
      old.process->Kill();
    } else {
      old.process->Terminate();
    }
    ASSERT_TRUE(RunUntil(platform.io, [&] { return old.process->HasExited(); }));
    Client client(platform.io, platform.listen);
    EXPECT_EQ(platform.Ask(client, "one"), "one");
  }
}

}  // namespace
}  // namespace gateway::proxy::testing
