#include "cli/lab.hpp"

#include <fmt/format.h>
#include <signal.h>
#include <unistd.h>

#include <fstream>
#include <memory>
#include <stdexcept>
#include <string>

#include "base/descriptor_limit.hpp"
#include "cli/config.hpp"
#include "cli/scale.hpp"
#include "lab/evaluation.hpp"
#include "lab/experiment_runner.hpp"
#include "lab/registry_load.hpp"
#include "lab/report.hpp"
#include "lab/schedule.hpp"
#include "lab/stand_in.hpp"

namespace gateway::cli {
namespace {

struct RunOptions {
  std::string file;
  std::string json;  // where the result is written; empty: nowhere
  lab::RunOptions lab;
};

struct ScheduleOptions {
  std::string file;
  std::uint64_t seed = 1;
};

// The arguments of a subcommand that reads results.
struct ResultOptions {
  std::string first;
  std::string second;
};

void WriteJson(const lab::Results& results, const std::string& path) {
  std::ofstream out(path);
  out << lab::ToJson(results) << '\n';
  if (!out.flush()) throw std::runtime_error("can't write '" + path + "'");
}

void PrintFaultTimeline(const lab::Experiment& experiment, const char* indent) {
  for (const std::string& line : lab::FaultTimeline(experiment)) fmt::print("{}{}\n", indent, line);
}

const char* VerdictWord(lab::Verdict::Kind kind) {
  switch (kind) {
    case lab::Verdict::Kind::kPassed: return "held";
    case lab::Verdict::Kind::kViolated: return "BROKEN";
    case lab::Verdict::Kind::kInconclusive: return "not judged";
  }
  return "";
}

// Returns the exit code that the verdicts make: a violation counts more than one that could not be judged.
int PrintVerdicts(const std::vector<lab::Verdict>& verdicts) {
  int code = kSuccess;
  for (const lab::Verdict& verdict : verdicts) {
    fmt::print("{:10} {}\n", VerdictWord(verdict.kind), verdict.text);
    if (verdict.kind == lab::Verdict::Kind::kViolated) code = kFailure;
    if (verdict.kind == lab::Verdict::Kind::kInconclusive && code == kSuccess) code = kInconclusive;
  }
  return code;
}

int RunExperimentFile(const RunOptions& options) {
  const lab::Experiment experiment = lab::ReadExperiment(options.file);
  base::RaiseDescriptorLimit();  // each emulated host has a socket for each gateway
  signal(SIGINT, [](int) { lab::Interrupt(); });
  signal(SIGTERM, [](int) { lab::Interrupt(); });
  signal(SIGPIPE, SIG_IGN);
  lab::RunOptions run_options = options.lab;
  run_options.progress = isatty(STDERR_FILENO) != 0;
  const lab::Results results = lab::RunExperiment(experiment, run_options);
  if (run_options.progress) fmt::print(stderr, "\r{:78}\r", "");
  if (!options.json.empty()) WriteJson(results, options.json);
  fmt::print("{}: {}\n", results.experiment, results.about);
  PrintFaultTimeline(experiment, "  ");
  fmt::print("\n{}\n", lab::Summary(results));
  for (const lab::RunResult& run : results.runs) {
    for (const std::string& violation : run.violations) {
      fmt::print("{}, seed {}: {}\n", run.variant, run.seed, violation);
    }
  }
  return PrintVerdicts(lab::Evaluate(experiment, results));
}

void AddRunExperiment(CLI::App& lab, const ProgramPaths& programs, Command& selected) {
  const auto options = std::make_shared<RunOptions>();
  options->lab.gatewayctl = programs.gatewayctl;
  options->lab.gateway = programs.gateway;
  CLI::App* const run = lab.add_subcommand("run", "Plays an experiment and judges its bounds");
  run->add_option("FILE", options->file, "The experiment, see experiments/")->required();
  run->add_option("--seed", options->lab.seed, "Of the schedule and all draws")->capture_default_str();
  run->add_option("--repeat", options->lab.repeats, "Plays, each with the next seed")
      ->check(CLI::Range(1, 1000))
      ->capture_default_str();
  run->add_option("--gateway", options->lab.gateway, "Command of the program under test")
      ->capture_default_str();
  run->add_option("--baseline", options->lab.earlier, "Command of an earlier build, played as 'earlier'");
  run->add_option("--json", options->json, "Write all figures and series there");
  run->add_option("--logs", options->lab.log_folder, "Keep the processes' logs in this folder");
  run->footer(std::string(kLabExitCodes) +
              "\nExample: gatewayctl lab run experiments/steady-3x12.toml --repeat 3 --json steady.json");
  SelectWhenGiven(*run, selected, [options] { return RunExperimentFile(*options); });
}

int PrintSchedule(const ScheduleOptions& options) {
  if (options.file.ends_with(".json")) return CheckGatewayConfig(options.file);
  const lab::Experiment experiment = lab::ReadExperiment(options.file);
  PrintFaultTimeline(experiment, "");
  lab::Schedule arrivals(experiment, options.seed);
  while (const auto arrival = arrivals.Next()) fmt::print("{}\n", arrival->ToText());
  return kSuccess;
}

void AddSchedule(CLI::App& lab, Command& selected) {
  const auto options = std::make_shared<ScheduleOptions>();
  CLI::App* const schedule = lab.add_subcommand("schedule", "Prints the arrivals and the timeline of faults");
  schedule->add_option("FILE", options->file, "The experiment")->required();
  schedule->add_option("--seed", options->seed, "Of the schedule")->capture_default_str();
  schedule->footer("Example: gatewayctl lab schedule experiments/steady-3x12.toml --seed 2 | sha256sum");
  SelectWhenGiven(*schedule, selected, [options] { return PrintSchedule(*options); });
}

lab::Results ReadResults(const std::string& path) { return lab::ResultsFromJson(ReadFile(path), path); }

int CompareResults(const ResultOptions& options) {
  const lab::Results first = ReadResults(options.first);
  const lab::Results second = ReadResults(options.second);
  fmt::print("{}", lab::Compare(first, second));
  return kSuccess;
}

void AddCompare(CLI::App& lab, Command& selected) {
  const auto options = std::make_shared<ResultOptions>();
  CLI::App* const compare = lab.add_subcommand("compare", "Sets two results side by side");
  compare->add_option("A", options->first, "A result of 'lab run --json'")->required();
  compare->add_option("B", options->second, "Another")->required();
  compare->footer("Example: gatewayctl lab compare before.json after.json");
  SelectWhenGiven(*compare, selected, [options] { return CompareResults(*options); });
}

int PlotResult(const std::string& result, const std::string& folder) {
  lab::WriteReport(ReadResults(result), folder);
  fmt::print("{}/report.html\n", folder);
  return kSuccess;
}

void AddPlot(CLI::App& lab, Command& selected) {
  const auto result = std::make_shared<std::string>();
  const auto folder = std::make_shared<std::string>();
  CLI::App* const plot =
      lab.add_subcommand("plot", "Draws a result over time, and a report that holds it all");
  plot->add_option("RESULT", *result, "A result of 'lab run --json'")->required();
  plot->add_option("DIR", *folder, "Folder for the pictures and report.html")->required();
  plot->footer("Needs gnuplot (Debian: gnuplot-nox).\nExample: gatewayctl lab plot out.json report");
  SelectWhenGiven(*plot, selected, [result, folder] { return PlotResult(*result, *folder); });
}

int PrintRegistryLoad(const lab::RegistryLoad& load) {
  base::RaiseDescriptorLimit();
  signal(SIGPIPE, SIG_IGN);
  for (const auto& [name, value] : lab::MeasureRegistry(load)) fmt::print("{:28} {:.6g}\n", name, value);
  return kSuccess;
}

void AddRegistryLoad(CLI::App& lab, const ProgramPaths& programs, Command& selected) {
  const auto load = std::make_shared<lab::RegistryLoad>();
  load->program = programs.gatewayctl;
  CLI::App* const registry =
      lab.add_subcommand("registry", "Measures what the list service bears, on this machine's disk");
  registry->add_option("--members", load->members, "That renew")
      ->check(CLI::Range(1, 20000))
      ->capture_default_str();
  registry->add_option("--watchers", load->watchers, "That wait")
      ->check(CLI::Range(1, 20000))
      ->capture_default_str();
  registry->add_option("--changes", load->changes, "Timed to all watchers")
      ->check(CLI::Range(1, 1000))
      ->capture_default_str();
  registry->add_option("--history", load->history, "Changes before the kill")
      ->check(CLI::Range(1000, 1000000))
      ->capture_default_str();
  registry->footer("Example: gatewayctl lab registry --watchers 5000");
  SelectWhenGiven(*registry, selected, [load] { return PrintRegistryLoad(*load); });
}

void AddStandIn(CLI::App& lab, Command& selected) {
  const auto options = std::make_shared<lab::StandInOptions>();
  CLI::App* const stand_in =
      lab.add_subcommand("stand-in", "Serves as the plainest gateway, for the lab's own use");
  stand_in->add_option("--policy", options->policy, "How it picks hosts")
      ->check(CLI::IsMember(lab::StandInPolicies()))
      ->capture_default_str();
  stand_in->add_option("--fault", options->fault, "What it does wrong")
      ->check(CLI::IsMember(lab::StandInFaults()))
      ->capture_default_str();
  stand_in->footer("Example: gatewayctl lab run FILE --gateway 'gatewayctl lab stand-in --fault twice'");
  SelectWhenGiven(*stand_in, selected, [options] { return lab::ServeStandIn(*options); });
}

}  // namespace

void AddLab(CLI::App& app, const ProgramPaths& programs, Command& selected) {
  CLI::App* const lab = app.add_subcommand("lab", "Plays fleets with faults on this machine's loopback");
  lab->require_subcommand(1);
  lab->footer("Example: gatewayctl lab run experiments/gateway-killed.toml --seed 3 --json out.json");
  // In the order of the help text.
  AddRunExperiment(*lab, programs, selected);
  AddSchedule(*lab, selected);
  AddCompare(*lab, selected);
  AddPlot(*lab, selected);
  AddRegistryLoad(*lab, programs, selected);
  AddScale(*lab, programs, selected);
  AddHollowGateways(*lab, selected);
  AddStandIn(*lab, selected);
}

}  // namespace gateway::cli
