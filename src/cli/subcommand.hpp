// Utilities of all subcommands: selection of a subcommand by the command line, exit codes, and file reading.
#ifndef GATEWAY_CLI_SUBCOMMAND_HPP_
#define GATEWAY_CLI_SUBCOMMAND_HPP_

#include <CLI/CLI.hpp>
#include <functional>
#include <string>
#include <utility>

namespace gateway::cli {

// Runs a subcommand with the options from the command line and returns the exit code of the program. Throws
// base::ConfigError for an invalid file and other exceptions if the subcommand can't be executed.
using Command = std::function<int()>;

inline constexpr int kSuccess = 0;
inline constexpr int kFailure = 1;     // a bound or rule was violated, or a gateway responded with a failure
inline constexpr int kUsageError = 2;  // invalid arguments or files
inline constexpr int kInconclusive = 3;  // this machine was too slow to evaluate a timing bound

// The programs that subcommands start.
struct ProgramPaths {
  std::string gatewayctl;  // this program
  std::string gateway;
};

// Sets `selected` to `command` when the command line names `subcommand`. `command` must share ownership of
// its options, and `selected` must outlive the parser.
inline void SelectWhenGiven(CLI::App& subcommand, Command& selected, Command command) {
  subcommand.callback([&selected, command = std::move(command)] { selected = command; });
}

// Returns the content of a file. Throws std::runtime_error if it can't be read.
std::string ReadFile(const std::string& path);

}  // namespace gateway::cli

#endif  // GATEWAY_CLI_SUBCOMMAND_HPP_
