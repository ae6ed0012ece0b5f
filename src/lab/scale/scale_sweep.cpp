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

void Add(ScalePoint& point, const RoleMeasures& measures) {
  for (const auto& [role, figures] : measures) {
    for (const auto& [figure, value] : figures) point.roles[role][figure].push_back(value);
  }
}

class Sweep {
 public:
  Sweep(const ScaleExperiment& experiment, ScaleMeasurer& measurer, const SweepOptions& options)
      : e_(experiment),
        measurer_(measurer),
        options_(options),
        runs_(options.runs > 0 ? options.runs
              : options.quick  ? 1
                               : experiment.runs),
        seed_(options.seed > 0 ? options.seed : experiment.seed) {}

  ScaleResult Run() {
    Describe();
    for (const double value : options_.quick ? e_.quick_points : e_.points) {
      if (options_.deadline > 0 && base::MonotonicNow() > options_.deadline) {
        Refuse(value, "the time of the sweep was over");
        continue;
      }
      MeasurePoint(value);
    }
    if (result_.points.empty()) return std::move(result_);
    result_.largest = result_.points.back().value;
    if (result_.largest < result_.full && !result_.refused.empty()) {
      result_.limited_by = result_.refused.front().why;
    } else if (result_.largest < result_.full) {
      result_.limited_by =
          options_.quick && e_.points.back() > result_.largest ? "a quick run" : e_.limited_by;
    }
    result_.fits = FitAllFigures(result_);
    return std::move(result_);
  }

 private:
  void Describe() {
    result_.experiment = e_.file;
    result_.name = e_.name;
    result_.about = e_.about;
    result_.axis = NameOf(e_.axis);
    result_.unit = UnitOf(e_.axis);
    result_.full = e_.full;
    result_.seed = seed_;
    result_.runs = static_cast<unsigned>(runs_);
    result_.fixed = FixedFigures(e_);
    result_.machine = ThisMachine();
  }

  void MeasurePoint(double value) {
    ScalePoint point;
    point.value = value;
    for (int run = 0; run < runs_; ++run) {
      const std::string where =
          fmt::format("{} = {:g}, play {} of {}", NameOf(e_.axis), value, run + 1, runs_);
      try {
        Add(point, measurer_.Measure(value, seed_ + static_cast<std::uint64_t>(run)));
        Note(where + Mark(point));
      } catch (const PointRefused& refused) {
        Note(where + ": " + refused.what());
        return Refuse(value, refused.what());
      } catch (const std::runtime_error& failed) {
        // Runs before it are whole and stay.
        Note(where + ": " + failed.what());
        if (point.roles.empty()) return Refuse(value, failed.what());
        break;
      }
    }
    result_.points.push_back(std::move(point));
  }

  static std::string Mark(const ScalePoint& point) {
    const auto load = point.roles.find("load");
    if (load == point.roles.end()) return "";
    const auto saturated = load->second.find("saturated");
    return saturated != load->second.end() && saturated->second.back() > 0 ? ": the tool itself was saturated"
                                                                           : "";
  }

  void Refuse(double value, const std::string& why) { result_.refused.push_back({value, why}); }
  void Note(const std::string& line) {
    if (options_.note) options_.note(e_.name + ": " + line);
  }

  const ScaleExperiment& e_;
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
