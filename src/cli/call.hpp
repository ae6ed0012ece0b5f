// `gatewayctl call`: sends one command to the management address of a gateway.
#ifndef GATEWAY_CLI_CALL_HPP_
#define GATEWAY_CLI_CALL_HPP_

#include <CLI/CLI.hpp>

#include "cli/subcommand.hpp"

namespace gateway::cli {

// Adds the subcommand `call`. The subcommand returns kSuccess for a SUCCESS response or complete metrics, and
// kFailure for any other response, a failed connection, or a response that is not complete within the
// timeout.
void AddCall(CLI::App& app, Command& selected);

}  // namespace gateway::cli

#endif  // GATEWAY_CLI_CALL_HPP_
