// A gateway on loopback with a fake list service and fake hosts, for tests.
#ifndef GATEWAY_TESTS_PROXY_WORLD_HPP_
#define GATEWAY_TESTS_PROXY_WORLD_HPP_

#include <cstdio>
#include <fstream>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "peers.hpp"
#include "proxy/config.hpp"
#include "proxy/gateway.hpp"

namespace gateway::proxy::testing {

// Runs one gateway in the test process, with a fake list service and fake hosts.
struct GatewayHarness {
  // Starts the gateway with the hosts h0, h1 ... in its configuration. `socket_limit` is the limit on the
  // gateway's file descriptors. The fields of `extra_config` are added to the configuration file, and replace
  // fields of the same name.
  explicit GatewayHarness(std::size_t host_count = 1, nlohmann::json settings = TestSettings(),
                          std::size_t socket_limit = 300,
                          const nlohmann::json& extra_config = nlohmann::json::object()) {
    std::vector<nlohmann::json> entries;
    for (std::size_t i = 0; i < host_count; ++i) {
      hosts.push_back(std::make_unique<FakeServer>(io));
      entries.push_back(MakeEndpointEntry("h" + std::to_string(i), hosts.back()->address()));
    }
    nlohmann::json file = {{"seed", "5"},
                           {"limits", {{"sockets", socket_limit}}},
                           {"known", MakeEndpointList(41, true, entries)},
                           {"mgmt", "127.0.0.1:0"},
                           {"settings", std::move(settings)}};
    file.update(extra_config);
    const std::string path = ::testing::TempDir() + "gateway-" + std::to_string(getpid()) + ".json";
    std::ofstream(path) << file;
    const std::map<std::string, std::string> variables = {{"NODE_CONFIG", path},
                                                          {"NODE_LISTEN", "127.0.0.1:0"},
                                                          {"NODE_DISCOVERY", ToText(discovery.address())}};
    const auto config = proxy::LoadConfig([&](const char* name) {
      const auto found = variables.find(name);
      return found == variables.end() ? nullptr : found->second.c_str();
    });
    std::remove(path.c_str());
    config_ = config;
    Restart();
  }

  // Simulates a restart of the process: replaces the gateway with a new gateway that has the same
  // configuration. If `load_state` is false, the new gateway ignores the saved state.
  void Restart(bool load_state = true) {
    config_.load_state = load_state;
    gateway.reset();
    gateway.emplace(io, config_);
  }
  // Restarts the gateway with the guard against mass removal. In production, the guard is on if the
  // configuration names list services in `discovery_endpoints`.
  void EnableMassRemovalGuard() {
    config_.guard_mass_removal = true;
    Restart();
  }
  // The owner name that the gateway writes to its saved state.
  const std::string& owner() const { return config_.state_owner; }

  // Runs the event loop until `condition` returns true. Returns a failure if RunUntil times out.
  template <typename Condition>
  ::testing::AssertionResult Until(Condition condition) {
    if (RunUntil(io, condition)) return ::testing::AssertionSuccess();
    return ::testing::AssertionFailure() << "the condition was not met before the timeout";
  }

  std::unique_ptr<Client> Connect() { return std::make_unique<Client>(io, gateway->address()); }
  // Sends a management command. Returns the complete response, which the gateway ends by closing the
  // connection.
  std::string Call(const std::string& line) {
    tcp::socket socket(io);
    socket.connect(*gateway->management());
    asio::write(socket, asio::buffer(line));
    std::string response;
    bool closed = false;
    asio::async_read(socket, asio::dynamic_buffer(response), [&](error_code, std::size_t) { closed = true; });
    EXPECT_TRUE(Until([&] { return closed; })) << "no response to the management command: " << line;
    return response;
  }
  // Returns the parsed response to the management command `vars`.
  nlohmann::json Vars() {
    const std::string text = Call("vars\n");
    EXPECT_TRUE(text.ends_with("\nEOT\n")) << text;
    return nlohmann::json::parse(text.substr(0, text.find("\nEOT\n")), nullptr, false);
  }
  FakeServer& host(std::size_t i = 0) { return *hosts[i]; }

  asio::io_context io;
  FakeServer discovery{io};
  std::vector<std::unique_ptr<FakeServer>> hosts;
  std::optional<proxy::Gateway> gateway;

 private:
  ::gateway::proxy::Config config_;
};

}  // namespace gateway::proxy::testing

#endif  // GATEWAY_TESTS_PROXY_WORLD_HPP_
