// `gatewayctl registry`: runs the list service or a member's agent, and sends operators' requests to the
// service.
#ifndef GATEWAY_CLI_REGISTRY_HPP_
#define GATEWAY_CLI_REGISTRY_HPP_

#include <CLI/CLI.hpp>

#include "cli/subcommand.hpp"

namespace gateway::cli {

void AddRegistry(CLI::App& app, Command& selected);

}  // namespace gateway::cli

#endif  // GATEWAY_CLI_REGISTRY_HPP_
