// `gatewayctl lab`: experiments on fleets of gateways with faults, and what is done with their results.
#ifndef GATEWAY_CLI_LAB_HPP_
#define GATEWAY_CLI_LAB_HPP_

#include <CLI/CLI.hpp>

#include "cli/subcommand.hpp"

namespace gateway::cli {

inline constexpr const char* kLabExitCodes =
    "Exit codes: 0 all held, 1 a bound or rule was broken, 2 wrong use, 3 a speed could not be judged.";

void AddLab(CLI::App& app, const ProgramPaths& programs, Command& selected);

}  // namespace gateway::cli

#endif  // GATEWAY_CLI_LAB_HPP_
