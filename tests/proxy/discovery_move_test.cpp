// Tests of gateway processes whose sources of the address of discovery disagree: after a move of discovery,
// the environment, the file and a running process name different addresses. Each test checks that a process
// receives a change within 6 s after discovery has published it, the bound for every gateway.
#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <list>

#include "program.hpp"

namespace gateway::proxy::testing {
namespace {

constexpr std::chrono::seconds kChangeBound{6};
constexpr std::int64_t kInitialRevision = 41;

// Discovery, or what uses an address that discovery has left.
class ListService {
  const tcp::endpoint address_ = ReserveAddress();

 public:
  enum class Mode { kResponds, kMute, kNotFound };

  explicit ListService(asio::io_context& io) : server(io, address_), io_(io) {
    server.serve = [this](const FakeServer::ReceivedRequest& request) { Serve(request); };
  }
  tcp::endpoint address() const { return address_; }
  // Publishes a revision without any change of an endpoint, and ends all pending watches.
  void Publish(std::int64_t revision) {
    revision_ = revision;
    for (const Watch& watch : std::exchange(watches_, {})) RespondTo(watch.request);
  }
  // Accepts no connections from now on, and closes the open ones. The port remains reserved.
  void Leave() {
    server.StopListening();
    for (const auto& connection : server.connections) connection->Reset();
    watches_.clear();
  }
  std::size_t calls() const { return server.requests.size(); }
  std::size_t complete_list_calls() const {
    return std::ranges::count_if(server.requests, RequestsCompleteList);
  }
  // Number of calls without a long poll.
  std::size_t probes() const {
    return std::ranges::count_if(server.requests, [](const auto& request) {
      return std::string(request.http.target()).find("wait_ms=0") != std::string::npos;
    });
  }

  nlohmann::json complete_list() const { return MakeEndpointList(revision_, true, endpoints); }

  FakeServer server;
  nlohmann::json endpoints = nlohmann::json::array();
  Mode mode = Mode::kResponds;

 private:
  struct Watch {
    FakeServer::ReceivedRequest request;
    asio::steady_timer timer;
  };

  static std::int64_t Parameter(const FakeServer::ReceivedRequest& request, const std::string& name) {
    const std::string target(request.http.target());
    return std::stoll(target.substr(target.find(name) + name.size()));
  }
  static std::int64_t After(const FakeServer::ReceivedRequest& request) {
    return Parameter(request, "after=");
  }
  static bool RequestsCompleteList(const FakeServer::ReceivedRequest& request) {
    return request.http.target() == "/discovery/hosts";
  }
  void Serve(const FakeServer::ReceivedRequest& request) {
    if (mode == Mode::kMute) return;
    if (mode == Mode::kNotFound) return request.Respond(404, "not here");
    if (RequestsCompleteList(request)) return request.Respond(200, complete_list().dump());
    const bool is_probe = std::string(request.http.target()).find("wait_ms=0") != std::string::npos;
    if (!is_probe && After(request) >= revision_) return Hold(request);
    RespondTo(request);
  }
  // Responds when the time has passed for which the caller waits, or when Publish() is called.
  void Hold(const FakeServer::ReceivedRequest& request) {
    const auto wait = std::chrono::milliseconds(Parameter(request, "wait_ms="));
    auto& timer = watches_.emplace_back(Watch{request, asio::steady_timer(io_, wait)}).timer;
    timer.async_wait([this, connection = request.connection](error_code ec) {
      if (ec) return;
      const auto watch = std::ranges::find(watches_, connection,
                                           [](const Watch& pending) { return pending.request.connection; });
      RespondTo(watch->request);
      watches_.erase(watch);
    });
  }
  // A delta has at least the revision that the caller knows, also if the list has not changed since.
  void RespondTo(const FakeServer::ReceivedRequest& request) {
    const std::int64_t revision = std::max(revision_, After(request));
    const auto changes = After(request) < revision_ ? endpoints : nlohmann::json::array();
    request.Respond(200, MakeEndpointList(revision, false, changes).dump());
  }

