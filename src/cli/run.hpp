// `gatewayctl run`: keeps one gateway alive.
#ifndef GATEWAY_CLI_RUN_HPP_
#define GATEWAY_CLI_RUN_HPP_

#include <string>

namespace gateway::cli {

inline constexpr int kGaveUp = 4;  // exit code: it crashed again and again

// Starts the command (of /bin/sh) and starts it again after a crash, until it ends as it was told to or
// crashes in a loop. Passes SIGTERM, SIGINT, SIGHUP, SIGUSR1 and SIGUSR2 on. Returns the exit code: the
// command's own, 128 + N after signal N, or kGaveUp. Throws std::runtime_error if no process can be started
// at all.
int KeepRunning(const std::string& command);

}  // namespace gateway::cli

#endif  // GATEWAY_CLI_RUN_HPP_
