// Measures one point of a sweep with real processes. Starts a fleet, measures it in successive windows and
// stops it. The windows are: the list service without gateways, gateways that only watch the list, changes of
// the list, and changes with requests.
#ifndef GATEWAY_LAB_SCALE_FLEET_MEASURER_HPP_
#define GATEWAY_LAB_SCALE_FLEET_MEASURER_HPP_

#include <cstdint>

#include "lab/scale/scale_experiment.hpp"
#include "lab/scale/scale_fleet.hpp"
#include "lab/scale/scale_sweep.hpp"

namespace gateway::lab {

// Measures one run of a fleet of this size. Throws the exceptions of ScaleMeasurer::Measure.
RoleMeasures MeasureFleet(const ScalePrograms& programs, const FleetSize& size, const ScaleWindows& windows,
                          std::uint64_t seed, Millis deadline);

// Measures the points of an experiment with real processes.
class FleetMeasurer : public ScaleMeasurer {
 public:
  // `experiment` must outlive this object.
  FleetMeasurer(const ScaleExperiment& experiment, ScalePrograms programs, bool quick, Millis deadline)
      : experiment_(experiment), programs_(std::move(programs)), quick_(quick), deadline_(deadline) {}

  RoleMeasures Measure(double value, std::uint64_t seed) override {
    return MeasureFleet(programs_, SizeAt(experiment_, value),
                        quick_ ? experiment_.quick_windows : experiment_.windows, seed, deadline_);
  }

 private:
  const ScaleExperiment& experiment_;
  const ScalePrograms programs_;
  const bool quick_;
  const Millis deadline_;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_SCALE_FLEET_MEASURER_HPP_
