// A gateway on loopback with the other side of all its sockets.
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

// One gateway, its discovery and some hosts.
struct World {
  // Starts the gateway, which knows hosts h0, h1 ... from its configuration.
  explicit World(std::size_t hosts_wanted = 1, nlohmann::json settings = TestSettings(),
                 std::size_t sockets = 300, const nlohmann::json& more = nlohmann::json::object()) {
    std::vector<nlohmann::json> members;
    for (std::size_t i = 0; i < hosts_wanted; ++i) {
      hosts.push_back(std::make_unique<Peer>(io));
      members.push_back(Member("h" + std::to_string(i), hosts.back()->address()));
    }
    nlohmann::json file = {{"seed", "5"},
                           {"limits", {{"sockets", sockets}}},
                           {"known", List(41, true, members)},
                           {"mgmt", "127.0.0.1:0"},
                           {"settings", std::move(settings)}};
    file.update(more);
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

  // The process's end and the next one's start, on the same configuration.
  void Restart(bool with_state = true) {
    config_.load_state = with_state;
    gateway.reset();
    gateway.emplace(io, config_);
  }
  // As with the list services named in `discovery_endpoints`.
  void GuardList() {
    config_.guard_mass_removal = true;
    Restart();
  }
  const std::string& owner() const { return config_.state_owner; }

  template <typename Done>
  ::testing::AssertionResult Until(Done done) {
    if (RunUntil(io, done)) return ::testing::AssertionSuccess();
    return ::testing::AssertionFailure() << "did not come about";
  }

  std::unique_ptr<Client> Connect() { return std::make_unique<Client>(io, gateway->address()); }
  // An operator's call: the whole answer, until the gateway ends the connection.
  std::string Call(const std::string& line) {
    tcp::socket socket(io);
    socket.connect(*gateway->management());
    asio::write(socket, asio::buffer(line));
    std::string answer;
    bool ended = false;
    asio::async_read(socket, asio::dynamic_buffer(answer), [&](error_code, std::size_t) { ended = true; });
    EXPECT_TRUE(Until([&] { return ended; })) << line;
    return answer;
  }
  // The figures, as operators read them.
  nlohmann::json Vars() {
    const std::string text = Call("vars\n");
    EXPECT_TRUE(text.ends_with("\nEOT\n")) << text;
    return nlohmann::json::parse(text.substr(0, text.find("\nEOT\n")), nullptr, false);
  }
  Peer& host(std::size_t i = 0) { return *hosts[i]; }

  asio::io_context io;
  Peer discovery{io};
  std::vector<std::unique_ptr<Peer>> hosts;
  std::optional<proxy::Gateway> gateway;

 private:
  ::gateway::proxy::Config config_;
};

}  // namespace gateway::proxy::testing

#endif  // GATEWAY_TESTS_PROXY_WORLD_HPP_
