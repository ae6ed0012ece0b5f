// Compares hollow gateways with real ones: runs the same fleet with each kind and compares the load on the
// list service. Figures of hollow gateways are valid only where both kinds of gateways cause the same load.
#ifndef GATEWAY_LAB_SCALE_HOLLOW_COMPARISON_HPP_
#define GATEWAY_LAB_SCALE_HOLLOW_COMPARISON_HPP_

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "lab/scale/scale_experiment.hpp"
#include "lab/scale/scale_fleet.hpp"

namespace gateway::lab {

// The load that gateways of one kind caused at the list service, summed over all runs.
struct ListServiceLoad {
  double unloaded_calls = 0, unloaded_bytes_in = 0,
         unloaded_bytes_out = 0;  // from the gateways' start, without changes
  double change_calls = 0, change_bytes_in = 0, change_bytes_out = 0;  // during changes
  // The lowest CPU time of any run, counted over the complete run. The lowest value is used, since other load
  // on the machine can only increase the CPU time.
  double min_cpu_ms = 0;
};

// One figure of the list service's load under real and under hollow gateways.
struct LoadRatio {
  std::string figure;
  double real = 0, hollow = 0;
  bool machine_dependent = false;  // depends on the machine and its load, not on the messages sent
  double ratio() const { return real > 0 ? hollow / real : 0; }
};

// The result of a comparison.
struct HollowComparison {
  int gateways = 0;
  double tolerance = 0.1;  // largest accepted distance of a ratio from 1
  std::vector<LoadRatio> ratios;
  // Whether there are ratios and all are within the tolerance. Without `include_machine_dependent`, CPU time
  // is not checked.
  bool IsWithinTolerance(bool include_machine_dependent) const;
};

// Runs fleets of size.gateways_hollow real and hollow gateways alternately. Throws the exceptions of
// ScaleMeasurer::Measure.
HollowComparison CompareHollowGateways(const ScalePrograms& programs, const FleetSize& size,
                                       const ScaleWindows& windows, int runs, std::uint64_t seed,
                                       Millis deadline);

nlohmann::json ToJson(const HollowComparison& comparison);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_SCALE_HOLLOW_COMPARISON_HPP_