  asio::io_context& io_;
  std::int64_t revision_ = kInitialRevision;
  std::list<Watch> watches_;
};

struct DiscoveryMoveFixture : ProgramFixture {
  DiscoveryMoveFixture() : ProgramFixture(1) {
    for (ListService* service : {&a, &b, &c})
      service->endpoints = {MakeEndpointEntry("h0", host().address())};
  }

  // Replaces the configuration file. Without an address, the file names none.
  void WriteFile(const std::optional<tcp::endpoint>& address) {
    nlohmann::json fields = nlohmann::json::object();
    if (address) fields["discovery"] = ToText(*address);
    WriteFileWith(fields);
  }
  void WriteFileWith(const nlohmann::json& fields) {
    nlohmann::json config = {
        {"seed", "1f"},
        {"known", MakeEndpointList(kInitialRevision, true, {MakeEndpointEntry("h0", host().address())})},
        {"settings", TestSettings()}};
    config.update(fields);
    const std::string next = file->path + ".new";
    std::ofstream(next) << config;
    std::filesystem::rename(next, file->path);
  }
  Instance StartWith(const ListService& environment) {
    // With a limit, the process closes the descriptors that it inherits. It must not inherit the listeners of
    // the services, because connections would then not be refused after Leave().
    return Start({.descriptors = 1024}, {{"NODE_DISCOVERY", ToText(environment.address())}});
  }
  Instance StartReadyWith(const ListService& environment) {
    Instance instance = StartWith(environment);
    EXPECT_TRUE(BecomesReady(instance)) << instance.process->StandardError();
    return instance;
  }
  // Starts a process that watches `a`, and moves it to `b` by a reload.
  Instance StartAndMove() {
    WriteFile(a.address());
    Instance instance = StartReadyWith(a);
    WriteFile(b.address());
    instance.process->Reload();
    EXPECT_TRUE(Watches(b));
    return instance;
  }
  bool Watches(const ListService& service, std::size_t earlier_calls = 0) {
    return RunUntil(io, [&] { return service.calls() > earlier_calls; });
  }
  bool Logs(const Instance& instance, const std::string& text) {
    return RunUntil(io, [&] { return instance.process->StandardError().find(text) != std::string::npos; });
  }
  void End(const Instance& instance) {
    instance.process->Terminate();
    EXPECT_TRUE(RunUntil(io, [&] { return instance.process->HasExited(); }));
  }
  // Publishes a revision at `service`, and checks that the process receives it in time.
  void ExpectReceivesChange(const Instance& instance, ListService& service, std::int64_t revision) {
    service.Publish(revision);
    const auto published_at = std::chrono::steady_clock::now();
    EXPECT_TRUE(RunUntil(io, [&] {
      return Metric(instance, "elderhead_list_revision") == static_cast<double>(revision) ||
             std::chrono::steady_clock::now() - published_at > kChangeBound;
    }));
    EXPECT_LT(std::chrono::steady_clock::now() - published_at, kChangeBound)
        << instance.process->StandardError();
  }

