// `gatewayctl lab`: runs experiments with faults on fleets of gateways, and compares and plots their results.
#ifndef GATEWAY_CLI_LAB_HPP_
#define GATEWAY_CLI_LAB_HPP_

#include <CLI/CLI.hpp>

#include "cli/subcommand.hpp"

namespace gateway::cli {

inline constexpr const char* kLabExitCodes =
    "Exit codes: 0 all bounds and rules held, 1 a bound or rule was violated, 2 invalid arguments, 3 a bound "
    "could not be evaluated.";

void AddLab(CLI::App& app, const ProgramPaths& programs, Command& selected);

}  // namespace gateway::cli

#endif  // GATEWAY_CLI_LAB_HPP_
