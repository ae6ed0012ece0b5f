// Compares hollow gateways with real ones: the same fleet is run with either, and the load on the list
// service is compared. Figures of hollow gateways are valid only where both agree.
#ifndef GATEWAY_LAB_SCALE_HOLLOW_COMPARISON_HPP_
#define GATEWAY_LAB_SCALE_HOLLOW_COMPARISON_HPP_

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "lab/scale/scale_experiment.hpp"
#include "lab/scale/scale_fleet.hpp"

namespace gateway::lab {

// What gateways of one kind made the list service do, over all runs.
struct ListServiceUse {
  double rest_calls = 0, rest_bytes_in = 0, rest_bytes_out = 0;        // from their start, no changes
  double change_calls = 0, change_bytes_in = 0, change_bytes_out = 0;  // while changes came
  // Of the run that took least: what else runs on the machine only adds.
  double least_cpu_ms = 0;  // all the time
};

struct UseRatio {
  std::string figure;
  double real = 0, hollow = 0;
  bool speed = false;  // depends on the machine and its load, not on what was sent
  double ratio() const { return real > 0 ? hollow / real : 0; }
};

struct HollowComparison {
  int gateways = 0;
  double within = 0.1;  // of 1, for each ratio
  std::vector<UseRatio> ratios;
  // `speeds`: whether CPU is judged too.
  bool Holds(bool speeds) const;
};

// Runs `gateways_hollow` of both, in turns. Throws as ScaleMeasurer does.
HollowComparison CompareHollowGateways(const ScalePrograms& programs, const FleetSize& size,
                                       const ScaleWindows& windows, int runs, std::uint64_t seed,
                                       Millis deadline);

nlohmann::json ToJson(const HollowComparison& comparison);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_SCALE_HOLLOW_COMPARISON_HPP_
