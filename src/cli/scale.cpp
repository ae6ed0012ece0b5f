#include "cli/scale.hpp"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <vector>

#include "base/clock.hpp"
#include "base/descriptor_limit.hpp"
#include "base/millis.hpp"
#include "base/socket_address.hpp"
#include "lab/scale/fleet_measurer.hpp"
#include "lab/scale/hollow_comparison.hpp"
#include "lab/scale/hollow_process.hpp"
#include "lab/scale/scale_plot.hpp"
#include "lab/scale/scale_sweep.hpp"
#include "lab/scale/storms.hpp"

namespace gateway::cli {
namespace {

constexpr unsigned kDeadlineMarginSeconds = 15;  // time after the deadline until SIGALRM ends this process
constexpr double kMillisPerSecond = 1000;

struct ScaleOptions {
  std::vector<std::string> files;
  std::string json_dir = "docs/results/scale";
  std::string revision;
  bool quick = false;
  bool plots = true;
  bool compare = false;    // run the comparison of hollow gateways with real ones first
  int runs = 0;            // runs of each point; 0: the value in the file
  std::uint64_t seed = 0;  // seed of the first run; 0: the value in the file
  lab::ScalePrograms programs;
};

void WriteFile(const std::filesystem::path& path, const std::string& text) {
  std::filesystem::create_directories(path.parent_path());
  std::ofstream out(path, std::ios::binary);
  out << text;
  if (!out.flush()) throw std::runtime_error("can't write '" + path.string() + "'");
}

void PrintProgress(const std::string& line) { fmt::print(stderr, "{}\n", line); }

double Mean(const lab::RunValues& values) {
  double sum = 0;
  for (const double value : values) sum += value;
  return values.empty() ? 0 : sum / static_cast<double>(values.size());
}

void PrintResult(const lab::ScaleResult& result) {
  fmt::print("\n{}: {}\n", result.name, result.about);
  for (const lab::ScalePoint& point : result.points) {
    fmt::print("  {} = {:g}\n", result.axis, point.value);
    for (const auto& [role, figures] : point.roles) {
      fmt::print("    {:14}", role);
      for (const auto& [figure, values] : figures) fmt::print(" {} {:.4g}", figure, Mean(values));
      fmt::print("\n");
    }
  }
  for (const lab::RefusedPoint& refused : result.refused) {
    fmt::print("  {} = {:g} refused: {}\n", result.axis, refused.value, refused.reason);
  }
  for (const lab::ScaleFit& fit : result.fits) {
    fmt::print("  {:14} {:28} {:8} {:.4g} + {:.4g} x, r2 {:.3f}; at {:g}: {:.4g} ({:.4g} to {:.4g}{})\n",
               fit.role, fit.figure, lab::GrowthModelName(fit.model), fit.offset, fit.slope, fit.r2,
               fit.at_full.x, fit.at_full.value, fit.at_full.low, fit.at_full.high,
               fit.at_full.extrapolated ? ", extrapolated" : "");
  }
}

int RunSweepFile(const lab::ScaleExperiment& experiment, const ScaleOptions& options, base::Millis deadline) {
  lab::FleetMeasurer measurer(experiment, options.programs, options.quick, deadline);
  lab::SweepOptions sweep;
  sweep.quick = options.quick;
  sweep.runs = options.runs;
  sweep.seed = options.seed;
  sweep.deadline = deadline;
  sweep.on_progress = PrintProgress;
  lab::ScaleResult result = lab::RunSweep(experiment, measurer, sweep);
  result.revision = options.revision;
  const std::filesystem::path folder(options.json_dir);
  WriteFile(folder / (result.name + ".json"), lab::ToJson(result).dump(1) + "\n");
  PrintResult(result);
  if (options.plots && !result.points.empty()) lab::WriteScalePlots(result, folder);
  return result.points.empty() ? kFailure : kSuccess;
}

int RunStormsFile(const lab::ScaleExperiment& experiment, const ScaleOptions& options,
                  base::Millis deadline) {
  const std::vector<lab::StormResult> storms = lab::RunStorms(
      experiment, options.programs, {options.quick, options.runs, options.seed, deadline, PrintProgress});
  WriteFile(std::filesystem::path(options.json_dir) / (experiment.name + ".json"),
            lab::StormsToJson(storms).dump(1) + "\n");
  for (const lab::StormResult& storm : storms) {
    fmt::print(
        "{:22} peak {:.4g} bytes/s, {:.0f}% of a core, {:.0f} requests queued; all gateways up to date after "
        "{:.0f} ms\n",
        storm.storm, storm.peak_bytes_per_s, storm.peak_cpu_percent, storm.peak_queue, storm.convergence_ms);
  }
  return kSuccess;
}

int RunComparison(const lab::ScaleExperiment& experiment, const ScaleOptions& options,
                  base::Millis deadline) {
  const lab::HollowComparison comparison =
      lab::CompareHollowGateways(options.programs, options.quick ? experiment.quick_fixed : experiment.fixed,
                                 options.quick ? experiment.quick_windows : experiment.windows,
                                 options.runs > 0 ? options.runs : experiment.runs,
                                 options.seed > 0 ? options.seed : experiment.seed, deadline);
  WriteFile(std::filesystem::path(options.json_dir) / (experiment.name + ".json"),
            lab::ToJson(comparison).dump(1) + "\n");
  fmt::print("{} hollow gateways compared with as many real gateways, measured at the list service:\n",
             comparison.gateways);
  for (const lab::LoadRatio& ratio : comparison.ratios) {
    fmt::print("  {:18} real {:10.6g} hollow {:10.6g} ratio {:.3f}\n", ratio.figure, ratio.real, ratio.hollow,
               ratio.ratio());
  }
  const bool holds = comparison.IsWithinTolerance(/*include_machine_dependent=*/true);
  fmt::print("{}\n", holds ? "held: each ratio is within 10% of 1"
                           : "BROKEN: a ratio differs from 1 by more than 10%");
  return holds ? kSuccess : kFailure;
}

int RunScaleExperiment(const lab::ScaleExperiment& experiment, const ScaleOptions& options,
                       base::Millis deadline) {
  switch (experiment.kind) {
    case lab::ScaleKind::kStorms: return RunStormsFile(experiment, options, deadline);
    case lab::ScaleKind::kComparison: return RunComparison(experiment, options, deadline);
    case lab::ScaleKind::kSweep: break;
  }
  return RunSweepFile(experiment, options, deadline);
}

// Schedules a SIGALRM that ends this process, and with it all processes that it started, if a step hangs.
void SetWatchdog(base::Millis timeout) {
  alarm(static_cast<unsigned>(std::ceil(timeout / kMillisPerSecond)) + kDeadlineMarginSeconds);
}

void ClearWatchdog() { alarm(0); }

// Reads the experiments of all files, so that an invalid file is reported before any experiment runs. Throws
// base::ConfigError for an experiment that exceeds the limits of this machine.
std::vector<lab::ScaleExperiment> ReadExperiments(const ScaleOptions& options) {
  const lab::ScaleLimits limits = lab::LimitsOfThisMachine();
  std::vector<lab::ScaleExperiment> experiments;
  if (options.compare) experiments.push_back(lab::StandardComparison());
  for (const std::string& file : options.files) experiments.push_back(lab::ReadScaleExperiment(file, limits));
  return experiments;
}

int RunScaleExperiments(const ScaleOptions& options) {
  if (options.files.empty() && !options.compare)
    throw std::invalid_argument("no FILE: give an experiment file or --compare");
  base::RaiseDescriptorLimit();
  std::signal(SIGPIPE, SIG_IGN);
  int code = kSuccess;
  for (const lab::ScaleExperiment& experiment : ReadExperiments(options)) {
    const base::Millis started = base::MonotonicNow();
    SetWatchdog(experiment.time_limit);
    const base::Millis deadline = started + experiment.time_limit;
    code = std::max(code, RunScaleExperiment(experiment, options, deadline));
    ClearWatchdog();
    fmt::print("{}: took {:.1f} s\n", experiment.name, (base::MonotonicNow() - started) / 1000);
  }
  return code;
}

int ServeHollowGateways(lab::HollowProcessOptions options, const std::string& control) {
  const auto address = base::ParseSocketAddress(control);
  if (!address)
    throw std::invalid_argument("--control: '" + control +
                                "' is not an address and port; expected an IP address with a port, such as "
                                "127.0.0.1:3900");
  options.control = *address;
  return lab::ServeHollowGateways(options);
}

}  // namespace

void AddScale(CLI::App& lab, const ProgramPaths& programs, Command& selected) {
  const auto options = std::make_shared<ScaleOptions>();
  options->programs = {programs.gatewayctl, programs.gateway};
  CLI::App* const scale = lab.add_subcommand(
      "scale",
      "Measures the resource usage of each kind of process at several fleet sizes, and fits functions to it");
  scale->add_option("FILE", options->files, "Experiment files (see experiments/scale/)");
  scale->add_option("--json-dir", options->json_dir, "Folder for the results and plots")
      ->capture_default_str();
  scale->add_option("--gateway", options->programs.gateway, "Command that starts a gateway")
      ->capture_default_str();
  scale->add_option("--plays", options->runs, "Number of runs of each point (default: the value in the file)")
      ->check(CLI::Range(1, 100));
  scale->add_option("--seed", options->seed, "Seed of the first run (default: the value in the file)");
  scale->add_option("--revision", options->revision,
                    "Source revision of the program, to be recorded in the results");
  scale->add_flag(
      "--quick", options->quick,
      "Run a short version: use quick_points, quick_fixed, quick_windows and quick_outage_s of the "
      "file, and run each sweep point or storm once unless --plays is given");
  scale->add_flag(
      "--compare", options->compare,
      "First compare the load that hollow gateways put on the list service with the load of real gateways");
  scale->add_flag("!--no-plots", options->plots, "Write no plots");
  scale->footer(
      "Exit codes: 0 success, 1 no point of a sweep could be measured or hollow gateways differ from real "
      "gateways, 2 invalid arguments.\nExample: gatewayctl lab scale experiments/scale/hosts.toml --quick "
      "--json-dir /tmp/scale");
  SelectWhenGiven(*scale, selected, [options] { return RunScaleExperiments(*options); });
}

void AddHollowGateways(CLI::App& lab, Command& selected) {
  const auto options = std::make_shared<lab::HollowProcessOptions>();
  const auto control = std::make_shared<std::string>();
  CLI::App* const hollow = lab.add_subcommand(
      "hollow-gateways",
      "Runs gateways that watch the endpoint list but forward no requests (used by the lab)");
  hollow
      ->add_option(
          "CONFIG", options->config,
          "Configuration file (JSON) of the first gateway, as NODE_CONFIG names it for a real gateway")
      ->required();
  hollow->add_option("--count", options->count, "Number of gateways to run")
      ->check(CLI::Range(1, 100000))
      ->capture_default_str();
  hollow->add_option("--first", options->first_index, "Index of the first gateway")->capture_default_str();
  hollow
      ->add_option("--control", *control,
                   "Address and port on which this process listens for requests of the lab")
      ->required();
  hollow->footer("Example: gatewayctl lab hollow-gateways n0.json --count 100 --control 127.0.0.1:3900");
  SelectWhenGiven(*hollow, selected, [options, control] { return ServeHollowGateways(*options, *control); });
}

}  // namespace gateway::cli
