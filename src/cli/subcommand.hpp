// Utilities of all subcommands: selection of the subcommand to run, exit codes, and file reading.
#ifndef GATEWAY_CLI_SUBCOMMAND_HPP_
#define GATEWAY_CLI_SUBCOMMAND_HPP_

#include <CLI/CLI.hpp>
#include <functional>
#include <string>
#include <utility>

namespace gateway::cli {

// Runs a subcommand with the options from the command line and returns the exit code of the program. Throws
// base::ConfigError for an invalid configuration file, and other exceptions if the subcommand can't be
// executed for another reason.
using Command = std::function<int()>;

inline constexpr int kSuccess = 0;
inline constexpr int kFailure = 1;       // the subcommand ran and reports a failure, such as a violated bound
inline constexpr int kUsageError = 2;    // invalid arguments or files, or an unexpected error
inline constexpr int kInconclusive = 3;  // a bound could not be evaluated (lab::Verdict)

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

// Returns the content of a file. Throws std::runtime_error if the file can't be read.
std::string ReadFile(const std::string& path);

}  // namespace gateway::cli

#endif  // GATEWAY_CLI_SUBCOMMAND_HPP_
