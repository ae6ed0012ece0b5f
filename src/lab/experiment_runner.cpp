#include "lab/experiment_runner.hpp"

#include <fmt/format.h>

#include <filesystem>
#include <vector>

#include "lab/experiment_run.hpp"

namespace gateway::lab {
namespace {

struct Variant {
  std::string name;
  std::string command;    // command that starts a gateway of this variant
  Experiment experiment;  // with the changes for this variant
};

Variant MakeBaselineVariant(const std::string& name, const Experiment& experiment,
                            const RunOptions& options) {
  if (name == "no_fault") return {name, options.gateway, experiment.WithoutFaults()};
  if (name == "no_state") {
    Variant variant{name, options.gateway, experiment};
    variant.experiment.fleet.saves_state = false;
    return variant;
  }
  return {name, options.gatewayctl + " lab stand-in --policy " + name, experiment};
}

std::vector<Variant> MakeVariants(const Experiment& experiment, const RunOptions& options) {
  std::vector<Variant> variants{{"gateway", options.gateway, experiment}};
  if (!options.earlier.empty()) variants.push_back({"earlier", options.earlier, experiment});
  for (const std::string& name : experiment.baselines) {
    variants.push_back(MakeBaselineVariant(name, experiment, options));
  }
  return variants;
}

// Creates the log folder of a run and returns its path. Returns an empty path if logs are dropped.
std::string MakeLogFolder(const RunOptions& options, const std::string& experiment, std::uint64_t seed,
                          const std::string& variant) {
  if (options.log_folder.empty()) return "";
  std::string folder = fmt::format("{}/{}-{}-{}", options.log_folder, experiment, seed, variant);
  std::filesystem::create_directories(folder);
  return folder;
}

}  // namespace

void Interrupt() { ExperimentRun::Interrupt(); }

Results RunExperiment(const Experiment& experiment, const RunOptions& options) {
  const std::vector<Variant> variants = MakeVariants(experiment, options);
  Results results{experiment.name, experiment.about, {}};
  for (int repeat = 0; repeat < options.repeats; ++repeat) {
    const std::uint64_t seed = options.seed + static_cast<std::uint64_t>(repeat);
    for (const Variant& variant : variants) {
      ExperimentRun::Options run;
      run.variant = variant.name;
      run.command = variant.command;
      run.gatewayctl = options.gatewayctl;
      run.seed = seed;
      run.log_folder = MakeLogFolder(options, experiment.name, seed, variant.name);
      run.progress = options.progress;
      results.runs.push_back(ExperimentRun(variant.experiment, run).Run());
      if (ExperimentRun::IsInterrupted()) return results;
    }
  }
  return results;
}

}  // namespace gateway::lab
