// Tests of the interfaces for operators: management commands, metrics, saved state, log records and drains.
#include <gtest/gtest.h>

#include <chrono>
#include <filesystem>
#include <set>
#include <sstream>
#include <system_error>
#include <thread>

#include "base/log.hpp"
#include "proxy/restart/saved_state.hpp"
#include "storage/store.hpp"
#include "world.hpp"

namespace gateway::proxy::testing {
namespace {

// Operators' scripts rely on the first word of a response. The first word must be SUCCESS for a valid command
// and FAILURE for an invalid command.
TEST(Management, RespondsWithSuccessToValidAndFailureToInvalidCommands) {
  GatewayHarness harness;
  EXPECT_TRUE(harness.Call("check\n").starts_with("SUCCESS"));
  EXPECT_TRUE(harness.Call("check\r\nvars\n").starts_with("SUCCESS"));  // the second line is ignored
  for (const std::string& command :
       {std::string("\n"), std::string("Check\n"), std::string("check \n"), std::string("drain\n"),
        std::string("\0\xff\x16\n", 4), std::string(100000, 'x'), std::string(255, 'x') + "\n"}) {
    EXPECT_TRUE(harness.Call(command).starts_with("FAILURE")) << command.substr(0, 20);
  }
}

// A gateway without hosts can't serve clients. The command `check` must fail until the gateway has received a
// list.
TEST(Management, CheckFailsUntilAListIsReceived) {
  GatewayHarness harness(0);
  EXPECT_TRUE(harness.Call("check\n").starts_with("FAILURE"));
  ASSERT_TRUE(harness.Until([&] { return harness.discovery.requests.size() == 1; }));
  FakeServer host(harness.io);
  harness.discovery.requests[0].Respond(
      200, MakeEndpointList(42, true, {MakeEndpointEntry("h0", host.address())}).dump());
  ASSERT_TRUE(harness.Until([&] { return harness.discovery.requests.size() == 2; }));
  EXPECT_TRUE(harness.Call("check\n").starts_with("SUCCESS"));
}

// Clients that send incomplete commands could use up all management connections. The server must still
// respond to a client that sends a complete command. A client that shuts down its sending side before the end
// of the line must receive FAILURE.
TEST(Management, ServesACommandDespiteManyIncompleteCommands) {
  GatewayHarness harness;
  std::vector<tcp::socket> incomplete;
  for (int i = 0; i < 100; ++i) {  // far more connections than the server allows
    incomplete.emplace_back(harness.io).connect(*harness.gateway->management());
    asio::write(incomplete.back(), asio::buffer("chec", i % 5));
  }
  const auto started_at = std::chrono::steady_clock::now();
  EXPECT_TRUE(harness.Call("check\n").starts_with("SUCCESS"));
  // The incomplete commands time out after 10 s. The server must respond before these timeouts.
  EXPECT_LT(std::chrono::steady_clock::now() - started_at, std::chrono::seconds(9));
  tcp::socket half_closed(harness.io);
  half_closed.connect(*harness.gateway->management());
  asio::write(half_closed, asio::buffer("check", 5));
  half_closed.shutdown(tcp::socket::shutdown_send);
  std::string response;
  bool ended = false;
  asio::async_read(half_closed, asio::dynamic_buffer(response),
                   [&](error_code, std::size_t) { ended = true; });
  ASSERT_TRUE(harness.Until([&] { return ended; }));
  EXPECT_TRUE(response.starts_with("FAILURE"));
}

// Each counter must change by exactly the number of requests or attempts that it counts. The counters of
// every traffic class must exist from the start.
TEST(Metrics, CountAttemptsAndTheResponsesOfEachClass) {
  GatewayHarness harness(2);
  const nlohmann::json no_responses = {{"ok", 0}, {"shed", 0}, {"errors", 0}};
  EXPECT_EQ(
      harness.Vars(),
      nlohmann::json({{"responses", {{"view", no_responses}, {"key", no_responses}, {"pay", no_responses}}},
                      {"tries", 0},
                      {"active", 0},
                      {"pool_size", 2},
                      {"pool_ejected", 0}}));
  int resets = 0;
  for (auto& host : harness.hosts) {
    host->serve = [&](const FakeServer::ReceivedRequest& request) {
      const std::string id(request.http["Req-Id"]);
      if (id == "again" && resets++ == 0) return request.connection->Reset();  // the gateway retries
      if (id == "fails") return request.Respond(500, "");
      if (id != "waits" && id != "leaves") request.Respond(200, "");
    };
  }
  const auto client = harness.Connect();
  client->Send(ApiCall("good"));
  client->Await(1);
  client->Send(ApiCall("again"));
  EXPECT_EQ(client->Await(2).result_int(), 200u);
  client->Send(ApiCall("fails", "pay"));
  EXPECT_EQ(client->Await(3).result_int(), 502u);
  client->Send(ApiCall("late", "pay", "15m"));
  EXPECT_EQ(client->Await(4).result_int(), 503u);
  client->Send(ApiCall("no such class", "steal"));  // not counted, because there is no class "steal"
  EXPECT_EQ(client->Await(5).result_int(), 400u);
  const auto waits = harness.Connect(), leaves = harness.Connect();
  waits->Send(ApiCall("waits"));
  leaves->Send(ApiCall("leaves"));
  const auto attempts = [&] { return harness.hosts[0]->requests.size() + harness.hosts[1]->requests.size(); };
  ASSERT_TRUE(harness.Until([&] { return attempts() == 6; }));
  EXPECT_EQ(harness.Vars()["active"], 2);
  leaves->Disconnect();
  ASSERT_TRUE(harness.Until([&] { return harness.Vars()["active"] == 1; }));
  const nlohmann::json vars = harness.Vars();
  EXPECT_EQ(vars["responses"]["view"], nlohmann::json({{"ok", 2}, {"shed", 0}, {"errors", 0}}));
  EXPECT_EQ(vars["responses"]["pay"], nlohmann::json({{"ok", 0}, {"shed", 1}, {"errors", 1}}));
  EXPECT_EQ(vars["responses"]["key"], no_responses);
  EXPECT_EQ(vars["tries"], 6);
}

// Prometheus can't scrape malformed metrics. Each sample must occur once, each metric type must be declared
// once, and the cumulative bucket counts of a histogram must not decrease. The counts must match the requests
// that the test sends.
TEST(Metrics, AreInValidPrometheusTextFormat) {
  GatewayHarness harness(2);
  for (auto& host : harness.hosts) {
    host->serve = [](const FakeServer::ReceivedRequest& request) {
      request.Respond(request.http["Req-Id"] == "fails" ? 500 : 200, "");
    };
  }
  const auto client = harness.Connect();
  std::size_t sent = 0;
  for (const char* id : {"a", "b", "c"}) {
    client->Send(ApiCall(id));
    client->Await(++sent);
  }
  client->Send(ApiCall("fails", "pay"));
  client->Await(++sent);
  std::istringstream text(harness.Call("metrics\n"));
  std::map<std::string, double> samples;
  std::set<std::string> types;
  std::string line, last;
  double previous_bucket = 0;
  while (std::getline(text, line) && line != "EOT") {
    last = line;
    if (line.starts_with("#")) {
      EXPECT_TRUE(!line.starts_with("# TYPE ") || types.insert(line.substr(0, line.rfind(' '))).second)
          << line;
      continue;
    }
    const std::size_t space = line.rfind(' ');
    const std::string name = line.substr(0, space);
    const double value = std::stod(line.substr(space + 1));
    EXPECT_TRUE(samples.emplace(name, value).second) << name;
    if (name.find("_bucket{") == std::string::npos) continue;
    EXPECT_TRUE(value >= previous_bucket || name.find("le=\"0.001\"") != std::string::npos) << name;
    previous_bucket = value;
  }
  EXPECT_EQ(line, "EOT") << last;
  EXPECT_EQ(samples["elderhead_responses_total{class=\"view\",result=\"served\"}"], 3);
  EXPECT_EQ(samples["elderhead_responses_total{class=\"pay\",result=\"failed\"}"], 1);
  EXPECT_EQ(samples["elderhead_attempts_total"], 4);
  EXPECT_EQ(samples["elderhead_hosts_listed"], 2);
  for (const char* interval : {"first_attempt", "at_host", "request"}) {
    const std::string name = std::string("elderhead_") + interval + "_seconds";
    EXPECT_EQ(samples[name + "_count{class=\"view\"}"], 3) << interval;
    EXPECT_EQ(samples[name + "_bucket{class=\"view\",le=\"+Inf\"}"], 3) << interval;
    EXPECT_GT(samples[name + "_sum{class=\"view\"}"], 0) << interval;
  }
  EXPECT_EQ(samples["elderhead_queued_seconds_count{class=\"view\"}"], 0);
  EXPECT_EQ(samples["elderhead_at_host_seconds_count{class=\"pay\"}"], 0);
}

// The path of the state folder of a test. Any folder at that path is removed before and after the test. The
// thread of a StateSaver may outlive the gateway on a busy machine and still write files, so that the folder
// is not empty when it is to be removed.
struct StateFolder {
  StateFolder() { std::filesystem::remove_all(path); }
  ~StateFolder() {
    constexpr auto kRemovalTimeout = std::chrono::seconds(10);
    constexpr auto kRemovalInterval = std::chrono::milliseconds(20);
    const auto give_up_at = std::chrono::steady_clock::now() + kRemovalTimeout;
    std::error_code error;
    while (std::filesystem::remove_all(path, error), error) {
      if (std::chrono::steady_clock::now() > give_up_at) {
        ADD_FAILURE() << "the state folder can't be removed: " << error.message();
        return;
      }
      std::this_thread::sleep_for(kRemovalInterval);
    }
  }
  const std::string path = ::testing::TempDir() + "gateway-state-" + std::to_string(getpid());
};

// Returns the configuration of a gateway that saves its state. The state belongs to the gateway with this
// name and client address. The configured port is 0 in these tests, so only the name distinguishes gateways.
nlohmann::json MakeStateConfiguration(const StateFolder& folder, const std::string& name = "n1") {
  return {{"state_dir", folder.path}, {"name", name}};
}

// After a restart the gateway must use the list and the drain that it saved last. Until discovery responds,
// the gateway must report that it loaded the list from disk. It must then accept a list from discovery with a
// lower revision, because the service may have restarted its revision count.
TEST(SavedState, IsRestoredAfterARestart) {
  const StateFolder folder;
  {
    GatewayHarness harness(2, TestSettings(), 300, MakeStateConfiguration(folder));
    ASSERT_TRUE(harness.Until([&] { return harness.discovery.requests.size() == 1; }));
    harness.discovery.requests[0].Respond(
        200,
        MakeEndpointList(42, false, {MakeEndpointEntry("h1", harness.host(1).address(), "removed")}).dump());
    ASSERT_TRUE(harness.Until([&] { return harness.discovery.requests.size() == 2; }));
    EXPECT_TRUE(harness.Call("drain-on\n").starts_with("SUCCESS"));
    ASSERT_TRUE(harness.Until([&] {
      return harness.Call("metrics\n").find("elderhead_state_writes_total 1\n") != std::string::npos ||
             harness.Call("metrics\n").find("elderhead_state_writes_total 2\n") != std::string::npos;
    }));
    ASSERT_TRUE(harness.Until([&] {
      const auto saved = proxy::LoadSavedState(folder.path, harness.owner());
      return saved && saved->draining && saved->list.revision == 42;
    }));
    EXPECT_EQ(harness.Vars()["list_from"], "discovery");
    harness.gateway.reset();
    EXPECT_FALSE(proxy::LoadSavedState(folder.path, "another"));
    const auto saved = proxy::LoadSavedState(folder.path, harness.owner());
    ASSERT_TRUE(saved);
    harness.Restart(/*load_state=*/false);  // ignores the saved state, as a start after two crashes does
    EXPECT_EQ(harness.Vars()["pool_size"], 2);
    harness.Restart();  // discovery has not responded to the restarted gateway yet
    EXPECT_EQ(harness.Vars()["list_from"], "state");
    EXPECT_EQ(harness.Vars()["pool_size"], 1);
    EXPECT_TRUE(harness.Call("check\n").starts_with("FAILURE draining"));
    EXPECT_TRUE(harness.Call("drain-off\n").starts_with("SUCCESS"));
    const std::size_t earlier_calls = harness.discovery.requests.size();
    ASSERT_TRUE(harness.Until(
        [&] { return harness.discovery.requests.size() > earlier_calls || earlier_calls >= 3; }));
    harness.discovery.requests.back().Respond(
        200, MakeEndpointList(7, true,
                              {MakeEndpointEntry("h0", harness.host(0).address()),
                               MakeEndpointEntry("h1", harness.host(1).address())})
                 .dump());
    ASSERT_TRUE(harness.Until([&] { return harness.Vars()["pool_size"] == 2; }));
    EXPECT_EQ(harness.Vars()["list_from"], "discovery");
  }
}

// A gateway must start and serve even if its state files are damaged or truncated, or if a file is at the
// path of the state folder.
TEST(SavedState, IsIgnoredIfUnreadable) {
  const StateFolder folder;
  enum class Damage { kOverwrittenFiles, kTruncatedFiles, kFileInPlaceOfFolder };
  for (const Damage damage :
       {Damage::kOverwrittenFiles, Damage::kTruncatedFiles, Damage::kFileInPlaceOfFolder}) {
    std::filesystem::remove_all(folder.path);
    GatewayHarness harness(1, TestSettings(), 300, MakeStateConfiguration(folder));
    ASSERT_TRUE(harness.Until([&] { return harness.discovery.requests.size() == 1; }));
    harness.discovery.requests[0].Respond(
        200, MakeEndpointList(42, true, {MakeEndpointEntry("h0", harness.host().address())}).dump());
    ASSERT_TRUE(
        harness.Until([&] { return proxy::LoadSavedState(folder.path, harness.owner()).has_value(); }));
    harness.gateway.reset();
    for (const auto& entry : std::filesystem::directory_iterator(folder.path)) {
      if (damage == Damage::kOverwrittenFiles) std::ofstream(entry.path()) << "overwritten content";
      if (damage == Damage::kTruncatedFiles)
        std::filesystem::resize_file(entry.path(), std::filesystem::file_size(entry.path()) / 2);
    }
    if (damage == Damage::kFileInPlaceOfFolder) {
      std::filesystem::remove_all(folder.path);
      std::ofstream(folder.path) << "a file in place of the state folder";
    }
    EXPECT_FALSE(proxy::LoadSavedState(folder.path, harness.owner()));
    harness.Restart();
    EXPECT_TRUE(harness.Call("check\n").starts_with("SUCCESS"));
    harness.host().serve = [](const FakeServer::ReceivedRequest& request) { request.Respond(200, ""); };
    const auto client = harness.Connect();
    client->Send(ApiCall("r"));
    EXPECT_EQ(client->Await(1).result_int(), 200u);
  }
}

// After an upgrade the gateway must read the state that version 0.1.0 of the program saved. That state
// contains no learned state.
TEST(SavedState, IsReadIfSavedByAnOlderVersion) {
  const StateFolder folder;
  std::filesystem::copy(FIXTURES "/state-0.1.0", folder.path);
  const auto saved = proxy::LoadSavedState(folder.path, "n1 at 127.0.0.1:18080");
  ASSERT_TRUE(saved);
  EXPECT_TRUE(saved->draining);
  EXPECT_EQ(saved->list.endpoints.size(), 2u);
  EXPECT_FALSE(saved->learned);
}

// After a downgrade the gateway must neither read nor overwrite the state that a newer version of the program
// saved.
TEST(SavedState, IsUnchangedIfSavedByANewerVersion) {
  const StateFolder folder;
  const std::string newer_payload = R"({"draining":"maybe"})";
  GatewayHarness harness(1, TestSettings(), 300, MakeStateConfiguration(folder));
  EXPECT_TRUE(harness.Call("drain-on\n").starts_with("SUCCESS"));
  ASSERT_TRUE(harness.Until([&] { return proxy::LoadSavedState(folder.path, harness.owner()).has_value(); }));
  harness.gateway.reset();
  const auto files = storage::MakePosixFileSystem();
  storage::Examination found;
  {
    std::unique_ptr<storage::Store> store;
    ASSERT_TRUE(storage::Store::Open(*files, folder.path, {harness.owner(), "9"}, store, found).ok());
    ASSERT_TRUE(store->TakeSnapshot(7, newer_payload).ok());
  }
  harness.Restart();
  EXPECT_TRUE(harness.Call("check\n").starts_with("SUCCESS"));
  EXPECT_TRUE(harness.Call("drain-on\n").starts_with("SUCCESS"));
  ASSERT_TRUE(harness.Until(
      [&] { return harness.Call("metrics\n").find("elderhead_state_ok 0\n") != std::string::npos; }));
  harness.gateway.reset();
  ASSERT_TRUE(storage::Examine(*files, folder.path, harness.owner(), found).ok());
  ASSERT_TRUE(found.snapshot);
  EXPECT_EQ(found.snapshot->payload, newer_payload);
}

// The gateway must save the learned state while it serves requests, and a restarted gateway must load that
// state.
TEST(SavedState, IncludesTheLearnedStateOfServedRequests) {
  const StateFolder folder;
  GatewayHarness harness(1, TestSettings(), 300, MakeStateConfiguration(folder));
  harness.host().serve = [](const FakeServer::ReceivedRequest& request) { request.Respond(200, ""); };
  const auto client = harness.Connect();
  for (std::size_t i = 1; i <= 5; ++i) {
    client->Send(ApiCall("r" + std::to_string(i)));
    EXPECT_EQ(client->Await(i).result_int(), 200u);
  }
  EXPECT_TRUE(harness.Call("drain-on\n").starts_with("SUCCESS"));
  const auto samples = [&] {
    const auto saved = proxy::LoadSavedState(folder.path, harness.owner());
    return saved && saved->learned && !saved->learned->endpoints.empty()
               ? saved->learned->endpoints[0].samples
               : 0;
  };
  ASSERT_TRUE(harness.Until([&] { return samples() == 5; }));
  // No request follows and discovery does not respond, so the next save must contain the restored state.
  harness.Restart();
  EXPECT_TRUE(harness.Call("drain-off\n").starts_with("SUCCESS"));
  ASSERT_TRUE(harness.Until([&] {
    const auto saved = proxy::LoadSavedState(folder.path, harness.owner());
    return saved && !saved->draining;
  }));
  EXPECT_EQ(samples(), 5);
}

// If the list, the drain or the save time of a saved state is malformed or missing, the gateway must use no
// part of the state.
TEST(SavedState, IsRejectedIfAnyPartIsMalformed) {
  const std::string valid = proxy::SerializeSavedState(proxy::SavedState{{42, true, {}, {}, 0}, true, 5, {}});
  ASSERT_TRUE(proxy::ParseSavedState(valid));
  EXPECT_TRUE(proxy::ParseSavedState(valid)->draining);
  for (const char* invalid :
       {"", "[]", "{}", R"({"list":{"revision":1,"complete":true,"members":[]}})",
        R"({"list":{"revision":1,"complete":false,"members":[]},"draining":false,"kept_at_ms":1})",
        R"({"list":{"revision":1,"complete":true,"members":[{}]},"draining":false,"kept_at_ms":1})",
        R"({"list":7,"draining":false,"kept_at_ms":1})",
        R"({"list":{"revision":1,"complete":true,"members":[]},"draining":"no","kept_at_ms":1})"}) {
    EXPECT_FALSE(proxy::ParseSavedState(invalid)) << invalid;
  }
}

// Log parsers rely on the text format and the JSON format. In each format a record must be one line that
// contains the unchanged text. In JSON, each number in the text of a "counts" record must also be a field.
TEST(Log, FormatsARecordAsTextOrJson) {
  const std::string text = "sockets: hosts 7 clients 3 left 0 | dialled 4 reused 9 | reset new 1 reused 2";
  EXPECT_EQ(base::FormatRecord(base::LogFormat::kText, 1780000000123.0, base::Level::kInfo, "sockets",
                               "counts", text),
            "2026-05-28T20:26:40.123Z info " + text);
  const auto record = nlohmann::json::parse(base::FormatRecord(base::LogFormat::kJson, 1780000000123.0,
                                                               base::Level::kWarning, "sockets", "counts",
                                                               text, {{"host", "h\"\xff"}, {"ms", 2.5}}));
  const nlohmann::json expected = {{"time", "2026-05-28T20:26:40.123Z"},
                                   {"level", "warning"},
                                   {"part", "sockets"},
                                   {"event", "counts"},
                                   {"text", text},
                                   {"host", "h\"\ufffd"},
                                   {"ms", 2.5},
                                   {"hosts", 7},
                                   {"clients", 3},
                                   {"left", 0},
                                   {"dialled", 4},
                                   {"reused", 9},
                                   {"reset_new", 1},
                                   {"reset_reused", 2}};
  EXPECT_EQ(record, expected);
}

// The count of listed hosts must include draining hosts. The count of ejected hosts must include neither
// draining hosts nor removed hosts.
TEST(Metrics, CountDrainingHostsAsListedButNotAsEjected) {
  GatewayHarness harness(2);
  for (auto& host : harness.hosts)
    host->serve = [](const FakeServer::ReceivedRequest& request) { request.Respond(500, ""); };
  const auto client = harness.Connect();
  std::size_t sent = 0;
  while (sent < 100 && harness.Vars()["pool_ejected"] != 2) {
    client->Send(ApiCall("r" + std::to_string(++sent), "pay"));
    client->Await(sent);
  }
  EXPECT_EQ(harness.Vars()["pool_ejected"], 2);
  ASSERT_TRUE(harness.Until([&] { return harness.discovery.requests.size() == 1; }));
  harness.discovery.requests[0].Respond(
      200, MakeEndpointList(42, false,
                            {MakeEndpointEntry("h0", harness.host(0).address(), "draining"),
                             MakeEndpointEntry("h1", harness.host(1).address(), "removed")})
               .dump());
  ASSERT_TRUE(harness.Until([&] { return harness.discovery.requests.size() == 2; }));
  EXPECT_EQ(harness.Vars()["pool_size"], 1);
  EXPECT_EQ(harness.Vars()["pool_ejected"], 0);
}

// During a drain the gateway must fail health checks at once, complete the requests in flight, and then close
// their connections. It must also close idle connections. An operator must be able to end the drain without a
// restart. A repeated drain command must have no further effect.
TEST(Drain, ClosesConnectionsUntilTheDrainEnds) {
  GatewayHarness harness;
  const auto health_status = [&] {
    const auto client = harness.Connect();
    client->Send("GET /up HTTP/1.1\r\n\r\n");
    return client->Await().result_int();
  };
  const auto idle = harness.Connect(), busy = harness.Connect();
  idle->Send("GET /up HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(idle->Await().keep_alive());
  busy->Send(ApiCall("r1", "pay"));
  ASSERT_TRUE(harness.Until([&] { return harness.host().requests.size() == 1; }));
  for (int i = 0; i < 2; ++i) EXPECT_TRUE(harness.Call("drain-on\n").starts_with("SUCCESS"));
  EXPECT_EQ(health_status(), 503u);
  EXPECT_TRUE(harness.Call("check\n").starts_with("FAILURE"));
  const auto partial = harness.Connect(), late = harness.Connect();
  late->Send(ApiCall("r2"));  // sent before the load balancer has noticed the drain
  ASSERT_TRUE(harness.Until([&] { return harness.host().requests.size() == 2; }));
  EXPECT_TRUE(idle->AwaitClose());
  for (const auto& request : harness.host().requests) request.Respond(200, "");
  for (Client* client : {busy.get(), late.get()}) {
    EXPECT_EQ(client->Await().result(), http::status::ok);
    EXPECT_FALSE(client->Await().keep_alive());
    EXPECT_TRUE(client->AwaitClose());
  }
  partial->Send("GET /api HTTP/1.1\r\n");
  EXPECT_TRUE(partial->AwaitClose());  // the gateway may respond, but must close the connection
  for (int i = 0; i < 2; ++i) EXPECT_TRUE(harness.Call("drain-off\n").starts_with("SUCCESS"));
  EXPECT_EQ(health_status(), 200u);
  const auto client = harness.Connect();
  client->Send(ApiCall("r3"));
  ASSERT_TRUE(harness.Until([&] { return harness.host().requests.size() == 3; }));
  harness.host().requests[2].Respond(200, "");
  EXPECT_TRUE(client->Await().keep_alive());
}

// A drain must not prevent the gateway from stopping. No management command may cancel a stop.
TEST(Drain, DoesNotPreventAStop) {
  GatewayHarness harness;
  harness.Call("drain-on\n");
  bool done = false;
  harness.gateway->Stop([&] { done = true; });
  EXPECT_TRUE(harness.Call("drain-off\n").starts_with("FAILURE"));
  EXPECT_TRUE(harness.Call("drain-on\n").starts_with("SUCCESS"));
  EXPECT_TRUE(harness.Call("check\n").starts_with("FAILURE"));
  EXPECT_TRUE(harness.Until([&] { return done; }));
}

}  // namespace
}  // namespace gateway::proxy::testing
