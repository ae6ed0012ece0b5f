// Measures one point with real processes: a fleet is started, looked at in windows one after the other (the
// list service alone, at rest with watches, under changes, under changes and requests), and ended.
#ifndef GATEWAY_LAB_SCALE_FLEET_MEASURER_HPP_
#define GATEWAY_LAB_SCALE_FLEET_MEASURER_HPP_

#include <cstdint>

#include "lab/scale/scale_experiment.hpp"
#include "lab/scale/scale_fleet.hpp"
#include "lab/scale/scale_sweep.hpp"

namespace gateway::lab {

// One run of a fleet of that size. Throws as ScaleMeasurer does.
RoleMeasures MeasureFleet(const ScalePrograms& programs, const FleetSize& size, const ScaleWindows& windows,
                          std::uint64_t seed, Millis deadline);

class FleetMeasurer : public ScaleMeasurer {
 public:
  // `experiment` outlives it.
  FleetMeasurer(const ScaleExperiment& experiment, ScalePrograms programs, bool quick, Millis deadline)
      : e_(experiment), programs_(std::move(programs)), quick_(quick), deadline_(deadline) {}

  RoleMeasures Measure(double value, std::uint64_t seed) override {
    return MeasureFleet(programs_, SizeAt(e_, value), quick_ ? e_.quick_windows : e_.windows, seed,
                        deadline_);
  }

 private:
  const ScaleExperiment& e_;
  const ScalePrograms programs_;
  const bool quick_;
  const Millis deadline_;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_SCALE_FLEET_MEASURER_HPP_
