// src/cli: `gatewayctl`, the command for people. Reads arguments and files and calls the subsystems; decides
// nothing.
#include <fmt/format.h>
#include <signal.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "base/descriptor_limit.hpp"
#include "cli/call.hpp"
#include "cli/registry.hpp"
#include "cli/run.hpp"
#include "cli/scale.hpp"
#include "cli/state.hpp"
#include "lab/lab.hpp"
#include "lab/registry_load.hpp"
#include "lab/schedule.hpp"
#include "lab/stand_in.hpp"
#include "proxy/config.hpp"

namespace {

namespace base = gateway::base;
namespace cli = gateway::cli;
namespace lab = gateway::lab;

constexpr int kHeld = 0, kBroken = 1, kWrongUse = 2, kNotJudged = 3;
constexpr const char* kExitCodes =
    "Exit codes: 0 all held, 1 a bound or rule was broken, 2 wrong use, 3 a speed could not be judged.";

std::string ReadAll(const std::string& path) {
  std::ifstream stream(path, std::ios::binary);
  if (!stream) throw std::runtime_error("can't read '" + path + "'");
  std::stringstream text;
  text << stream.rdbuf();
  return text.str();
}

// This program's own path, and that of a sibling.
std::filesystem::path Self() { return std::filesystem::read_symlink("/proc/self/exe"); }

int RunLab(const std::string& file, lab::RunOptions options, const std::string& json) {
  const lab::Experiment experiment = lab::ReadExperiment(file);
  base::RaiseDescriptorLimit();  // each emulated host has a socket for each gateway
  signal(SIGINT, [](int) { lab::Interrupt(); });
  signal(SIGTERM, [](int) { lab::Interrupt(); });
  signal(SIGPIPE, SIG_IGN);
  options.progress = isatty(STDERR_FILENO) != 0;
  const lab::Results results = lab::Run(experiment, options);
  if (options.progress) fmt::print(stderr, "\r{:78}\r", "");
  if (!json.empty()) {
    std::ofstream out(json);
    out << lab::ToJson(results) << '\n';
    if (!out.flush()) throw std::runtime_error("can't write '" + json + "'");
  }
  fmt::print("{}: {}\n", results.experiment, results.about);
  for (const std::string& line : lab::FaultTimeline(experiment)) fmt::print("  {}\n", line);
  fmt::print("\n{}\n", lab::Summary(results));
  for (const lab::Play& play : results.plays) {
    for (const std::string& breach : play.breaches)
      fmt::print("{}, seed {}: {}\n", play.variant, play.seed, breach);
  }
  int code = kHeld;
  for (const lab::Verdict& verdict : lab::Judge(experiment, results)) {
    using Kind = lab::Verdict::Kind;
    fmt::print("{:10} {}\n",
               verdict.kind == Kind::kHeld     ? "held"
               : verdict.kind == Kind::kBroken ? "BROKEN"
                                               : "not judged",
               verdict.text);
    if (verdict.kind == Kind::kBroken) code = kBroken;
    if (verdict.kind == Kind::kNotJudged && code == kHeld) code = kNotJudged;
  }
  return code;
}

// Reads it as the gateway does at its start, but for the variables that win over its fields.
int CheckGateway(const std::string& file) {
  const auto variable = [&](const char* name) {
    return std::string_view(name) == "NODE_CONFIG" ? file.c_str() : nullptr;
  };
  const auto config = [&] {
    try {
      return gateway::proxy::LoadConfig(variable);
    } catch (const base::ConfigError& error) {
      throw base::ConfigError(file + ": " + error.what());
    }
  }();
  fmt::print("{}: gateway {} of {} in zone '{}': {} classes, {} tenants, {} hosts known, {} descriptors\n",
             file, config.settings.gateway_index, config.settings.gateway_count, config.settings.zone,
             config.settings.classes.size(), config.settings.tenants.size(), config.known.endpoints.size(),
             config.sockets);
  return kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"gatewayctl: a gateway fleet's lab and tools"};
  app.require_subcommand(1);
  app.footer(std::string(kExitCodes) + "\nExample: gatewayctl lab run experiments/steady-3x12.toml");
  std::function<int()> chosen;

  CLI::App* const lab_command =
      app.add_subcommand("lab", "Plays fleets with faults on this machine's loopback");
  lab_command->require_subcommand(1);
  lab_command->footer("Example: gatewayctl lab run experiments/gateway-killed.toml --seed 3 --json out.json");

