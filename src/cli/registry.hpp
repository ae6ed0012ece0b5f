// `gatewayctl registry`: the list service, a member's agent, and the operators' calls to the service.
#ifndef GATEWAY_CLI_REGISTRY_HPP_
#define GATEWAY_CLI_REGISTRY_HPP_

#include <CLI/CLI.hpp>
#include <functional>

namespace gateway::cli {

// `chosen` is set to what the command line asks for; its result is the exit code.
void AddRegistry(CLI::App& app, std::function<int()>& chosen);

}  // namespace gateway::cli

#endif  // GATEWAY_CLI_REGISTRY_HPP_
