// Runs a sweep: measures each point of one size in every run, then fits a curve to every figure. The
// measurement is an interface, so that tests can run a sweep with synthetic costs.
#ifndef GATEWAY_LAB_SCALE_SCALE_SWEEP_HPP_
#define GATEWAY_LAB_SCALE_SCALE_SWEEP_HPP_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "lab/scale/scale_experiment.hpp"
#include "lab/scale/scale_result.hpp"

namespace gateway::lab {

// The figures of one run, by role and name. A name ends with its unit.
using RoleMeasures = std::map<std::string, std::map<std::string, double>>;

class ScaleMeasurer {
 public:
  virtual ~ScaleMeasurer() = default;
  // Measures one run with the size of the axis set to `value`. Throws PointRefusedError if a process under
  // test exits on its own, ScaleTimeout if a wait times out, and std::runtime_error if another step fails.
  virtual RoleMeasures Measure(double value, std::uint64_t seed) = 0;
};

struct SweepOptions {
  bool quick = false;
  int runs = 0;                                         // 0: as in the file, or one if quick
  std::uint64_t seed = 0;                               // seed of the first run; 0: as in the file
  Millis deadline = 0;                                  // base::MonotonicNow; 0: none
  std::function<void(const std::string&)> on_progress;  // receives a line for each run; may be empty
};

// Measures the points one after the other, with all runs of each point, and fits the figures. If the first
// run of a point fails, or if a process under test exits in any run, records the point in `refused` and
// continues with the next point. If a later run fails for another reason, keeps the previous runs of the
// point. Records the points that remain at the deadline in `refused` without measuring them.
ScaleResult RunSweep(const ScaleExperiment& experiment, ScaleMeasurer& measurer, const SweepOptions& options);

// If a process of the measuring tool uses more than this percentage of a core, the process is saturated and
// the result marks the point.
inline constexpr double kSaturatedPercent = 90;

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_SCALE_SCALE_SWEEP_HPP_
