// `gatewayctl config`: checks configuration files.
#ifndef GATEWAY_CLI_CONFIG_HPP_
#define GATEWAY_CLI_CONFIG_HPP_

#include <CLI/CLI.hpp>
#include <string>

#include "cli/subcommand.hpp"

namespace gateway::cli {

void AddConfig(CLI::App& app, Command& selected);

// Reads and validates a gateway's configuration file as the gateway does at startup, and prints a summary.
// Ignores the environment variables that override fields of the file. Throws base::ConfigError with a text
// that begins with the path.
int CheckGatewayConfig(const std::string& path);

}  // namespace gateway::cli

#endif  // GATEWAY_CLI_CONFIG_HPP_
