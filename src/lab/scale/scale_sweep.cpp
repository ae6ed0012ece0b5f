#include "lab/scale/scale_sweep.hpp"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <optional>
#include <stdexcept>
#include <utility>
#include <vector>

#include "base/clock.hpp"
#include "lab/scale/event_loop.hpp"
#include "lab/scale/scale_fit.hpp"
#include "lab/scale/scale_fleet.hpp"

namespace gateway::lab {
namespace {

ScaleMachine ThisMachine() {
  ScaleMachine machine;
  machine.cores = static_cast<unsigned>(std::max(0L, sysconf(_SC_NPROCESSORS_ONLN)));
  machine.memory_mb =
      static_cast<double>(sysconf(_SC_PHYS_PAGES)) * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1 << 20);
  return machine;
}

void AddMeasures(ScalePoint& point, const RoleMeasures& measures) {
  for (const auto& [role, figures] : measures) {
    for (const auto& [figure, value] : figures) point.roles[role][figure].push_back(value);
  }
}

class Sweep {
 public:
  Sweep(const ScaleExperiment& experiment, ScaleMeasurer& measurer, const SweepOptions& options)
      : experiment_(experiment),
        measurer_(measurer),
        options_(options),
        runs_(options.runs > 0 ? options.runs
              : options.quick  ? 1
                               : experiment.runs),
        seed_(options.seed > 0 ? options.seed : experiment.seed) {}

  ScaleResult Run() {
    FillDescription();
    for (const double value : options_.quick ? experiment_.quick_points : experiment_.points) {
      if (options_.deadline > 0 && base::MonotonicNow() > options_.deadline) {
        RecordRefusedPoint(value, "the deadline of the sweep had passed");
        continue;
      }
      MeasurePoint(value);
    }
    if (result_.points.empty()) return std::move(result_);
    result_.largest = result_.points.back().value;
    if (result_.largest < result_.full && !result_.refused.empty()) {
      result_.limited_by = result_.refused.front().reason;
    } else if (result_.largest < result_.full) {
      result_.limited_by = options_.quick && experiment_.points.back() > result_.largest
                               ? "a quick run"
                               : experiment_.limited_by;
    }
    result_.fits = FitAllFigures(result_);
    return std::move(result_);
  }

 private:
  void FillDescription() {
    result_.experiment = experiment_.file;
    result_.name = experiment_.name;
    result_.about = experiment_.about;
    result_.axis = NameOf(experiment_.axis);
    result_.unit = UnitOf(experiment_.axis);
    result_.full = experiment_.full;
    result_.seed = seed_;
    result_.runs = static_cast<unsigned>(runs_);
    result_.fixed = FixedSizes(experiment_);
    result_.machine = ThisMachine();
  }

  void MeasurePoint(double value) {
    ScalePoint point;
    point.value = value;
    for (int run = 0; run < runs_; ++run) {
      const std::string run_label =
          fmt::format("{} = {:g}, run {} of {}", NameOf(experiment_.axis), value, run + 1, runs_);
      try {
        AddMeasures(point, measurer_.Measure(value, seed_ + static_cast<std::uint64_t>(run)));
        ReportProgress(run_label + SaturationNote(point));
      } catch (const PointRefusedError& refused) {
        ReportProgress(run_label + ": " + refused.what());
        return RecordRefusedPoint(value, refused.what());
      } catch (const std::runtime_error& failed) {
        // Keep the previous runs of this point, which are complete.
        ReportProgress(run_label + ": " + failed.what());
        if (point.roles.empty()) return RecordRefusedPoint(value, failed.what());
        break;
      }
    }
    result_.points.push_back(std::move(point));
  }

  static std::string SaturationNote(const ScalePoint& point) {
    const auto load = point.roles.find("load");
    if (load == point.roles.end()) return "";
    const auto saturated = load->second.find("saturated");
    return saturated != load->second.end() && saturated->second.back() > 0 ? ": the tool itself was saturated"
                                                                           : "";
  }

  void RecordRefusedPoint(double value, const std::string& reason) {
    result_.refused.push_back({value, reason});
  }
  void ReportProgress(const std::string& line) {
    if (options_.on_progress) options_.on_progress(experiment_.name + ": " + line);
  }

  const ScaleExperiment& experiment_;
  ScaleMeasurer& measurer_;
  const SweepOptions& options_;
  const int runs_;
  const std::uint64_t seed_;
  ScaleResult result_;
};

}  // namespace

ScaleResult RunSweep(const ScaleExperiment& experiment, ScaleMeasurer& measurer,
                     const SweepOptions& options) {
  return Sweep(experiment, measurer, options).Run();
}

}  // namespace gateway::lab
