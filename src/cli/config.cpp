#include "cli/config.hpp"

#include <fmt/format.h>

#include <memory>
#include <string_view>

#include "base/config_error.hpp"
#include "lab/experiment.hpp"
#include "proxy/config.hpp"

namespace gateway::cli {
namespace {

proxy::Config LoadGatewayConfig(const std::string& path) {
  // Stands in for an environment in which only NODE_CONFIG is set.
  const auto read_variable = [&](const char* name) {
    return std::string_view(name) == "NODE_CONFIG" ? path.c_str() : nullptr;
  };
  try {
    return proxy::LoadConfig(read_variable);
  } catch (const base::ConfigError& error) {
    throw base::ConfigError(path + ": " + error.what());
  }
}

int CheckExperiment(const std::string& path) {
  const lab::Experiment experiment = lab::ReadExperiment(path);
  fmt::print(
      "{}: experiment '{}': {} gateways, {} hosts, {:.0f} requests/s of a capacity of {:.0f}, {} faults, {} "
      "bounds\n",
      path, experiment.name, experiment.fleet.gateways, experiment.HostCount(), experiment.traffic.rate,
      experiment.Capacity(), experiment.faults.size(), experiment.bounds.size());
  return kSuccess;
}

}  // namespace

int CheckGatewayConfig(const std::string& path) {
  const proxy::Config config = LoadGatewayConfig(path);
  fmt::print(
      "{}: gateway {} of {} in zone '{}': {} classes, {} tenants, {} known hosts, {} file descriptors\n",
      path, config.settings.gateway_index, config.settings.gateway_count, config.settings.zone,
      config.settings.classes.size(), config.settings.tenants.size(), config.initial_list.endpoints.size(),
      config.max_descriptors);
  return kSuccess;
}

void AddConfig(CLI::App& app, Command& selected) {
  CLI::App* const config = app.add_subcommand("config", "Checks configuration files");
  config->require_subcommand(1);
  config->footer("Example: gatewayctl config check experiments/steady-3x12.toml");
  CLI::App* const check =
      config->add_subcommand("check", "Checks that an experiment file (.toml) is valid and prints a summary");
  const auto path = std::make_shared<std::string>();
  check->add_option("FILE", *path, "Experiment file (see experiments/)")->required();
  check->footer("Example: gatewayctl config check experiments/steady-3x12.toml");
  SelectWhenGiven(*check, selected, [path] { return CheckExperiment(*path); });
}

}  // namespace gateway::cli
