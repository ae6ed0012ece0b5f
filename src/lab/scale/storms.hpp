// Storms: everyone comes to the list service at once. All gateways of a zone start; or the list service comes
// back after it was away.
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
  int runs = 0;            // 0: as the file says; one where it is quick
  std::uint64_t seed = 0;  // 0: as the file says
  Millis deadline = 0;     // base::MonotonicNow
  std::function<void(const std::string&)> note;
};

// Both storms, one after the other; of several runs the worst figures. Throws as ScaleMeasurer does.
std::vector<StormResult> RunStorms(const ScaleExperiment& experiment, const ScalePrograms& programs,
                                   const StormOptions& options);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_SCALE_STORMS_HPP_
