// `gatewayctl call`: one call to the management address of a gateway.
#ifndef GATEWAY_CLI_CALL_HPP_
#define GATEWAY_CLI_CALL_HPP_

#include <CLI/CLI.hpp>

#include "cli/subcommand.hpp"

namespace gateway::cli {

// The command ends with kSuccess for SUCCESS or metrics that are complete, and with kFailure for any other
// answer, no connection, or no complete answer in time.
void AddCall(CLI::App& app, Command& selected);

}  // namespace gateway::cli

#endif  // GATEWAY_CLI_CALL_HPP_
