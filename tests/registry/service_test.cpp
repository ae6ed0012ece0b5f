// The registry service on sockets, over a disk that fails.
#include "registry/service.hpp"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <optional>

#include "base/clock.hpp"
#include "base/http_client.hpp"
#include "storage/faulty_file_system.hpp"
#include "storage/memory_file_system.hpp"

namespace gateway::registry {
namespace {

using base::Millis;
using nlohmann::json;

constexpr Revision kInitialRevision = 100;

struct ServiceFixture {
  explicit ServiceFixture(std::size_t max_clients = 100, double full_lists_per_second = 1000)
      : files(disk, [this](storage::FaultyFileSystem::Call call, const std::string&) {
          const bool writes = call == storage::FaultyFileSystem::Call::kAppend ||
                              call == storage::FaultyFileSystem::Call::kCreate;
          return storage::FaultyFileSystem::Fault{
              full && writes ? std::make_error_code(std::errc::no_space_on_device) : std::error_code()};
        }) {
    options.listen = {boost::asio::ip::make_address("127.0.0.1"), 0};
    options.state_folder = "r";
    options.epoch = "e1";
    options.initial_revision = kInitialRevision;
    options.max_clients = max_clients;
    options.max_operators = 2;
    options.full_lists_per_second = full_lists_per_second;
    options.leases.default_duration = 60000;
    Restart();
  }
  void Restart() {
    service.reset();
    service.emplace(io, files, options);
  }
  using Done = std::function<void(unsigned, json)>;
  std::shared_ptr<base::ClientConnection> Connect() {
    return std::make_shared<base::ClientConnection>(io, service->address());
  }
  void Send(const std::shared_ptr<base::ClientConnection>& on, const std::string& method,
            const std::string& target, const std::string& body, Done done) {
    on->Exchange(method + " " + target + " HTTP/1.1\r\nHost: r\r\nContent-Length: " +
                     std::to_string(body.size()) + "\r\n\r\n" + body,
                 20000, [done = std::move(done)](base::ClientConnection::Result result) {
                   if (result.failure != base::ClientConnection::Failure::kNone) return done(0, {});
                   done(result.response.result_int(), json::parse(result.response.body(), nullptr, false));
                 });
  }
  template <typename Until>
  bool RunUntil(Until until, Millis most = 20000) {
    for (const Millis end = base::MonotonicNow() + most; !until() && base::MonotonicNow() < end;) {
      io.restart();
      io.run_one_for(std::chrono::milliseconds(20));
    }
    return until();
  }
  std::pair<unsigned, json> Request(const std::string& method, const std::string& target,
                                    const json& body = nullptr) {
    std::optional<std::pair<unsigned, json>> answer;
    Send(Connect(), method, target, body.is_null() ? "" : body.dump(), [&](unsigned status, json text) {
      answer = {status, std::move(text)};
    });
    RunUntil([&] { return answer.has_value(); });
    return answer.value_or(std::pair<unsigned, json>(0, nullptr));
  }
  std::pair<unsigned, json> Register(const std::string& id, int port, const json& more = json::object()) {
    json body = {{"id", id}, {"address", "10.0.0.1:" + std::to_string(port)}, {"incarnation", 7}};
    body.update(more);
    return Request("POST", "/registry/register", body);
  }

