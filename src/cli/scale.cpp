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

constexpr int kDone = 0, kOutside = 1;
constexpr unsigned kAfterDeadline = 15;  // seconds: then the process ends itself, whatever it waits for

struct ScaleOptions {
  std::vector<std::string> files;
  std::string json_dir = "docs/results/scale";
  std::string revision;
  bool quick = false, plots = true, compare = false;
  int plays = 0;
  std::uint64_t seed = 0;
  lab::ScalePrograms programs;
};

void Write(const std::filesystem::path& path, const std::string& text) {
  std::filesystem::create_directories(path.parent_path());
  std::ofstream out(path, std::ios::binary);
  out << text;
  if (!out.flush()) throw std::runtime_error("can't write '" + path.string() + "'");
}

void Note(const std::string& line) { fmt::print(stderr, "{}\n", line); }

double Mean(const lab::PlayValues& values) {
  double sum = 0;
  for (const double value : values) sum += value;
  return values.empty() ? 0 : sum / static_cast<double>(values.size());
}

void Print(const lab::ScaleResult& result) {
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
    fmt::print("  {} = {:g} refused: {}\n", result.axis, refused.value, refused.why);
  }
  for (const lab::ScaleFit& fit : result.fits) {
    fmt::print("  {:14} {:28} {:8} {:.4g} + {:.4g} x, r2 {:.3f}; at {:g}: {:.4g} ({:.4g} to {:.4g}{})\n",
               fit.role, fit.figure, lab::FitFormName(fit.form), fit.offset, fit.slope, fit.r2, fit.at_full.x,
               fit.at_full.value, fit.at_full.low, fit.at_full.high,
               fit.at_full.extrapolated ? ", extrapolated" : "");
  }
}

int RunSweepFile(const lab::ScaleExperiment& experiment, const ScaleOptions& o, base::Millis deadline) {
  lab::FleetMeasurer measurer(experiment, o.programs, o.quick, deadline);
  lab::SweepOptions options;
  options.quick = o.quick;
  options.plays = o.plays;
  options.seed = o.seed;
  options.deadline = deadline;
  options.note = Note;
  lab::ScaleResult result = lab::RunSweep(experiment, measurer, options);
  result.revision = o.revision;
  const std::filesystem::path folder(o.json_dir);
  Write(folder / (result.name + ".json"), lab::ToJson(result).dump(1) + "\n");
  Print(result);
  if (o.plots && !result.points.empty()) lab::WriteScalePlots(result, folder);
  return result.points.empty() ? kOutside : kDone;
}

int RunStormsFile(const lab::ScaleExperiment& experiment, const ScaleOptions& o, base::Millis deadline) {
  const std::vector<lab::StormResult> storms =
      lab::PlayStorms(experiment, o.programs, {o.quick, o.plays, o.seed, deadline, Note});
  Write(std::filesystem::path(o.json_dir) / (experiment.name + ".json"),
        lab::StormsToJson(storms).dump(1) + "\n");
  for (const lab::StormResult& storm : storms) {
    fmt::print(
        "{:22} peak {:.4g} bytes/s, {:.0f}% of a core, {:.0f} requests waiting; all current after {:.0f} "
        "ms\n",
        storm.storm, storm.peak_bytes_per_s, storm.peak_cpu_percent, storm.peak_queue, storm.all_current_ms);
  }
  return kDone;
}

int RunComparison(const lab::ScaleExperiment& experiment, const ScaleOptions& o, base::Millis deadline) {
  const lab::HollowComparison comparison = lab::CompareHollowGateways(
      o.programs, o.quick ? experiment.quick_fixed : experiment.fixed,
      o.quick ? experiment.quick_windows : experiment.windows, o.plays > 0 ? o.plays : experiment.plays,
      o.seed > 0 ? o.seed : experiment.seed, deadline);
  Write(std::filesystem::path(o.json_dir) / (experiment.name + ".json"),
        lab::ToJson(comparison).dump(1) + "\n");
  fmt::print("{} hollow gateways against as many real ones, at the list service:\n", comparison.gateways);
  for (const lab::UseRatio& ratio : comparison.ratios) {
    fmt::print("  {:18} real {:10.6g} hollow {:10.6g} ratio {:.3f}\n", ratio.figure, ratio.real, ratio.hollow,
               ratio.ratio());
  }
  const bool holds = comparison.Holds(/*speeds=*/true);
  fmt::print("{}\n", holds ? "held: each within 10%" : "BROKEN: a ratio is further than 10% from 1");
  return holds ? kDone : kOutside;
}

