// `gatewayctl lab scale`: runs sweeps, storms and the comparison of hollow gateways with real ones.
// `gatewayctl lab hollow-gateways`: the process with hollow gateways that these experiments start.
#ifndef GATEWAY_CLI_SCALE_HPP_
#define GATEWAY_CLI_SCALE_HPP_

#include <CLI/CLI.hpp>

#include "cli/subcommand.hpp"

namespace gateway::cli {

void AddScale(CLI::App& lab, const ProgramPaths& programs, Command& selected);
void AddHollowGateways(CLI::App& lab, Command& selected);

}  // namespace gateway::cli

#endif  // GATEWAY_CLI_SCALE_HPP_
