// `gatewayctl state`: examines the folder in which a program saves its state, without writing to it.
#ifndef GATEWAY_CLI_STATE_HPP_
#define GATEWAY_CLI_STATE_HPP_

#include <CLI/CLI.hpp>

#include "cli/subcommand.hpp"

namespace gateway::cli {

void AddState(CLI::App& app, Command& selected);

}  // namespace gateway::cli

#endif  // GATEWAY_CLI_STATE_HPP_