int RunOne(const lab::ScaleExperiment& experiment, const ScaleOptions& o, base::Millis deadline) {
  switch (experiment.kind) {
    case lab::ScaleKind::kStorms: return RunStormsFile(experiment, o, deadline);
    case lab::ScaleKind::kComparison: return RunComparison(experiment, o, deadline);
    case lab::ScaleKind::kSweep: break;
  }
  return RunSweepFile(experiment, o, deadline);
}

// Whatever hangs, the process ends, and all that it started with it.
void EndWithin(base::Millis time) { alarm(static_cast<unsigned>(std::ceil(time / 1000)) + kAfterDeadline); }

int RunFiles(const ScaleOptions& o) {
  if (o.files.empty() && !o.compare) throw std::invalid_argument("no FILE: name an experiment, or --compare");
  base::RaiseDescriptorLimit();
  std::signal(SIGPIPE, SIG_IGN);
  // All are read, and refused where they ask for too much, before any is played.
  const lab::ScaleLimits limits = lab::LimitsOfThisMachine();
  std::vector<lab::ScaleExperiment> experiments;
  if (o.compare) experiments.push_back(lab::StandardComparison());
  for (const std::string& file : o.files) experiments.push_back(lab::ReadScaleExperiment(file, limits));
  int code = kDone;
  for (const lab::ScaleExperiment& experiment : experiments) {
    const base::Millis begun = base::MonotonicNow();
    EndWithin(experiment.ends_within);
    const base::Millis deadline = begun + experiment.ends_within;
    code = std::max(code, RunOne(experiment, o, deadline));
    alarm(0);
    fmt::print("{}: {:.1f} s\n", experiment.name, (base::MonotonicNow() - begun) / 1000);
  }
  return code;
}

}  // namespace

void AddScale(CLI::App& lab, const std::string& self, const std::string& gateway,
              std::function<int()>& chosen) {
  const auto o = std::make_shared<ScaleOptions>();
  o->programs = {self, gateway};
  CLI::App* const scale =
      lab.add_subcommand("scale", "Measures what each role costs as the fleet grows, and fits the slopes");
  scale->add_option("FILE", o->files, "Experiments, see experiments/scale/");
  scale->add_option("--json-dir", o->json_dir, "Folder for the results and plots")->capture_default_str();
  scale->add_option("--gateway", o->programs.gateway, "Command of the gateway")->capture_default_str();
  scale->add_option("--plays", o->plays, "Of each point; as the file says unless given")
      ->check(CLI::Range(1, 100));
  scale->add_option("--seed", o->seed, "Of the first play; as the file says unless given");
  scale->add_option("--revision", o->revision, "Of the program, for the results");
  scale->add_flag("--quick", o->quick, "Fewer, smaller and shorter points, one play");
  scale->add_flag("--compare", o->compare,
                  "First show that hollow gateways are to the list service as real ones");
  scale->add_flag("!--no-plots", o->plots, "Draw nothing");
  scale->footer(
      "Exit codes: 0 measured, 1 nothing could be measured or hollow gateways differ from real ones, 2 wrong "
      "use.\nExample: gatewayctl lab scale experiments/scale/hosts.toml --quick --json-dir /tmp/scale");
  scale->callback([&chosen, o] { chosen = [o] { return RunFiles(*o); }; });

  const auto hollow = std::make_shared<lab::HollowOptions>();
  const auto control = std::make_shared<std::string>();
  CLI::App* const serve =
      lab.add_subcommand("hollow-gateways", "Gateways without a request path, for the lab's own use");
  serve->add_option("CONFIG", hollow->config, "Of the first one, as NODE_CONFIG")->required();
  serve->add_option("--count", hollow->count, "How many")
      ->check(CLI::Range(1, 100000))
      ->capture_default_str();
  serve->add_option("--first", hollow->first, "Index of the first one")->capture_default_str();
  serve->add_option("--control", *control, "Address and port where the tool asks")->required();
  serve->footer("Example: gatewayctl lab hollow-gateways n0.json --count 100 --control 127.0.0.1:3900");
  serve->callback([&chosen, hollow, control] {
    chosen = [hollow, control] {
      const auto address = base::ParseSocketAddress(*control);
      if (!address) throw std::invalid_argument("--control: '" + *control + "' is not an address and port");
      hollow->control = *address;
      return lab::ServeHollowGateways(*hollow);
    };
  });
}

}  // namespace gateway::cli
