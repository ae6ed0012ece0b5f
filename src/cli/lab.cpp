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
  std::string json;  // path of the result file; if empty, no file is written
  lab::RunOptions lab;
};

struct ScheduleOptions {
  std::string file;
  std::uint64_t seed = 1;
};

// The paths of the two results to compare.
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
    case lab::Verdict::Kind::kInconclusive: return "inconclusive";
  }
  return "";
}

// Returns kFailure if a bound or rule is violated. Otherwise returns kInconclusive if a bound could not be
// evaluated, and kSuccess if all bounds hold.
int PrintVerdicts(const std::vector<lab::Verdict>& verdicts) {
  int code = kSuccess;
  for (const lab::Verdict& verdict : verdicts) {
    fmt::print("{:12} {}\n", VerdictWord(verdict.kind), verdict.text);
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
  CLI::App* const run = lab.add_subcommand("run", "Runs an experiment and checks its bounds and rules");
  run->add_option("FILE", options->file, "Experiment file (see experiments/)")->required();
  run->add_option("--seed", options->lab.seed, "Seed of the schedule and of all random numbers")
      ->capture_default_str();
  run->add_option("--repeat", options->lab.repeats,
                  "Number of runs of each variant; each run adds 1 to the seed of the run before")
      ->check(CLI::Range(1, 1000))
      ->capture_default_str();
  run->add_option("--gateway", options->lab.gateway, "Command that starts the gateway under test")
      ->capture_default_str();
  run->add_option("--baseline", options->lab.earlier,
                  "Command that starts an earlier build of the gateway, run as the variant 'earlier'");
  run->add_option("--json", options->json, "File to which all figures and time series are written as JSON");
  run->add_option("--logs", options->lab.log_folder, "Folder in which the logs of all processes are kept");
  run->footer(std::string(kLabExitCodes) +
              "\nExample: gatewayctl lab run experiments/steady-3x12.toml --repeat 3 --json steady.json");
  SelectWhenGiven(*run, selected, [options] { return RunExperimentFile(*options); });
}

// Prints the schedule of an experiment. If the file name ends with .json, checks the file as a gateway
// configuration instead.
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
  CLI::App* const schedule =
      lab.add_subcommand("schedule", "Prints the timeline of faults and the arrival of each request");
  schedule
      ->add_option("FILE", options->file,
                   "Experiment file (.toml). A gateway configuration (.json) is checked instead.")
      ->required();
  schedule->add_option("--seed", options->seed, "Seed of the schedule")->capture_default_str();
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
  CLI::App* const compare = lab.add_subcommand("compare", "Compares the figures of two results");
  compare->add_option("A", options->first, "Result file of 'lab run --json'")->required();
  compare->add_option("B", options->second, "Result file to compare with A")->required();
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
      lab.add_subcommand("plot", "Plots the time series of a result and writes a report with all plots");
  plot->add_option("RESULT", *result, "Result file of 'lab run --json'")->required();
  plot->add_option("DIR", *folder, "Folder for the plots and report.html")->required();
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
  CLI::App* const registry = lab.add_subcommand(
      "registry", "Measures the list service under load, with its state on this machine's disk");
  registry->add_option("--members", load->members, "Number of members that renew their leases")
      ->check(CLI::Range(1, 20000))
      ->capture_default_str();
  registry->add_option("--watchers", load->watchers, "Number of watchers that wait for changes")
      ->check(CLI::Range(1, 20000))
      ->capture_default_str();
  registry
      ->add_option("--changes", load->changes, "Number of changes whose delivery to all watchers is measured")
      ->check(CLI::Range(1, 1000))
      ->capture_default_str();
  registry
      ->add_option("--history", load->history,
                   "Number of changes in the log when the service is killed and its restart is measured")
      ->check(CLI::Range(1000, 1000000))
      ->capture_default_str();
  registry->footer("Example: gatewayctl lab registry --watchers 5000");
  SelectWhenGiven(*registry, selected, [load] { return PrintRegistryLoad(*load); });
}

void AddStandIn(CLI::App& lab, Command& selected) {
  const auto options = std::make_shared<lab::StandInOptions>();
  CLI::App* const stand_in = lab.add_subcommand(
      "stand-in", "Runs a minimal gateway as a baseline or with a built-in defect (used by the lab)");
  stand_in->add_option("--policy", options->policy, "Load balancing policy")
      ->check(CLI::IsMember(lab::StandInPolicies()))
      ->capture_default_str();
  stand_in->add_option("--fault", options->fault, "Built-in defect of the gateway")
      ->check(CLI::IsMember(lab::StandInFaults()))
      ->capture_default_str();
  stand_in->footer("Example: gatewayctl lab run FILE --gateway 'gatewayctl lab stand-in --fault twice'");
  SelectWhenGiven(*stand_in, selected, [options] { return lab::ServeStandIn(*options); });
}

}  // namespace

void AddLab(CLI::App& app, const ProgramPaths& programs, Command& selected) {
  CLI::App* const lab = app.add_subcommand(
      "lab",
      "Runs experiments on fleets of gateways with injected faults, on this machine's loopback interface");
  lab->require_subcommand(1);
  lab->footer("Example: gatewayctl lab run experiments/gateway-killed.toml --seed 3 --json out.json");
  // The help text lists the subcommands in this order.
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
