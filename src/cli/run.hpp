// `gatewayctl run`: supervises one gateway process.
#ifndef GATEWAY_CLI_RUN_HPP_
#define GATEWAY_CLI_RUN_HPP_

#include <CLI/CLI.hpp>

#include "cli/subcommand.hpp"

namespace gateway::cli {

// The command starts a gateway and restarts it after a crash, until it ends with success, is asked to end or
// crashes in a loop (base::Supervisor). Passes SIGTERM, SIGINT, SIGHUP, SIGUSR1 and SIGUSR2 on. Its exit code
// is that of the gateway, 128 + N after signal N, or 4 after a crash loop. Throws std::runtime_error where no
// process can be started.
void AddRun(CLI::App& app, const ProgramPaths& programs, Command& selected);

}  // namespace gateway::cli

#endif  // GATEWAY_CLI_RUN_HPP_