  std::string file, json, other;
  lab::RunOptions options;
  options.self = Self().string();
  options.gateway = (Self().parent_path() / "gateway").string();
  CLI::App* const run = lab_command->add_subcommand("run", "Plays an experiment and judges its bounds");
  run->add_option("FILE", file, "The experiment, see experiments/")->required();
  run->add_option("--seed", options.seed, "Of the schedule and all draws")->capture_default_str();
  run->add_option("--repeat", options.repeats, "Plays, each with the next seed")
      ->check(CLI::Range(1, 1000))
      ->capture_default_str();
  run->add_option("--gateway", options.gateway, "Command of the program under test")->capture_default_str();
  run->add_option("--baseline", options.earlier, "Command of an earlier build, played as 'earlier'");
  run->add_option("--json", json, "Write all figures and series there");
  run->add_option("--logs", options.logs, "Keep the processes' logs in this folder");
  run->footer(std::string(kExitCodes) +
              "\nExample: gatewayctl lab run experiments/steady-3x12.toml --repeat 3 --json steady.json");
  run->callback([&] { chosen = [&] { return RunLab(file, options, json); }; });

  CLI::App* const schedule =
      lab_command->add_subcommand("schedule", "Prints the arrivals and the timeline of faults");
  schedule->add_option("FILE", file, "The experiment")->required();
  schedule->add_option("--seed", options.seed, "Of the schedule")->capture_default_str();
  schedule->footer("Example: gatewayctl lab schedule experiments/steady-3x12.toml --seed 2 | sha256sum");
  schedule->callback([&] {
    chosen = [&] {
      if (file.ends_with(".json")) return CheckGateway(file);
      const lab::Experiment experiment = lab::ReadExperiment(file);
      for (const std::string& line : lab::FaultTimeline(experiment)) fmt::print("{}\n", line);
      lab::Schedule arrivals(experiment, options.seed);
      while (const auto arrival = arrivals.Next()) fmt::print("{}\n", arrival->ToText());
      return kHeld;
    };
  });

  CLI::App* const compare = lab_command->add_subcommand("compare", "Sets two results side by side");
  compare->add_option("A", file, "A result of 'lab run --json'")->required();
  compare->add_option("B", other, "Another")->required();
  compare->footer("Example: gatewayctl lab compare before.json after.json");
  compare->callback([&] {
    chosen = [&] {
      fmt::print("{}", lab::Compare(lab::ResultsFromJson(ReadAll(file), file),
                                    lab::ResultsFromJson(ReadAll(other), other)));
      return kHeld;
    };
  });

  CLI::App* const plot =
      lab_command->add_subcommand("plot", "Draws a result over time, and a report that holds it all");
  plot->add_option("RESULT", file, "A result of 'lab run --json'")->required();
  plot->add_option("DIR", other, "Folder for the pictures and report.html")->required();
  plot->footer("Needs gnuplot (Debian: gnuplot-nox).\nExample: gatewayctl lab plot out.json report");
  plot->callback([&] {
    chosen = [&] {
      lab::Plot(lab::ResultsFromJson(ReadAll(file), file), other);
      fmt::print("{}/report.html\n", other);
      return kHeld;
    };
  });

  lab::RegistryLoad load;
  load.program = options.self;
  CLI::App* const bear =
      lab_command->add_subcommand("registry", "Measures what the list service bears, on this machine's disk");
  bear->add_option("--members", load.members, "That renew")
      ->check(CLI::Range(1, 20000))
      ->capture_default_str();
  bear->add_option("--watchers", load.watchers, "That wait")
      ->check(CLI::Range(1, 20000))
      ->capture_default_str();
  bear->add_option("--changes", load.changes, "Timed to all watchers")
      ->check(CLI::Range(1, 1000))
      ->capture_default_str();
  bear->add_option("--history", load.history, "Changes before the kill")
      ->check(CLI::Range(1000, 1000000))
      ->capture_default_str();
  bear->footer("Example: gatewayctl lab registry --watchers 5000");
  bear->callback([&] {
    chosen = [&] {
      base::RaiseDescriptorLimit();
      signal(SIGPIPE, SIG_IGN);
      for (const auto& [name, value] : lab::MeasureRegistry(load)) fmt::print("{:28} {:.6g}\n", name, value);
      return kHeld;
    };
  });

  cli::AddScale(*lab_command, options.self, options.gateway, chosen);

