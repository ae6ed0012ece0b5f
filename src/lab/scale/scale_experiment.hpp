// An experiment of `gatewayctl lab scale`, as read from its file: the size that the experiment varies and the
// values that it measures, the fixed sizes, and the duration of each measurement. docs/design/scale.md
// describes the files.
#ifndef GATEWAY_LAB_SCALE_SCALE_EXPERIMENT_HPP_
#define GATEWAY_LAB_SCALE_SCALE_EXPERIMENT_HPP_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/millis.hpp"
#include "base/toml_reader.hpp"

namespace gateway::lab {

using base::Millis;

// The sizes of the fleet at one point, and the load on the fleet.
struct FleetSize {
  int hosts = 100;               // registered at the list service, with leases
  int gateways_real = 1;         // processes of the gateway program
  int gateways_hollow = 10;      // gateways that forward no requests; many run in one process
  int gateways_in_settings = 0;  // number of gateways that each gateway's settings give; 0: the actual number
  int services = 3;              // the hosts are divided evenly among the services
  int classes = 3;               // traffic classes in each gateway's settings
  int tenants = 1;               // tenants in each gateway's settings
  int zones = 3;
  double changes_per_s = 20;
  double requests_per_s = 152;  // to each real gateway
  Millis lease_term = 10000;
  double complete_lists_per_s = 500;  // limit of the list service on responses with the complete list
};

// The value of FleetSize that a sweep varies.
enum class ScaleAxis { kHosts, kGateways, kServices, kClasses, kTenants, kChanges, kRequests };

// The durations of the phases at one point.
struct ScaleWindows {
  Millis settle = 300;   // waiting time between a change of the load and the next window
  Millis window = 1000;  // duration of each window except `unloaded`
  // Duration of the window without changes and requests. A watch call takes up to 2500 ms, so the traffic is
  // measured only in a window that is at least as long.
  Millis unloaded = 1000;
};

enum class ScaleKind {
  kSweep,      // varies one size
  kStorms,     // all gateways call the list service at once
  kComparison  // compares hollow gateways with real gateways
};

// The content of an experiment file. Points (the values of the varied size) and `full` are in the unit of the
// axis.
struct ScaleExperiment {
  std::string file, name, about;
  ScaleKind kind = ScaleKind::kSweep;
  ScaleAxis axis = ScaleAxis::kHosts;
  std::vector<double> points;        // ascending
  std::vector<double> quick_points;  // the points if the run is quick, ascending
  double full = 0;                   // the size expected in two years
  std::string limited_by;            // the reason why the largest point is below `full`
  int runs = 3;
  std::uint64_t seed = 1;
  Millis time_limit = 120000;    // for all points and runs together
  FleetSize fixed, quick_fixed;  // quick_fixed: the sizes of a quick run; kStorms and kComparison only
  ScaleWindows windows, quick_windows{100, 500, 500};
  Millis outage = 30000, quick_outage = 3000;  // kStorms only: the time for which the list service is down
};

// The name of the axis in files: "hosts", "gateways", ...
const char* NameOf(ScaleAxis axis);
// The unit of the axis: "hosts", "changes/s", ...
const char* UnitOf(ScaleAxis axis);
// Returns the fixed sizes with the size of the sweep's axis set to `value`.
FleetSize SizeAt(const ScaleExperiment& experiment, double value);
// Returns the sizes by their names in files.
std::map<std::string, double> FixedSizes(const FleetSize& size);
// Returns the fixed sizes of a sweep, without the size of its axis.
std::map<std::string, double> FixedSizes(const ScaleExperiment& experiment);

// The resources of the machine that one run may use.
struct ScaleLimits {
  double memory_mb = 12000;
  int processes = 300;
  int descriptors = 20000;  // per process
};
// Returns half of this machine's memory, its descriptor limit and the default limit on processes.
ScaleLimits LimitsOfThisMachine();

// An upper bound of the resources that a fleet uses.
struct ResourceEstimate {
  double memory_mb = 0;
  int processes = 0;
  int descriptors = 0;  // in the process with the most descriptors
};
ResourceEstimate EstimateResources(const FleetSize& size);

// Returns the number of processes that run this number of hollow gateways.
int HollowProcessCount(int gateways_hollow);

// Returns the experiment that --compare runs.
ScaleExperiment StandardComparison();

// Both throw base::ConfigError, which names the field, if the file is invalid or its fleet exceeds the
// limits. `name` stands for the file name in errors.
ScaleExperiment ReadScaleExperiment(const std::string& path, const ScaleLimits& limits);
ScaleExperiment ParseScaleExperiment(std::string_view text, const std::string& name,
                                     const ScaleLimits& limits);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_SCALE_SCALE_EXPERIMENT_HPP_
