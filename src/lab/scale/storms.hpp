// Measures storms. In a storm, many gateways call the list service at once, because all gateways of a zone
// start together or because the list service restarts after an outage.
#ifndef GATEWAY_LAB_SCALE_STORMS_HPP_
#define GATEWAY_LAB_SCALE_STORMS_HPP_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "lab/scale/scale_experiment.hpp"
#include "lab/scale/scale_fleet.hpp"
#include "lab/scale/scale_result.hpp"

namespace gateway::lab {

struct StormOptions {
  bool quick = false;
  int runs = 0;                                         // 0: as in the file, or one if quick
  std::uint64_t seed = 0;                               // seed of the first run; 0: as in the file
  Millis deadline = 0;                                  // base::MonotonicNow
  std::function<void(const std::string&)> on_progress;  // receives a line for each run; may be empty
};

// Runs both storms alternately. Returns, for each storm, the largest value of each figure over all runs.
// Throws the exceptions of ScaleMeasurer::Measure.
std::vector<StormResult> RunStorms(const ScaleExperiment& experiment, const ScalePrograms& programs,
                                   const StormOptions& options);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_SCALE_STORMS_HPP_
