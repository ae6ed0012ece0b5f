// The program as a process: how it starts, what it says when it can't, and how it ends.
#include "process.hpp"

#include <gtest/gtest.h>

#include <fstream>

namespace gateway::proxy::testing {
namespace {

// Guards the operator at a broken deployment: one line that names what is wrong, and no running gateway.
TEST(Program, NamesWhatIsWrongInItsConfiguration) {
  const auto config = [](const std::function<void(nlohmann::json&)>& spoil) {
    nlohmann::json file = {{"seed", "1f"}, {"settings", TestSettings()}};
    spoil(file);
    return file.dump();
  };
  const std::vector<std::tuple<std::string, std::string, std::string>> cases = {
      {"{\"settings\":", "127.0.0.1:0", "NODE_CONFIG"},
      {config([](auto&) {}), "127.0.0.1", "NODE_LISTEN"},
      {config([](auto&) {}), "127.0.0.1:99999", "NODE_LISTEN"},
      {config([](auto& f) { f["seed"] = "xyz"; }), "127.0.0.1:0", "seed"},
      {config([](auto& f) { f.erase("settings"); }), "127.0.0.1:0", "settings"},
      {config([](auto& f) { f["settings"]["categories"] = nlohmann::json::array(); }), "127.0.0.1:0",
       "classes"},
      {config([](auto& f) { f["settings"]["categories"][1]["sloMs"] = "fast"; }), "127.0.0.1:0", "sloMs"},
      {config([](auto& f) { f["settings"]["limits"]["dialTimeoutMs"] = -1; }), "127.0.0.1:0",
       "dialTimeoutMs"},
      {config([](auto& f) { f["known"] = "nobody"; }), "127.0.0.1:0", "known"},
  };
  for (const auto& [text, listen, named] : cases) {
    SCOPED_TRACE(named + ": " + text);
    const ConfigFile file(text);
    Process process({{"NODE_CONFIG", file.path}, {"NODE_LISTEN", listen}, {"NODE_DISCOVERY", "127.0.0.1:1"}});
    EXPECT_EQ(process.Wait(), 1);
    const std::string errors = process.StandardError();
    EXPECT_NE(errors.find(named), std::string::npos) << errors;
    EXPECT_EQ(std::count(errors.begin(), errors.end(), '\n'), 1) << errors;
  }
  Process process({{"NODE_LISTEN", "127.0.0.1:0"}, {"NODE_DISCOVERY", "127.0.0.1:1"}});
  EXPECT_EQ(process.Wait(), 1);
  EXPECT_NE(process.StandardError().find("NODE_CONFIG"), std::string::npos);
}

// Guards a planned restart as the platform does it: SIGTERM with work in hand, the answer, exit code 0.
TEST(Program, AnswersItsWorkOnSigtermAndExitsCleanly) {
  asio::io_context io;
  FakeServer host(io), discovery(io);
  const tcp::endpoint listen = FreeAddress(io);
  const nlohmann::json config = {
      {"seed", "1f"}, {"known", List(1, true, {Member("h0", host.address())})}, {"settings", TestSettings()}};
  const ConfigFile file(config.dump());
  Process process({{"NODE_CONFIG", file.path},
                   {"NODE_LISTEN", ToText(listen)},
                   {"NODE_DISCOVERY", ToText(discovery.address())}});
  ASSERT_TRUE(RunUntil(io, [&] { return discovery.requests.size() == 1; }));  // it listens by then
  Client client(io, listen);
  client.Send(ApiCall("r1", "pay"));
  ASSERT_TRUE(RunUntil(io, [&] { return host.requests.size() == 1; }));
  process.Terminate();
  // The work is answered only once the gateway is seen to be stopping.
  bool stopping = false;
  for (int i = 0; i < 1000 && !stopping; ++i) {
    Client probe(io, listen);
    probe.Send("GET /up HTTP/1.1\r\n\r\n");
    stopping = probe.Await().result() == http::status::service_unavailable;
  }
  EXPECT_TRUE(stopping);
  host.requests[0].Respond(200, "done");
  EXPECT_EQ(client.Await().body(), "done");
  EXPECT_FALSE(client.Await().keep_alive());
  EXPECT_TRUE(RunUntil(io, [&] { return process.HasExited(); }));
  EXPECT_EQ(process.Wait(), 0);
}

// Guards a reload as the platform does it: the file names another discovery, SIGHUP, and from then on the
// list comes from there, whatever the variable said at the start. A file that can't be read changes nothing.
TEST(Program, WatchesWhereTheReloadedFileSays) {
  asio::io_context io;
  FakeServer first(io), second(io), discovery(io), moved(io);
  const tcp::endpoint listen = FreeAddress(io);
  nlohmann::json config = {{"seed", "1f"},
                           {"known", List(1, true, {Member("h0", first.address())})},
                           {"settings", TestSettings()}};
  const ConfigFile file(config.dump());
  Process process({{"NODE_CONFIG", file.path},
                   {"NODE_LISTEN", ToText(listen)},
                   {"NODE_DISCOVERY", ToText(discovery.address())}});
  ASSERT_TRUE(RunUntil(io, [&] { return discovery.requests.size() == 1; }));  // it listens by then

  std::ofstream(file.path) << "{";
  process.Reload();
  ASSERT_TRUE(
      RunUntil(io, [&] { return process.StandardError().find("not reloaded") != std::string::npos; }));

  config["discovery"] = ToText(moved.address());
  std::ofstream(file.path) << config;
  process.Reload();
  ASSERT_TRUE(RunUntil(io, [&] { return moved.requests.size() == 1; }));
  EXPECT_NE(std::string(moved.requests[0].http.target()).find("after=1&"), std::string::npos);
  moved.requests[0].Respond(200, List(2, true, {Member("h1", second.address())}).dump());
  ASSERT_TRUE(RunUntil(io, [&] { return moved.requests.size() == 2; }));  // the list was taken in
  Client client(io, listen);
  client.Send(ApiCall("r1"));
  ASSERT_TRUE(RunUntil(io, [&] { return second.requests.size() == 1; }));
  second.requests[0].Respond(200, "from there");
  EXPECT_EQ(client.Await().body(), "from there");
  EXPECT_FALSE(process.HasExited());
}

// Guards the operators' address: where the configuration names none nothing listens, and one that can't be
// had is named in one line.
TEST(Program, NamesAnAddressThatItCannotHave) {
  asio::io_context io;
  tcp::acceptor taken(io, Loopback());
  const nlohmann::json config = {{"seed", "1f"}, {"settings", TestSettings()}};
  const ConfigFile file(config.dump());
  for (const bool management : {true, false}) {
    const std::string busy = ToText(taken.local_endpoint()), free = "127.0.0.1:0";
    std::vector<std::pair<std::string, std::string>> variables = {{"NODE_CONFIG", file.path},
                                                                  {"NODE_LISTEN", management ? free : busy},
                                                                  {"NODE_DISCOVERY", "127.0.0.1:1"}};
    if (management) variables.push_back({"NODE_MGMT", busy});
    Process process(variables);
    EXPECT_EQ(process.Wait(), 1);
    const std::string errors = process.StandardError();
    EXPECT_NE(errors.find(management ? "NODE_MGMT: " + busy : "NODE_LISTEN: " + busy), std::string::npos)
        << errors;
    EXPECT_EQ(std::count(errors.begin(), errors.end(), '\n'), 1) << errors;
  }
}

// Guards the descriptors while discovery is down: idle clients, and requests under way in every place, leave
// management, hosts and discovery theirs, and whoever finds no place is told so at once. The process's limit
// is that of its configuration, so that none is to be had beyond it.
TEST(Program, KeepsDescriptorsForDiscoveryHostsAndOperators) {
  constexpr int kSockets = 128;
  constexpr std::size_t kPlaces = (kSockets - 40) * 2 / 3;
  asio::io_context io;
  FakeServer host(io);
  const tcp::endpoint listen = FreeAddress(io), management = FreeAddress(io);
  tcp::acceptor discovery(io, tcp::v4());
  discovery.bind(Loopback());  // and does not listen: it is down
  const nlohmann::json config = {{"seed", "1f"},
                                 {"limits", {{"sockets", kSockets}}},
                                 {"known", List(1, true, {Member("h0", host.address())})},
                                 {"settings", TestSettings()}};
  const ConfigFile file(config.dump());
  Process process({{"NODE_CONFIG", file.path},
                   {"NODE_LISTEN", ToText(listen)},
                   {"NODE_MGMT", ToText(management)},
                   {"NODE_DISCOVERY", ToText(discovery.local_endpoint())}},
                  kSockets);
  const auto check = [&] {
    error_code ec;
    tcp::socket socket(io);
    socket.connect(management, ec);
    if (ec) return std::string();
    asio::write(socket, asio::buffer("check\n", 6), ec);
    std::string answer;
    asio::read(socket, asio::dynamic_buffer(answer), ec);
    return answer;
  };
  ASSERT_TRUE(RunUntil(io, [&] { return check().starts_with("SUCCESS"); }));
  const auto fill = [&](std::size_t n) {
    std::vector<std::unique_ptr<Client>> clients;
    for (std::size_t i = 0; i < n; ++i) clients.push_back(std::make_unique<Client>(io, listen));
    return clients;
  };
  const auto idle = fill(300);
  auto busy = fill(kPlaces);
  for (std::size_t i = 0; i < busy.size(); ++i)
    busy[i]->Send(ApiCall("busy" + std::to_string(i), "view", "20000m"));
  ASSERT_TRUE(RunUntil(io, [&] { return host.requests.size() == 2; }));  // others wait for theirs
  EXPECT_TRUE(check().starts_with("SUCCESS"));
  // No place is left: whoever comes is told before any request under way is over.
  const auto at = std::chrono::steady_clock::now();
  Client late(io, listen);
  late.Send(ApiCall("late"));
  EXPECT_EQ(late.Await().result(), http::status::service_unavailable);
  EXPECT_FALSE(late.Await()[http::field::retry_after].empty());
  EXPECT_LT(std::chrono::steady_clock::now() - at, std::chrono::seconds(3));  // the queue holds for 5
  EXPECT_TRUE(check().starts_with("SUCCESS"));
  // Discovery comes back, and is heard while all places are taken still.
  discovery.listen();
  discovery.non_blocking(true);
  std::optional<tcp::socket> asked;
  const auto back = std::chrono::steady_clock::now();
  ASSERT_TRUE(RunUntil(io, [&] {
    error_code ec;
    tcp::socket socket = discovery.accept(ec);
    if (!ec) asked.emplace(std::move(socket));
    return asked.has_value();
  }));
  EXPECT_LT(std::chrono::steady_clock::now() - back, std::chrono::milliseconds(5000));
  for (const auto& taken : std::vector<FakeServer::ReceivedRequest>(host.requests)) taken.Respond(200, "");
  host.serve = [](const FakeServer::ReceivedRequest& taken) { taken.Respond(200, ""); };
  for (const auto& client : busy) EXPECT_EQ(client->Await().result(), http::status::ok);
  Client after(io, listen);
  after.Send(ApiCall("after"));
  EXPECT_EQ(after.Await().result(), http::status::ok);
  EXPECT_FALSE(process.HasExited());
}

constexpr std::chrono::seconds kReadyWithin{10};

// Whether GET /up is answered 200 within the time that a restarted process has. Before it listens a dial is
// refused.
bool IsUpInTime(asio::io_context& io, const tcp::endpoint& listen) {
  const auto end = std::chrono::steady_clock::now() + kReadyWithin;
  while (std::chrono::steady_clock::now() < end) {
    error_code ec;
    tcp::socket dial(io);
    dial.connect(listen, ec);
    dial.close();
    if (!ec) {
      Client probe(io, listen);
      probe.Send("GET /up HTTP/1.1\r\n\r\n");
      if (probe.Await().result() == http::status::ok) return std::chrono::steady_clock::now() < end;
    }
    io.run_one_for(std::chrono::milliseconds(10));
  }
  return false;
}

// What a discovery does while gateways are restarted.
struct DiscoveryTrouble {
  std::string name;
  bool listens;                                                     // else dials are refused
  std::function<void(const FakeServer::ReceivedRequest&)> answers;  // none: it is silent
};

std::vector<DiscoveryTrouble> DiscoveryTroubles() {
  return {
      {"IsDown", false, nullptr},
      {"IsSilent", true, nullptr},
      {"Refuses", true, [](const FakeServer::ReceivedRequest& taken) { taken.Respond(503, ""); }},
      {"Resets", true, [](const FakeServer::ReceivedRequest& taken) { taken.connection->Reset(); }},
      {"BreaksOff", true,
       [](const FakeServer::ReceivedRequest& taken) {
         taken.connection->WriteRaw("HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n{\"revision\":");
       }},
      {"TalksNonsense", true, [](const FakeServer::ReceivedRequest& taken) { taken.Respond(200, "{}"); }}};
}

class Restart : public ::testing::TestWithParam<DiscoveryTrouble> {};

// Guards a restart while discovery is in trouble: with a list that it knows a process is ready within 10 s,
// and serves by it, whether the one before was killed or told to end.
TEST_P(Restart, IsReadyByTheKnownListWhateverDiscoveryDoes) {
  const DiscoveryTrouble& trouble = GetParam();
  asio::io_context io;
  FakeServer host(io), discovery(io);
  host.serve = [](const FakeServer::ReceivedRequest& taken) { taken.Respond(200, "served"); };
  discovery.serve = trouble.answers;
  if (!trouble.listens) discovery.StopListening();
  const tcp::endpoint listen = FreeAddress(io), at = trouble.listens ? discovery.address() : FreeAddress(io);
  const nlohmann::json config = {
      {"seed", "1f"}, {"known", List(1, true, {Member("h0", host.address())})}, {"settings", TestSettings()}};
  const ConfigFile file(config.dump());
  const std::vector<std::pair<std::string, std::string>> variables = {
      {"NODE_CONFIG", file.path}, {"NODE_LISTEN", ToText(listen)}, {"NODE_DISCOVERY", ToText(at)}};
  for (const bool killed : {true, false}) {
    SCOPED_TRACE(killed ? "killed" : "told to end");
    Process before(variables);
    ASSERT_TRUE(IsUpInTime(io, listen));
    killed ? before.Kill() : before.Terminate();
    ASSERT_TRUE(RunUntil(io, [&] { return before.HasExited(); }));
    Process restarted(variables);
    ASSERT_TRUE(IsUpInTime(io, listen));
    Client client(io, listen);
    client.Send(ApiCall("r1"));
    EXPECT_EQ(client.Await().body(), "served");
    EXPECT_FALSE(restarted.HasExited());
  }
}

INSTANTIATE_TEST_SUITE_P(Discovery, Restart, ::testing::ValuesIn(DiscoveryTroubles()),
                         [](const auto& param) { return param.param.name; });

// Guards the other side of it: a process that knows no host takes no clients, and is ready in time once
// discovery is back.
TEST(Restart, IsNotReadyWithoutAListUntilDiscoveryIsBack) {
  asio::io_context io;
  FakeServer host(io);
  tcp::acceptor discovery(io, tcp::v4());
  discovery.bind(Loopback());  // and does not listen: it is down
  const tcp::endpoint listen = FreeAddress(io);
  const ConfigFile file(nlohmann::json({{"seed", "1f"}, {"settings", TestSettings()}}).dump());
  Process process({{"NODE_CONFIG", file.path},
                   {"NODE_LISTEN", ToText(listen)},
                   {"NODE_DISCOVERY", ToText(discovery.local_endpoint())}});
  ASSERT_TRUE(RunUntil(io, [&] { return process.StandardError().find("call failed") != std::string::npos; }));
  Client probe(io, listen);
  probe.Send("GET /up HTTP/1.1\r\n\r\n");
  EXPECT_EQ(probe.Await().result(), http::status::service_unavailable);
  discovery.listen();
  std::optional<tcp::socket> asked;
  discovery.async_accept([&](error_code ec, tcp::socket socket) {
    if (!ec) asked.emplace(std::move(socket));
  });
  ASSERT_TRUE(RunUntil(io, [&] { return asked.has_value(); }));
  const std::string body = List(1, true, {Member("h0", host.address())}).dump();
  asio::write(*asked, asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                                   "\r\n\r\n" + body));
  EXPECT_TRUE(IsUpInTime(io, listen));
}

}  // namespace
}  // namespace gateway::proxy::testing
