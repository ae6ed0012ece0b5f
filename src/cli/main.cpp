// gatewayctl: the command line tool for operators and developers. Parses the command line and runs a
// subcommand.
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <exception>
#include <filesystem>

#include "base/config_error.hpp"
#include "cli/call.hpp"
#include "cli/config.hpp"
#include "cli/lab.hpp"
#include "cli/registry.hpp"
#include "cli/run.hpp"
#include "cli/state.hpp"
#include "cli/subcommand.hpp"

namespace {

namespace cli = gateway::cli;

// Returns the paths of this program and of the gateway, which is expected in the same folder.
cli::ProgramPaths FindPrograms() {
  const std::filesystem::path self = std::filesystem::read_symlink("/proc/self/exe");
  return {self.string(), (self.parent_path() / "gateway").string()};
}

void AddVersion(CLI::App& app, cli::Command& selected) {
  CLI::App* const version = app.add_subcommand("version", "Prints the version of this program");
  cli::SelectWhenGiven(*version, selected, [] {
    fmt::print("elderhead {}\n", GATEWAY_VERSION);
    return cli::kSuccess;
  });
}

// Adds the subcommands in the order in which the help text lists them.
void AddSubcommands(CLI::App& app, const cli::ProgramPaths& programs, cli::Command& selected) {
  cli::AddLab(app, programs, selected);
  cli::AddConfig(app, selected);
  cli::AddCall(app, selected);
  cli::AddRun(app, programs, selected);
  cli::AddState(app, selected);
  cli::AddRegistry(app, selected);
  AddVersion(app, selected);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"gatewayctl: tests, inspects and operates a fleet of gateways"};
  app.require_subcommand(1);
  app.footer(std::string(cli::kLabExitCodes) + "\nExample: gatewayctl lab run experiments/steady-3x12.toml");
  cli::Command selected;
  AddSubcommands(app, FindPrograms(), selected);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? cli::kSuccess : cli::kUsageError;
  }
  try {
    return selected();
  } catch (const gateway::base::ConfigError& error) {
    fmt::print(stderr, "{}\n", error.what());
  } catch (const std::exception& error) {
    fmt::print(stderr, "gatewayctl: {}\n", error.what());
  }
  return cli::kUsageError;
}
