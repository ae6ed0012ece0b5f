// Tests of the registry service over sockets. The simulated disk can be full.
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
              disk_full && writes ? std::make_error_code(std::errc::no_space_on_device) : std::error_code()};
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
  using ResponseHandler = std::function<void(unsigned, json)>;
  std::shared_ptr<base::ClientConnection> Connect() {
    return std::make_shared<base::ClientConnection>(io, service->address());
  }
  void Send(const std::shared_ptr<base::ClientConnection>& connection, const std::string& method,
            const std::string& target, const std::string& body, ResponseHandler handler) {
    connection->Exchange(
        method + " " + target + " HTTP/1.1\r\nHost: r\r\nContent-Length: " + std::to_string(body.size()) +
            "\r\n\r\n" + body,
        20000, [handler = std::move(handler)](base::ClientConnection::Result result) {
          if (result.failure != base::ClientConnection::Failure::kNone) return handler(0, {});
          handler(result.response.result_int(), json::parse(result.response.body(), nullptr, false));
        });
  }
  template <typename Condition>
  bool RunUntil(Condition condition, Millis timeout = 20000) {
    for (const Millis end = base::MonotonicNow() + timeout; !condition() && base::MonotonicNow() < end;) {
      io.restart();
      io.run_one_for(std::chrono::milliseconds(20));
    }
    return condition();
  }
  std::pair<unsigned, json> Request(const std::string& method, const std::string& target,
                                    const json& body = nullptr) {
    std::optional<std::pair<unsigned, json>> response;
    Send(Connect(), method, target, body.is_null() ? "" : body.dump(), [&](unsigned status, json body_json) {
      response = {status, std::move(body_json)};
    });
    RunUntil([&] { return response.has_value(); });
    return response.value_or(std::pair<unsigned, json>(0, nullptr));
  }
  std::pair<unsigned, json> Register(const std::string& id, int port,
                                     const json& additional_fields = json::object()) {
    json body = {{"id", id}, {"address", "10.0.0.1:" + std::to_string(port)}, {"incarnation", 7}};
    body.update(additional_fields);
    return Request("POST", "/registry/register", body);
  }

  storage::MemoryFileSystem disk;
  bool disk_full = false;
  storage::FaultyFileSystem files;
  boost::asio::io_context io{1};
  ServiceOptions options;
  std::optional<Service> service;
};

// Covers the full list, the delta that each pending watch gets, and the same delta after a restart of the
// service. If a watch missed a change, its gateway would keep an outdated list.
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
  const json delta_after_restart =
      fixture.Request("GET", "/discovery/hosts?after=" + std::to_string(kInitialRevision + 1)).second;
  EXPECT_EQ(delta_after_restart, notified[0]);
  // If the client's revision belongs to another epoch or is in the future, the client gets the full list.
  EXPECT_EQ(fixture.Request("GET", "/discovery/hosts?after=101&epoch=other").second["complete"], true);
  EXPECT_EQ(fixture.Request("GET", "/discovery/hosts?after=999&wait_ms=9000").second["complete"], true);
}

// The response to an invalid call must state the HTTP status, the error code and the invalid field. The
// service must continue to serve other calls.
TEST(RegistryService, ReportsStatusCodeAndFieldForInvalidCalls) {
  ServiceFixture fixture;
  struct InvalidCall {
    const char *method, *target, *body;
    unsigned status;
    const char *code, *field;
  };
  for (const InvalidCall& invalid_call : std::initializer_list<InvalidCall>{
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
    std::optional<json> response;
    unsigned status = 0;
    fixture.Send(fixture.Connect(), invalid_call.method, invalid_call.target, invalid_call.body,
                 [&](unsigned response_status, json body) {
                   status = response_status;
                   response = std::move(body);
                 });
    ASSERT_TRUE(fixture.RunUntil([&] { return response.has_value(); }));
    EXPECT_EQ(status, invalid_call.status) << invalid_call.target << invalid_call.body;
    ASSERT_TRUE(response->contains("error")) << *response;
    EXPECT_EQ((*response)["error"]["code"], invalid_call.code) << invalid_call.body;
    EXPECT_EQ((*response)["error"].value("field", ""), invalid_call.field) << invalid_call.body;
  }
}

// While the disk is full, the service must still serve lists and accept renewals. It must reject writes, and
// no client may see a change that is not durable. Writes must succeed again once the disk has space.
TEST(RegistryService, ServesListsWhileTheDiskIsFull) {
  ServiceFixture fixture;
  ASSERT_EQ(fixture.Register("a", 1).first, 200u);
  fixture.disk_full = true;
  const auto [status, error] = fixture.Register("b", 2, {{"key", "k"}});
  EXPECT_EQ(status, 503u);
  EXPECT_EQ(error["error"]["code"], "storage_failed");
  EXPECT_EQ(fixture.Request("GET", "/discovery/hosts").second["members"].size(), 1u);
  EXPECT_EQ(fixture.Request("POST", "/registry/renew", {{"id", "a"}, {"incarnation", 7}}).first, 200u);
  EXPECT_NE(fixture.Request("GET", "/registry/status").second["storage"], "ok");
  fixture.disk_full = false;
  ASSERT_TRUE(
      fixture.RunUntil([&] { return fixture.Request("GET", "/registry/status").second["storage"] == "ok"; }));
  EXPECT_EQ(fixture.Register("b", 2, {{"key", "k"}}).first, 200u);
  EXPECT_EQ(fixture.Register("b", 2, {{"key", "k"}}).second["changed"], false);
  fixture.Restart();
  EXPECT_EQ(fixture.Request("GET", "/discovery/hosts").second["members"].size(), 2u);
}

// The service must reject clients over the connection limit at once. Pending watches must stay open, and
// operators must still be served. Otherwise operators could not reach a service that clients overload.
TEST(RegistryService, RejectsClientsOverTheLimitAndServesOperators) {
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

// After an outage, many gateways request the full list at once. They must not overload the service.
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
  // A delta does not count as a full list.
  EXPECT_EQ(fixture.Request("GET", "/discovery/hosts?after=101").first, 200u);
}

}  // namespace
}  // namespace gateway::registry