  lab::StandIn stand_in;
  CLI::App* const stand =
      lab_command->add_subcommand("stand-in", "Serves as the plainest gateway, for the lab's own use");
  stand->add_option("--policy", stand_in.policy, "How it picks hosts")
      ->check(CLI::IsMember(lab::StandInPolicies()))
      ->capture_default_str();
  stand->add_option("--fault", stand_in.fault, "What it does wrong")
      ->check(CLI::IsMember(lab::StandInFaults()))
      ->capture_default_str();
  stand->footer("Example: gatewayctl lab run FILE --gateway 'gatewayctl lab stand-in --fault twice'");
  stand->callback([&] { chosen = [&] { return lab::ServeStandIn(stand_in); }; });

  CLI::App* const config = app.add_subcommand("config", "Looks at configuration files");
  config->require_subcommand(1);
  config->footer("Example: gatewayctl config check experiments/steady-3x12.toml");
  CLI::App* const check = config->add_subcommand(
      "check", "Says whether a file is right: an experiment (.toml) or a gateway's (.json)");
  check->add_option("FILE", file, "The file")->required();
  check->footer("Example: gatewayctl config check experiments/steady-3x12.toml");
  check->callback([&] {
    chosen = [&] {
      const lab::Experiment e = lab::ReadExperiment(file);
      fmt::print(
          "{}: experiment '{}': {} gateways, {} hosts, {:.0f} requests/s of {:.0f}, {} faults, {} bounds\n",
          file, e.name, e.fleet.gateways, e.HostCount(), e.traffic.rate, e.Capacity(), e.faults.size(),
          e.bounds.size());
      return kHeld;
    };
  });

  std::string address, call;
  CLI::App* const operators =
      app.add_subcommand("call", "Calls a gateway where its operators do (NODE_MGMT)");
  operators->add_option("ADDRESS", address, "Address and port")->required();
  operators->add_option("CALL", call, "What to ask")
      ->required()
      ->check(CLI::IsMember({"check", "vars", "metrics", "drain-on", "drain-off"}));
  operators->footer(
      "Exit codes: 0 SUCCESS or figures, 1 FAILURE or no answer, 2 wrong use.\nExample: gatewayctl call "
      "127.0.0.1:3001 check");
  operators->callback([&] {
    chosen = [&] {
      const cli::CallAnswer answer = cli::Call(address, call);
      fmt::print("{}", answer.text);
      return answer.success ? kHeld : kBroken;
    };
  });

  std::string command = options.gateway;
  CLI::App* const keep = app.add_subcommand("run", "Keeps one gateway alive: starts it again after a crash");
  keep->add_option("--command", command, "What to start, for /bin/sh")->capture_default_str();
  keep->footer(
      "Exit codes: the command's own once it ends as told or by itself with 0, 128 + N after signal N, 4 "
      "given up on a "
      "crash loop.\nExample: NODE_CONFIG=n3.json gatewayctl run");
  keep->callback([&] { chosen = [&] { return cli::KeepRunning(command); }; });

  CLI::App* const state =
      app.add_subcommand("state", "Looks at a folder that a program keeps its state in; never writes there");
  state->require_subcommand(1);
  state->footer("Example: gatewayctl state verify /var/lib/elderhead/n3");
  const auto look = [&](const char* name, const char* about, const char* example,
                        int (*does)(const std::string&)) {
    CLI::App* const command = state->add_subcommand(name, about);
    command->add_option("DIR", file, "The folder")->required();
    command->footer(
        std::string(
            "Exit codes: 0 whole or empty, 1 damaged or of a newer program, 2 can't be read.\nExample: ") +
        example);
    command->callback([&, does] { chosen = [&, does] { return does(file); }; });
  };
  look("inspect", "Tells what is there, file by file", "gatewayctl state inspect /var/lib/elderhead/n3",
       cli::InspectState);
  look("verify", "Tells in a line whether all of it is whole",
       "gatewayctl state verify /var/lib/elderhead/n3", cli::VerifyState);
  look("export", "Prints the believed snapshot and records as JSON, a line each",
       "gatewayctl state export DIR | head -1", cli::ExportState);

  cli::AddRegistry(app, chosen);

  CLI::App* const version = app.add_subcommand("version", "Prints the version");
  version->callback([&] {
    chosen = [] {
      fmt::print("elderhead {}\n", GATEWAY_VERSION);
      return kHeld;
    };
  });

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kHeld : kWrongUse;
  }
  try {
    return chosen();
  } catch (const base::ConfigError& error) {
    fmt::print(stderr, "{}\n", error.what());
    return kWrongUse;
  } catch (const cli::CallFailure& error) {
    fmt::print(stderr, "gatewayctl: {}\n", error.what());
    return kBroken;
  } catch (const std::exception& error) {
    fmt::print(stderr, "gatewayctl: {}\n", error.what());
    return kWrongUse;
  }
}
