// What operators use: the management address, the figures and the drain. Each test says what it guards.
#include <gtest/gtest.h>

#include <filesystem>
#include <set>
#include <sstream>

#include "base/log.hpp"
#include "proxy/restart/saved_state.hpp"
#include "storage/store.hpp"
#include "world.hpp"

namespace gateway::proxy::testing {
namespace {

// Guards what operators are told: the answer's first word, for good calls and for any others.
TEST(Management, AnswersEachCallByOneLine) {
  World world;
  EXPECT_TRUE(world.Call("check\n").starts_with("SUCCESS"));
  EXPECT_TRUE(world.Call("check\r\nvars\n").starts_with("SUCCESS"));  // what follows the line is not heard
  for (const std::string& call :
       {std::string("\n"), std::string("Check\n"), std::string("check \n"), std::string("drain\n"),
        std::string("\0\xff\x16\n", 4), std::string(100000, 'x'), std::string(255, 'x') + "\n"}) {
    EXPECT_TRUE(world.Call(call).starts_with("FAILURE")) << call.substr(0, 20);
  }
}

// Guards a gateway that knows no host: it takes no clients yet, and says so until a list has come.
TEST(Management, SaysYesOnlyOnceClientsAreTaken) {
  World world(0);
  EXPECT_TRUE(world.Call("check\n").starts_with("FAILURE"));
  ASSERT_TRUE(world.Until([&] { return world.discovery.requests.size() == 1; }));
  Peer host(world.io);
  world.discovery.requests[0].Answer(200, List(42, true, {Member("h0", host.address())}).dump());
  ASSERT_TRUE(world.Until([&] { return world.discovery.requests.size() == 2; }));
  EXPECT_TRUE(world.Call("check\n").starts_with("SUCCESS"));
}

// Guards a call that is not whole: its caller is told when it ends its side, and keeps nobody waiting.
TEST(Management, HearsOthersBesideCallersThatHold) {
  World world;
  std::vector<tcp::socket> slow;
  for (int i = 0; i < 100; ++i) {  // far more than there are places
    slow.emplace_back(world.io).connect(*world.gateway->management());
    asio::write(slow.back(), asio::buffer("chec", i % 5));
  }
  const auto begun = std::chrono::steady_clock::now();
  EXPECT_TRUE(world.Call("check\n").starts_with("SUCCESS"));
  EXPECT_LT(std::chrono::steady_clock::now() - begun, std::chrono::seconds(9));  // none was waited for
  tcp::socket half(world.io);
  half.connect(*world.gateway->management());
  asio::write(half, asio::buffer("check", 5));
  half.shutdown(tcp::socket::shutdown_send);
  std::string answer;
  bool ended = false;
  asio::async_read(half, asio::dynamic_buffer(answer), [&](error_code, std::size_t) { ended = true; });
  ASSERT_TRUE(world.Until([&] { return ended; }));
  EXPECT_TRUE(answer.starts_with("FAILURE"));
}

// Guards the figures: each counter against one request or attempt of its kind, for each class from the start.
TEST(Metrics, CountWhatHappened) {
  World world(2);
  const nlohmann::json none = {{"ok", 0}, {"shed", 0}, {"errors", 0}};
  EXPECT_EQ(world.Vars(), nlohmann::json({{"responses", {{"view", none}, {"key", none}, {"pay", none}}},
                                          {"tries", 0},
                                          {"active", 0},
                                          {"pool_size", 2},
                                          {"pool_ejected", 0}}));
  int first = 0;
  for (auto& host : world.hosts) {
    host->serve = [&](const Peer::Taken& taken) {
      const std::string id(taken.http["Req-Id"]);
      if (id == "again" && first++ == 0) return taken.on->Reset();  // tried twice
      if (id == "fails") return taken.Answer(500, "");
      if (id != "waits" && id != "leaves") taken.Answer(200, "");
    };
  }
  const auto client = world.Connect();
  client->Send(ApiCall("good"));
  client->Await(1);
  client->Send(ApiCall("again"));
  EXPECT_EQ(client->Await(2).result_int(), 200u);
  client->Send(ApiCall("fails", "pay"));
  EXPECT_EQ(client->Await(3).result_int(), 502u);
  client->Send(ApiCall("late", "pay", "15m"));
  EXPECT_EQ(client->Await(4).result_int(), 503u);
  client->Send(ApiCall("no such class", "steal"));  // not a request of any class: not counted
  EXPECT_EQ(client->Await(5).result_int(), 400u);
  const auto waits = world.Connect(), leaves = world.Connect();
  waits->Send(ApiCall("waits"));
  leaves->Send(ApiCall("leaves"));
  const auto taken = [&] { return world.hosts[0]->requests.size() + world.hosts[1]->requests.size(); };
  ASSERT_TRUE(world.Until([&] { return taken() == 6; }));
  EXPECT_EQ(world.Vars()["active"], 2);
  leaves->Leave();
  ASSERT_TRUE(world.Until([&] { return world.Vars()["active"] == 1; }));
  const nlohmann::json vars = world.Vars();
  EXPECT_EQ(vars["responses"]["view"], nlohmann::json({{"ok", 2}, {"shed", 0}, {"errors", 0}}));
  EXPECT_EQ(vars["responses"]["pay"], nlohmann::json({{"ok", 0}, {"shed", 1}, {"errors", 1}}));
  EXPECT_EQ(vars["responses"]["key"], none);
  EXPECT_EQ(vars["tries"], 6);
}

// Guards the scraped form: every sample once under a type, buckets that only grow, and the spans of what was
// played.
TEST(Metrics, AreTheSameInPrometheusForm) {
  World world(2);
  for (auto& host : world.hosts) {
    host->serve = [](const Peer::Taken& taken) {
      taken.Answer(taken.http["Req-Id"] == "fails" ? 500 : 200, "");
    };
  }
  const auto client = world.Connect();
  std::size_t sent = 0;
  for (const char* id : {"a", "b", "c"}) {
    client->Send(ApiCall(id));
    client->Await(++sent);
  }
  client->Send(ApiCall("fails", "pay"));
  client->Await(++sent);
  std::istringstream text(world.Call("metrics\n"));
  std::map<std::string, double> samples;
  std::set<std::string> types;
  std::string line, last;
  double below = 0;
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
    EXPECT_TRUE(value >= below || name.find("le=\"0.001\"") != std::string::npos) << name;
    below = value;
  }
  EXPECT_EQ(line, "EOT") << last;
  EXPECT_EQ(samples["elderhead_responses_total{class=\"view\",result=\"served\"}"], 3);
  EXPECT_EQ(samples["elderhead_responses_total{class=\"pay\",result=\"failed\"}"], 1);
  EXPECT_EQ(samples["elderhead_attempts_total"], 4);
  EXPECT_EQ(samples["elderhead_hosts_listed"], 2);
  for (const char* span : {"first_attempt", "at_host", "request"}) {
    const std::string name = std::string("elderhead_") + span + "_seconds";
    EXPECT_EQ(samples[name + "_count{class=\"view\"}"], 3) << span;
    EXPECT_EQ(samples[name + "_bucket{class=\"view\",le=\"+Inf\"}"], 3) << span;
    EXPECT_GT(samples[name + "_sum{class=\"view\"}"], 0) << span;
  }
  EXPECT_EQ(samples["elderhead_queued_seconds_count{class=\"view\"}"], 0);
  EXPECT_EQ(samples["elderhead_at_host_seconds_count{class=\"pay\"}"], 0);
}

// A folder for one test's state.
struct StateFolder {
  StateFolder() { std::filesystem::remove_all(path); }
  ~StateFolder() { std::filesystem::remove_all(path); }
  const std::string path = ::testing::TempDir() + "gateway-state-" + std::to_string(getpid());
};

// The listeners get free ports, so the owner is named here only.
nlohmann::json WithState(const StateFolder& folder, const std::string& name = "n1") {
  return {{"state_dir", folder.path}, {"name", name}};
}

// Guards what a gateway saves: the next process starts with the newest list, marked as from the disk until
// discovery answers, and with the drain, even if the service counts its revisions anew.
TEST(SavedState, SurvivesTheProcess) {
  const StateFolder folder;
  {
    World world(2, TestSettings(), 300, WithState(folder));
    ASSERT_TRUE(world.Until([&] { return world.discovery.requests.size() == 1; }));
    world.discovery.requests[0].Answer(
        200, List(42, false, {Member("h1", world.host(1).address(), "removed")}).dump());
    ASSERT_TRUE(world.Until([&] { return world.discovery.requests.size() == 2; }));
    EXPECT_TRUE(world.Call("drain-on\n").starts_with("SUCCESS"));
    ASSERT_TRUE(world.Until([&] {
      return world.Call("metrics\n").find("elderhead_state_writes_total 1\n") != std::string::npos ||
             world.Call("metrics\n").find("elderhead_state_writes_total 2\n") != std::string::npos;
    }));
    ASSERT_TRUE(world.Until([&] {
      const auto saved = proxy::LoadSavedState(folder.path, world.owner());
      return saved && saved->draining && saved->list.revision == 42;
    }));
    EXPECT_EQ(world.Vars()["list_from"], "discovery");
    world.gateway.reset();
    EXPECT_FALSE(proxy::LoadSavedState(folder.path, "another"));
    const auto saved = proxy::LoadSavedState(folder.path, world.owner());
    ASSERT_TRUE(saved);
    world.Restart(/*with_state=*/false);  // as after two crashes upon it
    EXPECT_EQ(world.Vars()["pool_size"], 2);
    world.Restart();  // discovery has not answered it
    EXPECT_EQ(world.Vars()["list_from"], "state");
    EXPECT_EQ(world.Vars()["pool_size"], 1);
    EXPECT_TRUE(world.Call("check\n").starts_with("FAILURE draining"));
    EXPECT_TRUE(world.Call("drain-off\n").starts_with("SUCCESS"));
    const std::size_t asked = world.discovery.requests.size();
    ASSERT_TRUE(world.Until([&] { return world.discovery.requests.size() > asked || asked >= 3; }));
    world.discovery.requests.back().Answer(
        200,
        List(7, true, {Member("h0", world.host(0).address()), Member("h1", world.host(1).address())}).dump());
    ASSERT_TRUE(world.Until([&] { return world.Vars()["pool_size"] == 2; }));
    EXPECT_EQ(world.Vars()["list_from"], "discovery");
  }
}

// Guards the start beside a state that is damaged or truncated, or a file in place of the folder: the gateway
// serves without it.
TEST(SavedState, IsIgnoredWhereItCantBeRead) {
  const StateFolder folder;
  for (const int damage : {0, 1, 2}) {
    std::filesystem::remove_all(folder.path);
    World world(1, TestSettings(), 300, WithState(folder));
    ASSERT_TRUE(world.Until([&] { return world.discovery.requests.size() == 1; }));
    world.discovery.requests[0].Answer(200, List(42, true, {Member("h0", world.host().address())}).dump());
    ASSERT_TRUE(world.Until([&] { return proxy::LoadSavedState(folder.path, world.owner()).has_value(); }));
    world.gateway.reset();
    for (const auto& entry : std::filesystem::directory_iterator(folder.path)) {
      if (damage == 0) std::ofstream(entry.path()) << "not what was written";
      if (damage == 1)
        std::filesystem::resize_file(entry.path(), std::filesystem::file_size(entry.path()) / 2);
    }
    if (damage == 2) {
      std::filesystem::remove_all(folder.path);
      std::ofstream(folder.path) << "a file stands where the folder was";
    }
    EXPECT_FALSE(proxy::LoadSavedState(folder.path, world.owner()));
    world.Restart();
    EXPECT_TRUE(world.Call("check\n").starts_with("SUCCESS"));
    world.host().serve = [](const Peer::Taken& taken) { taken.Answer(200, ""); };
    const auto client = world.Connect();
    client->Send(ApiCall("r"));
    EXPECT_EQ(client->Await(1).result_int(), 200u);
  }
}

// Guards formats: a state of program 0.1.0, which saved nothing learned, is read.
TEST(SavedState, OfAnOlderProgramIsRead) {
  const StateFolder folder;
  std::filesystem::copy(FIXTURES "/state-0.1.0", folder.path);
  const auto saved = proxy::LoadSavedState(folder.path, "n1 at 127.0.0.1:18080");
  ASSERT_TRUE(saved);
  EXPECT_TRUE(saved->draining);
  EXPECT_EQ(saved->list.endpoints.size(), 2u);
  EXPECT_FALSE(saved->learned);
}

// Guards a newer program's state: it is not read, and is unchanged after this program has served and ended.
TEST(SavedState, OfANewerProgramIsNotChanged) {
  const StateFolder folder;
  const std::string newer = R"({"draining":"maybe"})";
  World world(1, TestSettings(), 300, WithState(folder));
  EXPECT_TRUE(world.Call("drain-on\n").starts_with("SUCCESS"));
  ASSERT_TRUE(world.Until([&] { return proxy::LoadSavedState(folder.path, world.owner()).has_value(); }));
  world.gateway.reset();
  const auto files = storage::MakePosixFileSystem();
  storage::Examination found;
  {
    std::unique_ptr<storage::Store> store;
    ASSERT_TRUE(storage::Store::Open(*files, folder.path, {world.owner(), "9"}, store, found).ok());
    ASSERT_TRUE(store->TakeSnapshot(7, newer).ok());
  }
  world.Restart();
  EXPECT_TRUE(world.Call("check\n").starts_with("SUCCESS"));
  EXPECT_TRUE(world.Call("drain-on\n").starts_with("SUCCESS"));
  ASSERT_TRUE(world.Until(
      [&] { return world.Call("metrics\n").find("elderhead_state_ok 0\n") != std::string::npos; }));
  world.gateway.reset();
  ASSERT_TRUE(storage::Examine(*files, folder.path, world.owner(), found).ok());
  ASSERT_TRUE(found.snapshot);
  EXPECT_EQ(found.snapshot->payload, newer);
}

// Guards what was learned: it is saved while requests are served, and the next process begins with it.
TEST(SavedState, IncludesLearnedState) {
  const StateFolder folder;
  World world(1, TestSettings(), 300, WithState(folder));
  world.host().serve = [](const Peer::Taken& taken) { taken.Answer(200, ""); };
  const auto client = world.Connect();
  for (std::size_t i = 1; i <= 5; ++i) {
    client->Send(ApiCall("r" + std::to_string(i)));
    EXPECT_EQ(client->Await(i).result_int(), 200u);
  }
  EXPECT_TRUE(world.Call("drain-on\n").starts_with("SUCCESS"));
  const auto samples = [&] {
    const auto saved = proxy::LoadSavedState(folder.path, world.owner());
    return saved && saved->learned && !saved->learned->endpoints.empty()
               ? saved->learned->endpoints[0].samples
               : 0;
  };
  ASSERT_TRUE(world.Until([&] { return samples() == 5; }));
  world.Restart();  // discovery says nothing; what it writes next is what it began with
  EXPECT_TRUE(world.Call("drain-off\n").starts_with("SUCCESS"));
  ASSERT_TRUE(world.Until([&] {
    const auto saved = proxy::LoadSavedState(folder.path, world.owner());
    return saved && !saved->draining;
  }));
  EXPECT_EQ(samples(), 5);
}

TEST(SavedState, IsRejectedIfAnyPartIsMalformed) {
  const std::string good = proxy::SerializeSavedState(proxy::SavedState{{42, true, {}, {}, 0}, true, 5, {}});
  ASSERT_TRUE(proxy::ParseSavedState(good));
  EXPECT_TRUE(proxy::ParseSavedState(good)->draining);
  for (const char* bad :
       {"", "[]", "{}", R"({"list":{"revision":1,"complete":true,"members":[]}})",
        R"({"list":{"revision":1,"complete":false,"members":[]},"draining":false,"kept_at_ms":1})",
        R"({"list":{"revision":1,"complete":true,"members":[{}]},"draining":false,"kept_at_ms":1})",
        R"({"list":7,"draining":false,"kept_at_ms":1})",
        R"({"list":{"revision":1,"complete":true,"members":[]},"draining":"no","kept_at_ms":1})"}) {
    EXPECT_FALSE(proxy::ParseSavedState(bad)) << bad;
  }
}

// Guards the log's two forms: the words stay, and what is named in them are fields for a machine, on one
// line.
TEST(Log, IsTextOrOneObjectALine) {
  const std::string words = "sockets: hosts 7 clients 3 left 0 | dialled 4 reused 9 | reset new 1 reused 2";
  EXPECT_EQ(base::FormatRecord(base::LogFormat::kText, 1780000000123.0, base::Level::kInfo, "sockets",
                               "counts", words),
            "2026-05-28T20:26:40.123Z info " + words);
  const auto record = nlohmann::json::parse(base::FormatRecord(base::LogFormat::kJson, 1780000000123.0,
                                                               base::Level::kWarning, "sockets", "counts",
                                                               words, {{"host", "h\"\xff"}, {"ms", 2.5}}));
  const nlohmann::json wanted = {{"time", "2026-05-28T20:26:40.123Z"},
                                 {"level", "warning"},
                                 {"part", "sockets"},
                                 {"event", "counts"},
                                 {"text", words},
                                 {"host", "h\"\ufffd"},
                                 {"ms", 2.5},
                                 {"hosts", 7},
                                 {"clients", 3},
                                 {"left", 0},
                                 {"dialled", 4},
                                 {"reused", 9},
                                 {"reset_new", 1},
                                 {"reset_reused", 2}};
  EXPECT_EQ(record, wanted);
}

// Guards the figures on hosts: what is listed, drained or not, and what the module avoids.
TEST(Metrics, TellListedAndAvoidedHosts) {
  World world(2);
  for (auto& host : world.hosts) host->serve = [](const Peer::Taken& taken) { taken.Answer(500, ""); };
  const auto client = world.Connect();
  std::size_t sent = 0;
  while (sent < 100 && world.Vars()["pool_ejected"] != 2) {
    client->Send(ApiCall("r" + std::to_string(++sent), "pay"));
    client->Await(sent);
  }
  EXPECT_EQ(world.Vars()["pool_ejected"], 2);
  ASSERT_TRUE(world.Until([&] { return world.discovery.requests.size() == 1; }));
  world.discovery.requests[0].Answer(200, List(42, false,
                                               {Member("h0", world.host(0).address(), "draining"),
                                                Member("h1", world.host(1).address(), "removed")})
                                              .dump());
  ASSERT_TRUE(world.Until([&] { return world.discovery.requests.size() == 2; }));
  EXPECT_EQ(world.Vars()["pool_size"], 1);
  EXPECT_EQ(world.Vars()["pool_ejected"], 0);
}

// Guards a drain: no at once, what is open is served to its end and closed, idle connections go, the process
// stays and takes clients again when told. Both calls may be repeated.
TEST(Drain, ShedsConnectionsAndTakesThemAgain) {
  World world;
  const auto up = [&] {
    const auto client = world.Connect();
    client->Send("GET /up HTTP/1.1\r\n\r\n");
    return client->Await().result_int();
  };
  const auto idle = world.Connect(), busy = world.Connect();
  idle->Send("GET /up HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(idle->Await().keep_alive());
  busy->Send(ApiCall("r1", "pay"));
  ASSERT_TRUE(world.Until([&] { return world.host().requests.size() == 1; }));
  for (int i = 0; i < 2; ++i) EXPECT_TRUE(world.Call("drain-on\n").starts_with("SUCCESS"));
  EXPECT_EQ(up(), 503u);
  EXPECT_TRUE(world.Call("check\n").starts_with("FAILURE"));
  const auto partial = world.Connect(), late = world.Connect();
  late->Send(ApiCall("r2"));  // from before the front knew
  ASSERT_TRUE(world.Until([&] { return world.host().requests.size() == 2; }));
  EXPECT_TRUE(idle->AwaitEnd());
  for (const auto& request : world.host().requests) request.Answer(200, "");
  for (Client* client : {busy.get(), late.get()}) {
    EXPECT_EQ(client->Await().result(), http::status::ok);
    EXPECT_FALSE(client->Await().keep_alive());
    EXPECT_TRUE(client->AwaitEnd());
  }
  partial->Send("GET /api HTTP/1.1\r\n");
  EXPECT_TRUE(partial->AwaitEnd());  // refused or closed: it is not held
  for (int i = 0; i < 2; ++i) EXPECT_TRUE(world.Call("drain-off\n").starts_with("SUCCESS"));
  EXPECT_EQ(up(), 200u);
  const auto kept = world.Connect();
  kept->Send(ApiCall("r3"));
  ASSERT_TRUE(world.Until([&] { return world.host().requests.size() == 3; }));
  world.host().requests[2].Answer(200, "");
  EXPECT_TRUE(kept->Await().keep_alive());
}

// Guards SIGTERM during a drain: it ends as it would without one, and no call keeps it from that.
TEST(Drain, EndsOnStopAllTheSame) {
  World world;
  world.Call("drain-on\n");
  bool done = false;
  world.gateway->Stop([&] { done = true; });
  EXPECT_TRUE(world.Call("drain-off\n").starts_with("FAILURE"));
  EXPECT_TRUE(world.Call("drain-on\n").starts_with("SUCCESS"));
  EXPECT_TRUE(world.Call("check\n").starts_with("FAILURE"));
  EXPECT_TRUE(world.Until([&] { return done; }));
}

}  // namespace
}  // namespace gateway::proxy::testing
