// What the files of the subcommands share: how a subcommand is selected, exit codes, and reading of files.
#ifndef GATEWAY_CLI_SUBCOMMAND_HPP_
#define GATEWAY_CLI_SUBCOMMAND_HPP_

#include <CLI/CLI.hpp>
#include <functional>
#include <string>
#include <utility>

namespace gateway::cli {

// Runs a subcommand with the options that the command line gave, and returns the exit code of the program.
// Throws base::ConfigError for a wrong file and other exceptions for what can't be done at all.
using Command = std::function<int()>;

inline constexpr int kSuccess = 0;
inline constexpr int kFailure = 1;       // a bound or rule was violated, a gateway answered with a failure
inline constexpr int kUsageError = 2;    // wrong arguments or files
inline constexpr int kInconclusive = 3;  // a speed could not be judged on this machine

// The programs that subcommands start.
struct ProgramPaths {
  std::string gatewayctl;  // this program
  std::string gateway;
};

// Makes the command line that names `subcommand` set `selected` to `command`, which has to share ownership of
// its options. `selected` outlives the parser.
inline void SelectWhenGiven(CLI::App& subcommand, Command& selected, Command command) {
  subcommand.callback([&selected, command = std::move(command)] { selected = command; });
}

// Reads a complete file. Throws std::runtime_error where it can't be read.
std::string ReadFile(const std::string& path);

}  // namespace gateway::cli

#endif  // GATEWAY_CLI_SUBCOMMAND_HPP_
