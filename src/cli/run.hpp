// `gatewayctl run`: supervises one gateway process.
#ifndef GATEWAY_CLI_RUN_HPP_
#define GATEWAY_CLI_RUN_HPP_

#include <CLI/CLI.hpp>

#include "cli/subcommand.hpp"

namespace gateway::cli {

// Adds the subcommand `run`. The subcommand starts a gateway and restarts it after a crash. It stops when the
// gateway exits with success, when this program is asked to terminate, or when base::Supervisor detects a
// crash loop. It forwards SIGTERM, SIGINT, SIGHUP, SIGUSR1 and SIGUSR2 to the gateway. The exit code is the
// exit code of the gateway, 128 + N if signal N ended the gateway or arrived while no gateway ran, or 4 after
// a crash loop. Throws std::runtime_error if no process can be started.
void AddRun(CLI::App& app, const ProgramPaths& programs, Command& selected);

}  // namespace gateway::cli

#endif  // GATEWAY_CLI_RUN_HPP_
