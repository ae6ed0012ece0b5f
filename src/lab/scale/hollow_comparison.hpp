// Compares hollow gateways with real gateways: runs the same fleet once with each kind and compares the load
// on the list service. Measurements with hollow gateways are valid only if both kinds cause the same load.
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
         unloaded_bytes_out = 0;  // from the start of the gateways until the first change
  double change_calls = 0, change_bytes_in = 0, change_bytes_out = 0;  // during changes
  // The CPU time of the run with the lowest CPU time, because other load on the machine can only increase it.
  double min_cpu_ms = 0;
};

// One figure of the list service's load under real and under hollow gateways.
struct LoadRatio {
  std::string figure;
  double real = 0, hollow = 0;
  bool machine_dependent = false;  // depends on the machine's speed and load, not on the messages alone
  double ratio() const { return real > 0 ? hollow / real : 0; }
};

// The result of a comparison.
struct HollowComparison {
  int gateways = 0;
  double tolerance = 0.1;  // largest accepted difference between a ratio and 1
  std::vector<LoadRatio> ratios;
  // Returns true if all ratios are within the tolerance; false if there are no ratios. Checks the
  // machine-dependent ratios only if `include_machine_dependent` is set.
  bool IsWithinTolerance(bool include_machine_dependent) const;
};

// Each run starts one fleet with size.gateways_hollow real gateways and one fleet with as many hollow
// gateways. Throws the exceptions of ScaleMeasurer::Measure.
HollowComparison CompareHollowGateways(const ScalePrograms& programs, const FleetSize& size,
                                       const ScaleWindows& windows, int runs, std::uint64_t seed,
                                       Millis deadline);

nlohmann::json ToJson(const HollowComparison& comparison);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_SCALE_HOLLOW_COMPARISON_HPP_
