// The sweep of one size over its points: each is measured anew for every run, then every figure is fitted.
// What measures is an interface, so that the sweep can be tested with planted costs.
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
  // One run with the swept size at `value`. Throws PointRefused where the program under test does not run at
  // that size, and ScaleTimeout where something took too long.
  virtual RoleMeasures Measure(double value, std::uint64_t seed) = 0;
};

struct SweepOptions {
  bool quick = false;
  int runs = 0;                                  // 0: as the file says; one where it is quick
  std::uint64_t seed = 0;                        // of the first run; 0: as the file says
  Millis deadline = 0;                           // base::MonotonicNow
  std::function<void(const std::string&)> note;  // a line on each run; may be empty
};

// Measures all points, all runs of one after the other, and fits. A point that is refused or takes too long
// stands under `refused` and does not end the sweep; the deadline does.
ScaleResult RunSweep(const ScaleExperiment& experiment, ScaleMeasurer& measurer, const SweepOptions& options);

// The load's share of a core above which a point is marked: the tool itself was in the way.
inline constexpr double kSaturatedPercent = 90;

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_SCALE_SCALE_SWEEP_HPP_
