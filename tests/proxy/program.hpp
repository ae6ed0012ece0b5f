// Gateway processes on loopback with a fake list service and fake hosts, for tests.
#ifndef GATEWAY_TESTS_PROXY_PROGRAM_HPP_
#define GATEWAY_TESTS_PROXY_PROGRAM_HPP_

#include <filesystem>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "process.hpp"

namespace gateway::proxy::testing {

// The environment of the processes of one gateway: discovery, hosts, the client address, the configuration
// file and the folder of the Unix socket for hot restarts.
struct ProgramFixture {
  // One process of the gateway.
  struct Instance {
    tcp::endpoint management;
    std::unique_ptr<Process> process;
  };

  // The configuration lists the endpoints h0, h1 ..., and in addition `more_endpoints`. `endpoints_per_host`
  // endpoints in a row have the address of the same host. The fields of `more_config` are added to the
  // configuration, and replace fields of the same name.
  explicit ProgramFixture(std::size_t host_count, std::vector<nlohmann::json> more_endpoints = {},
                          const nlohmann::json& more_config = nlohmann::json::object(),
                          std::size_t endpoints_per_host = 1) {
    folder = std::filesystem::path(::testing::TempDir()) / ("gateway-tmp-" + std::to_string(getpid()));
    std::filesystem::remove_all(folder);
    std::filesystem::create_directory(folder);
    discovery.serve = [](const FakeServer::ReceivedRequest&) {};
    std::vector<nlohmann::json> entries = std::move(more_endpoints);
    for (std::size_t i = 0; i < host_count * endpoints_per_host; ++i) {
      if (i % endpoints_per_host == 0) hosts.push_back(std::make_unique<FakeServer>(io));
      entries.push_back(MakeEndpointEntry("h" + std::to_string(i), hosts.back()->address()));
    }
    nlohmann::json config = {
        {"seed", "1f"}, {"known", MakeEndpointList(1, true, entries)}, {"settings", TestSettings()}};
    config.update(more_config);
    file = std::make_unique<ConfigFile>(config.dump());
  }
  ~ProgramFixture() { std::filesystem::remove_all(folder); }
  ProgramFixture(const ProgramFixture&) = delete;
  ProgramFixture& operator=(const ProgramFixture&) = delete;

  // `variables` replace variables of the environment of the same name.
  Instance Start(const ProcessLimits& limits = {},
                 const std::vector<std::pair<std::string, std::string>>& variables = {}) {
    Instance instance{ReserveAddress(), nullptr};
    std::vector<std::pair<std::string, std::string>> environment = {
        {"NODE_CONFIG", file->path},
        {"NODE_LISTEN", ToText(listen)},
        {"NODE_DISCOVERY", ToText(discovery.address())},
        {"NODE_MGMT", ToText(instance.management)},
        {"TMPDIR", folder.string()}};
    environment.insert(environment.end(), variables.begin(), variables.end());
    instance.process = std::make_unique<Process>(environment, limits);
    return instance;
  }
  // Starts a process and waits until it accepts clients.
  Instance StartReady(const ProcessLimits& limits = {}) {
    Instance instance = Start(limits);
    EXPECT_TRUE(BecomesReady(instance)) << instance.process->StandardError();
    return instance;
  }
  // Returns the complete response to a management command, or an empty string if the instance does not
  // listen.
  std::string CallForText(const Instance& instance, const std::string& command) {
    tcp::socket socket(io);
    error_code ec;
    socket.connect(instance.management, ec);
    if (ec) return "";
    asio::write(socket, asio::buffer(command), ec);
    std::string response;
    bool ended = false;
    asio::async_read(socket, asio::dynamic_buffer(response), [&](error_code, std::size_t) { ended = true; });
    EXPECT_TRUE(RunUntil(io, [&] { return ended; }));
    return response;
  }
  // Returns the first word of the response to a management command, or an empty string if the instance does
  // not listen.
  std::string Call(const Instance& instance, const std::string& command) {
    const std::string response = CallForText(instance, command);
    return response.substr(0, response.find_first_of(" \n"));
  }
  bool BecomesReady(const Instance& instance) {
    return RunUntil(io, [&] { return Call(instance, "check\n") == "SUCCESS"; });
  }
  // Returns the value of a metric without labels, or -1 if the instance has no such metric. `name` includes
  // the prefix.
  double Metric(const Instance& instance, const std::string& name) {
    const std::string text = "\n" + CallForText(instance, "metrics\n");
    const std::size_t found = text.find("\n" + name + " ");
    return found == std::string::npos ? -1 : std::stod(text.substr(found + name.size() + 2));
  }
  FakeServer& host(std::size_t i = 0) { return *hosts[i]; }

  asio::io_context io;
  FakeServer discovery{io};
  std::vector<std::unique_ptr<FakeServer>> hosts;
  const tcp::endpoint listen = ReserveAddress();
  std::filesystem::path folder;
  std::unique_ptr<ConfigFile> file;
};

}  // namespace gateway::proxy::testing

#endif  // GATEWAY_TESTS_PROXY_PROGRAM_HPP_