  ListService a{io}, b{io}, c{io};
};

// Without the address in the file, a successor would use NODE_DISCOVERY, which discovery has left, for good.
TEST(DiscoveryMove, SuccessorWatchesTheAddressOfTheReloadedFile) {
  DiscoveryMoveFixture fixture;
  auto old = fixture.StartAndMove();
  fixture.a.Leave();
  auto next = fixture.StartReadyWith(fixture.a);
  fixture.End(old);
  fixture.ExpectReceivesChange(next, fixture.b, 42);
  EXPECT_NE(next.process->StandardError().find("sources of discovery disagree: in force is " +
                                               ToText(fixture.b.address()) + " (file), not " +
                                               ToText(fixture.a.address()) + " (environment)"),
            std::string::npos)
      << next.process->StandardError();
}

// A process that is killed starts again with the environment of its first start.
TEST(DiscoveryMove, RestartedProcessWatchesTheAddressOfTheReloadedFile) {
  DiscoveryMoveFixture fixture;
  auto old = fixture.StartAndMove();
  fixture.a.Leave();
  old.process->Kill();
  ASSERT_TRUE(RunUntil(fixture.io, [&] { return old.process->HasExited(); }));
  auto next = fixture.StartReadyWith(fixture.a);
  fixture.ExpectReceivesChange(next, fixture.b, 42);
}

TEST(DiscoveryMove, SuccessorsFollowSeveralMoves) {
  DiscoveryMoveFixture fixture;
  auto first = fixture.StartAndMove();
  fixture.a.Leave();
  auto second = fixture.StartReadyWith(fixture.a);
  fixture.End(first);
  fixture.WriteFile(fixture.c.address());
  second.process->Reload();
  ASSERT_TRUE(fixture.Watches(fixture.c));
  fixture.b.Leave();
  auto third = fixture.StartReadyWith(fixture.a);
  fixture.End(second);
  fixture.ExpectReceivesChange(third, fixture.c, 42);
}

// What a caller finds at an address that discovery has left.
struct LeftAddress {
  std::string name;
  std::function<void(ListService&)> leave;
};

std::vector<LeftAddress> AllLeftAddresses() {
  return {{"RefusesConnections", [](ListService& service) { service.Leave(); }},
          {"NeverResponds", [](ListService& service) { service.mode = ListService::Mode::kMute; }},
          {"RespondsWithNotFound", [](ListService& service) { service.mode = ListService::Mode::kNotFound; }},
          {"ListsWithoutChanges", [](ListService&) {}}};
}

void PrintTo(const LeftAddress& address, std::ostream* stream) { *stream << address.name; }

class DiscoveryLeft : public ::testing::TestWithParam<LeftAddress> {};

TEST_P(DiscoveryLeft, ProcessUsesTheFileIfTheEnvironmentIsOld) {
  DiscoveryMoveFixture fixture;
  GetParam().leave(fixture.a);
  fixture.WriteFile(fixture.b.address());
  auto process = fixture.StartReadyWith(fixture.a);
  fixture.ExpectReceivesChange(process, fixture.b, 42);
}

// An order of the sources is not enough if the first one is old: the address of another source must be used.
TEST_P(DiscoveryLeft, ProcessUsesTheEnvironmentIfTheFileIsOld) {
  DiscoveryMoveFixture fixture;
  GetParam().leave(fixture.a);
  fixture.WriteFile(fixture.a.address());
  auto process = fixture.StartReadyWith(fixture.b);
  fixture.ExpectReceivesChange(process, fixture.b, 42);
  fixture.ExpectReceivesChange(process, fixture.b, 43);
}

// The file and the environment are old, only the predecessor knows the address.
TEST_P(DiscoveryLeft, SuccessorUsesTheAddressOfThePredecessorIfTheOtherSourcesAreOld) {
  DiscoveryMoveFixture fixture;
  auto old = fixture.StartAndMove();
  GetParam().leave(fixture.a);
  fixture.ExpectReceivesChange(old, fixture.b, 42);
  fixture.WriteFile(fixture.a.address());
  auto next = fixture.StartReadyWith(fixture.a);
  fixture.End(old);
  fixture.ExpectReceivesChange(next, fixture.b, 43);
  fixture.ExpectReceivesChange(next, fixture.b, 44);
}

// A reload with an old file must not lead away from the address that responds.
TEST_P(DiscoveryLeft, ReloadOfAnOldFileReturnsToTheAddressThatResponds) {
  DiscoveryMoveFixture fixture;
  fixture.WriteFile(std::nullopt);
  auto process = fixture.StartReadyWith(fixture.b);
  ASSERT_TRUE(fixture.Watches(fixture.b));
  GetParam().leave(fixture.a);
  fixture.WriteFile(fixture.a.address());
  process.process->Reload();
  ASSERT_TRUE(fixture.Logs(process, "discovery address changed to " + ToText(fixture.a.address())));
  fixture.ExpectReceivesChange(process, fixture.b, 42);  // perhaps by the call that was in progress
  fixture.ExpectReceivesChange(process, fixture.b, 43);
  fixture.ExpectReceivesChange(process, fixture.b, 44);
}

INSTANTIATE_TEST_SUITE_P(Addresses, DiscoveryLeft, ::testing::ValuesIn(AllLeftAddresses()),
                         [](const auto& param) { return param.param.name; });

// Without the field in the file, the running process knows the newest address.
TEST(DiscoveryMove, FileWithoutAnAddressKeepsTheAddressInForce) {
  DiscoveryMoveFixture fixture;
  auto old = fixture.StartAndMove();
  fixture.WriteFile(std::nullopt);
  const std::size_t earlier_calls = fixture.b.calls();
  old.process->Reload();
  ASSERT_TRUE(fixture.Watches(fixture.b, earlier_calls));
  fixture.ExpectReceivesChange(old, fixture.b, 42);
  auto next = fixture.StartReadyWith(fixture.a);
  fixture.End(old);
  fixture.ExpectReceivesChange(next, fixture.b, 43);
}

// A reload must also read the services in `discovery_endpoints`, which take precedence over `discovery`.
TEST(DiscoveryMove, ReloadReplacesTheListServices) {
  DiscoveryMoveFixture fixture;
  fixture.WriteFileWith({{"discovery_endpoints", {ToText(fixture.a.address())}}});
  auto old = fixture.StartReadyWith(fixture.a);
  ASSERT_TRUE(fixture.Watches(fixture.a));
  fixture.WriteFileWith({{"discovery_endpoints", {ToText(fixture.c.address()), ToText(fixture.b.address())}},
                         {"discovery", ToText(fixture.a.address())}});
  old.process->Reload();
  fixture.c.Leave();  // the second service is used if the first one fails
  fixture.ExpectReceivesChange(old, fixture.b, 42);
  auto next = fixture.StartReadyWith(fixture.a);
  fixture.End(old);
  fixture.ExpectReceivesChange(next, fixture.b, 43);
}

// The signal may arrive while the platform is still writing the file. No second signal follows.
TEST(DiscoveryMove, ReloadsAFileThatIsCompletedAfterTheSignal) {
  DiscoveryMoveFixture fixture;
  fixture.WriteFile(fixture.a.address());
  auto process = fixture.StartReadyWith(fixture.a);
  std::ofstream(fixture.file->path) << "{";
  process.process->Reload();
  ASSERT_TRUE(fixture.Logs(process, "configuration not reloaded"));
  fixture.ExpectReceivesChange(process, fixture.a, 42);  // the former address stays in force
  fixture.WriteFile(fixture.b.address());
  fixture.ExpectReceivesChange(process, fixture.b, 43);
}

// A process may start while the platform is writing the file.
TEST(DiscoveryMove, StartsWhenTheFileIsCompletedSoon) {
  DiscoveryMoveFixture fixture;
  std::ofstream(fixture.file->path) << "{";
  auto process = fixture.StartWith(fixture.a);
  asio::steady_timer timer(fixture.io, std::chrono::milliseconds(200));
  timer.async_wait([&](error_code) { fixture.WriteFile(fixture.a.address()); });
  EXPECT_TRUE(fixture.BecomesReady(process)) << process.process->StandardError();
  // The signal for this file may arrive at any time of the start.
  process.process->Reload();
  fixture.ExpectReceivesChange(process, fixture.a, 42);
}

TEST(DiscoveryMove, StartsWithTheEnvironmentIfTheAddressInTheFileIsMalformed) {
  DiscoveryMoveFixture fixture;
  nlohmann::json config = {{"discovery", "nowhere"}, {"settings", TestSettings()}};
  std::ofstream(fixture.file->path) << config;
  auto process = fixture.StartWith(fixture.a);
  ASSERT_TRUE(fixture.Watches(fixture.a));
  EXPECT_TRUE(fixture.Logs(process, "sources of discovery disagree: in force is " +
                                        ToText(fixture.a.address()) +
                                        " (environment), not 'nowhere', which is no address (file)"));
}

// The platform signals the program that it has started, of which two processes run during a replacement. The
// address that discovery has left still responds, so no failed call leads to the new one.
TEST(DiscoveryMove, ReloadOfOneProcessReachesTheOtherProcess) {
  for (const bool signal_predecessor : {true, false}) {
    SCOPED_TRACE(signal_predecessor ? "predecessor" : "successor");
    DiscoveryMoveFixture fixture;
    fixture.WriteFile(fixture.a.address());
    auto old = fixture.StartReadyWith(fixture.a);
    auto next = fixture.StartReadyWith(fixture.a);
    ASSERT_TRUE(fixture.Logs(old, "successor process has connected"));
    fixture.WriteFile(fixture.b.address());
    (signal_predecessor ? old : next).process->Reload();
    fixture.ExpectReceivesChange(next, fixture.b, 42);
    fixture.ExpectReceivesChange(old, fixture.b, 43);
  }
}

// Another system may use the address that discovery has left, and publish a list of its own with higher
// revisions. The gateway must not send requests to the hosts of that system.
TEST(DiscoveryMove, IgnoresTheListOfAnotherSystem) {
  DiscoveryMoveFixture fixture;
  fixture.a.endpoints = {MakeEndpointEntry("other", Loopback(1)), MakeEndpointEntry("h0", Loopback(2))};
  fixture.a.Publish(500);
  fixture.b.server.StopListening();
  fixture.WriteFile(fixture.b.address());
  auto process = fixture.StartReadyWith(fixture.a);
  ASSERT_TRUE(RunUntil(fixture.io, [&] { return fixture.a.complete_list_calls() >= 2; }));
  EXPECT_EQ(fixture.Metric(process, "elderhead_list_revision"), kInitialRevision);
  EXPECT_EQ(process.process->StandardError().find("switched"), std::string::npos);
}

// A process that has missed the signal reads the file again when its watch fails.
TEST(DiscoveryMove, FailedWatchLeadsToTheAddressOfAReplacedFile) {
  DiscoveryMoveFixture fixture;
  fixture.WriteFile(fixture.a.address());
  auto process = fixture.StartReadyWith(fixture.a);
  ASSERT_TRUE(fixture.Watches(fixture.a));
  fixture.WriteFile(fixture.b.address());
  fixture.a.Leave();
  fixture.ExpectReceivesChange(process, fixture.b, 42);
}

// Once the address in force has published a change, no other address is called, until a watch fails.
TEST(DiscoveryMove, CallsOnlyTheAddressThatPublishesChanges) {
  DiscoveryMoveFixture fixture;
  fixture.WriteFile(fixture.b.address());
  auto process = fixture.StartReadyWith(fixture.a);
  fixture.ExpectReceivesChange(process, fixture.b, 42);
  fixture.ExpectReceivesChange(process, fixture.b, 43);
  ASSERT_TRUE(fixture.Logs(process, "publishes changes"));
  const std::size_t calls = fixture.a.calls();
  asio::steady_timer timer(fixture.io, std::chrono::seconds(4));
  bool expired = false;
  timer.async_wait([&](error_code) { expired = true; });
  ASSERT_TRUE(RunUntil(fixture.io, [&] { return expired; }));
  EXPECT_EQ(fixture.a.calls(), calls) << process.process->StandardError();
}

// Where all sources agree, the gateway makes no calls besides its watch.
TEST(DiscoveryMove, MakesNoProbesIfAllSourcesAgree) {
  DiscoveryMoveFixture fixture;
  fixture.WriteFile(fixture.a.address());
  auto process = fixture.StartReadyWith(fixture.a);
  fixture.ExpectReceivesChange(process, fixture.a, 42);
  for (const auto& connection : fixture.a.server.connections) connection->Reset();
  ASSERT_TRUE(fixture.Watches(fixture.a, fixture.a.calls()));
  fixture.ExpectReceivesChange(process, fixture.a, 43);
  EXPECT_EQ(fixture.a.probes(), 0u);
  EXPECT_EQ(process.process->StandardError().find("disagree"), std::string::npos);
}

}  // namespace
}  // namespace gateway::proxy::testing
