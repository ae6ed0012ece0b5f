// The sweep of one size over its points: measures each point in every run, then fits every figure. The
// measurement is an interface, so that the sweep can be tested with synthetic costs.
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
  // Measures one run with the size of the axis set to `value`. Throws PointRefusedError if the program under
  // test does not run at this size, and ScaleTimeout if a wait times out.
  virtual RoleMeasures Measure(double value, std::uint64_t seed) = 0;
};

struct SweepOptions {
  bool quick = false;
  int runs = 0;                                         // 0: as in the file, or one if quick
  std::uint64_t seed = 0;                               // of the first run; 0: as in the file
  Millis deadline = 0;                                  // base::MonotonicNow
  std::function<void(const std::string&)> on_progress;  // receives a line for each run; may be empty
};

// Measures the points one after the other, with all runs of each, and fits the figures. A point that is
// refused or times out is recorded under `refused` and does not end the sweep. Points after the deadline are
// not measured and are recorded under `refused` too.
ScaleResult RunSweep(const ScaleExperiment& experiment, ScaleMeasurer& measurer, const SweepOptions& options);

// Share of a core above which a process of the measuring tool counts as saturated, so that the point is
// marked.
inline constexpr double kSaturatedPercent = 90;

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_SCALE_SCALE_SWEEP_HPP_