  storage::MemoryFileSystem disk;
  bool full = false;
  storage::FaultyFileSystem files;
  boost::asio::io_context io{1};
  ServiceOptions options;
  std::optional<Service> service;
};

// Guards the published form: the full list, then the delta, for all watches, and after a restart.
TEST(RegistryService, NotifiesAllWatchesOfDurableChanges) {
  ServiceFixture fixture;
  EXPECT_EQ(fixture.Register("a", 1).first, 200u);
  const json full = fixture.Request("GET", "/discovery/hosts").second;
  EXPECT_EQ(full["complete"], true);
  EXPECT_EQ(full["members"][0]["host_port"], "10.0.0.1:1");
  EXPECT_EQ(full["members"][0]["phase"], "up");
  EXPECT_EQ(full["members"][0]["up_since_ms"], 7);
  std::vector<json> notified;
  std::vector<std::shared_ptr<base::ClientConnection>> watchers;
  for (int i = 0; i < 20; ++i) {
    watchers.push_back(fixture.Connect());
    fixture.Send(
        watchers.back(), "GET",
        "/discovery/hosts?after=" + std::to_string(full["revision"].get<Revision>()) + "&wait_ms=20000", "",
        [&](unsigned, json list) { notified.push_back(std::move(list)); });
  }
  ASSERT_TRUE(
      fixture.RunUntil([&] { return fixture.Request("GET", "/registry/status").second["watches"] == 20; }));
  EXPECT_EQ(fixture.Request("POST", "/registry/drain", {{"id", "a"}, {"by", "operator"}}).first, 200u);
  ASSERT_TRUE(fixture.RunUntil([&] { return notified.size() == 20; }));
  for (const json& list : notified) {
    EXPECT_EQ(list["complete"], false);
    EXPECT_EQ(list["members"].size(), 1u);
    EXPECT_EQ(list["members"][0]["phase"], "draining");
  }
  fixture.Restart();
  const json again =
      fixture.Request("GET", "/discovery/hosts?after=" + std::to_string(kInitialRevision + 1)).second;
  EXPECT_EQ(again, notified[0]);
  // A revision of another epoch, or of the future: the full list.
  EXPECT_EQ(fixture.Request("GET", "/discovery/hosts?after=101&epoch=other").second["complete"], true);
  EXPECT_EQ(fixture.Request("GET", "/discovery/hosts?after=999&wait_ms=9000").second["complete"], true);
}

TEST(RegistryService, ReportsErrorsOfCalls) {
  ServiceFixture fixture;
  struct Row {
    const char *method, *target, *body;
    unsigned status;
    const char *code, *field;
  };
  for (const Row& row : std::initializer_list<Row>{
           {"POST", "/registry/register", "no json", 400, "bad_request", ""},
           {"POST", "/registry/register", R"({"id":""})", 400, "bad_request", "id"},
           {"POST", "/registry/register", R"({"id":"a"})", 400, "bad_request", "address"},
           {"POST", "/registry/register", R"({"id":"a","address":"here:80"})", 400, "bad_request", "address"},
           {"POST", "/registry/register", R"({"id":"a","address":"1.2.3.4:99999"})", 400, "bad_request",
            "address"},
           {"POST", "/registry/register", R"({"id":"a","address":"1.2.3.4:9","size":0})", 400, "bad_request",
            "size"},
           {"POST", "/registry/register", R"({"id":"a\n","address":"1.2.3.4:9"})", 400, "bad_request", "id"},
           {"POST", "/registry/drain", R"({"id":"none"})", 404, "unknown_member", "id"},
           {"POST", "/registry/size", R"({"id":"none"})", 400, "bad_request", "size"},
           {"POST", "/registry/drain", R"({"id":"a","by":"me"})", 400, "bad_request", "by"},
           {"POST", "/registry/renew", R"({"id":"none"})", 404, "unknown_member", "id"},
           {"POST", "/registry/nothing", "{}", 400, "bad_request", ""},
           {"GET", "/registry/nothing", "", 405, "unknown_call", ""},
           {"GET", "/discovery/hosts?after=-1", "", 400, "bad_request", ""},
           {"GET", "/else", "", 404, "unknown_call", ""}}) {
    std::optional<json> answer;
    unsigned status = 0;
    fixture.Send(fixture.Connect(), row.method, row.target, row.body, [&](unsigned s, json text) {
      status = s;
      answer = std::move(text);
    });
    ASSERT_TRUE(fixture.RunUntil([&] { return answer.has_value(); }));
    EXPECT_EQ(status, row.status) << row.target << row.body;
    ASSERT_TRUE(answer->contains("error")) << *answer;
    EXPECT_EQ((*answer)["error"]["code"], row.code) << row.body;
    EXPECT_EQ((*answer)["error"].value("field", ""), row.field) << row.body;
  }
}

// Guards a full disk: lists and renewals go on, writes are rejected, and no client sees what is not durable.
// Writes succeed again once there is space.
TEST(RegistryService, ServesListsWhileTheDiskIsFull) {
  ServiceFixture fixture;
  ASSERT_EQ(fixture.Register("a", 1).first, 200u);
  fixture.full = true;
  const auto [status, error] = fixture.Register("b", 2, {{"key", "k"}});
  EXPECT_EQ(status, 503u);
  EXPECT_EQ(error["error"]["code"], "storage_failed");
  EXPECT_EQ(fixture.Request("GET", "/discovery/hosts").second["members"].size(), 1u);
  EXPECT_EQ(fixture.Request("POST", "/registry/renew", {{"id", "a"}, {"incarnation", 7}}).first, 200u);
  EXPECT_NE(fixture.Request("GET", "/registry/status").second["storage"], "ok");
  fixture.full = false;
  ASSERT_TRUE(
      fixture.RunUntil([&] { return fixture.Request("GET", "/registry/status").second["storage"] == "ok"; }));
  EXPECT_EQ(fixture.Register("b", 2, {{"key", "k"}}).first, 200u);
  EXPECT_EQ(fixture.Register("b", 2, {{"key", "k"}}).second["changed"], false);
  fixture.Restart();
  EXPECT_EQ(fixture.Request("GET", "/discovery/hosts").second["members"].size(), 2u);
}

// Guards admission: clients beyond the limit are rejected at once; pending watches and operators are not.
TEST(RegistryService, RejectsClientsAndReservesConnectionsForOperators) {
  ServiceFixture fixture(/*max_clients=*/3);
  ASSERT_EQ(fixture.Register("a", 1).first, 200u);
  std::vector<std::shared_ptr<base::ClientConnection>> watchers;
  int notified = 0;
  for (int i = 0; i < 3; ++i) {
    watchers.push_back(fixture.Connect());
    fixture.Send(watchers.back(), "GET", "/discovery/hosts?after=101&wait_ms=20000", "",
                 [&](unsigned status, const json&) { notified += status == 200; });
  }
  ASSERT_TRUE(
      fixture.RunUntil([&] { return fixture.Request("GET", "/registry/status").second["watches"] == 3; }));
  EXPECT_EQ(fixture.Request("GET", "/discovery/hosts").first, 503u);
  EXPECT_EQ(fixture.Request("POST", "/registry/drain", {{"id", "a"}, {"by", "operator"}}).first, 200u);
  EXPECT_TRUE(fixture.RunUntil([&] { return notified == 3; }));
}

TEST(RegistryService, LimitsTheRateOfFullLists) {
  ServiceFixture fixture(/*max_clients=*/100, /*full_lists_per_second=*/5);
  ASSERT_EQ(fixture.Register("a", 1).first, 200u);
  int full_lists = 0;
  int rejected = 0;
  for (int i = 0; i < 20; ++i) {
    const unsigned status = fixture.Request("GET", "/discovery/hosts").first;
    full_lists += status == 200;
    rejected += status == 503;
  }
  EXPECT_GE(full_lists, 5);
  EXPECT_GE(rejected, 5);
  EXPECT_EQ(fixture.Request("GET", "/discovery/hosts?after=101").first, 200u);  // a delta is no full list
}

}  // namespace
}  // namespace gateway::registry
