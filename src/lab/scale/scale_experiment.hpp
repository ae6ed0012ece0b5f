// An experiment of `gatewayctl lab scale` as its file states it: which size is swept over which points, what
// stays fixed, and for how long each point is measured. docs/design/scale.md describes the files.
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

// How large the fleet of one point is and what happens in it.
struct FleetSize {
  int hosts = 100;           // that hold leases
  int gateways_real = 1;     // processes of the gateway program
  int gateways_hollow = 10;  // without a request path, several in a process
  int gateways_stated = 0;   // that the gateways' settings name; 0: as many as there are
  int services = 3;          // kinds that the hosts are split over
  int classes = 3;
  int tenants = 1;
  int zones = 3;
  double changes_per_s = 20;
  double requests_per_s = 152;  // to each real gateway
  Millis lease_term = 10000;
  double whole_lists_per_s = 500;  // that the list service admits
};

// Which of the sizes a sweep varies.
enum class ScaleAxis { kHosts, kGateways, kServices, kClasses, kTenants, kChanges, kRequests };

// How long the phases of one point last.
struct ScaleWindows {
  Millis settle = 300;   // before a window in which something new happens
  Millis window = 1000;  // each
  Millis rest = 1000;    // the one at rest; a call of a watch waits up to 2500
};

enum class ScaleKind {
  kSweep,      // one size over several points
  kStorms,     // everyone comes at once
  kComparison  // hollow gateways against real ones
};

struct ScaleExperiment {
  std::string file, name, about;
  ScaleKind kind = ScaleKind::kSweep;
  ScaleAxis axis = ScaleAxis::kHosts;
  std::vector<double> points;        // rising
  std::vector<double> quick_points;  // the same for a quick run
  double full = 0;                   // the size in two years
  std::string limited_by;            // why the largest point is below it
  int runs = 3;
  std::uint64_t seed = 1;
  Millis ends_within = 120000;   // the whole experiment
  FleetSize fixed, quick_fixed;  // the latter of kStorms and kComparison
  ScaleWindows windows, quick_windows{100, 500, 500};
  Millis outage = 30000, quick_outage = 3000;  // of kStorms: how long the list service is away
};

// "hosts", "gateways", ...: as in files.
const char* NameOf(ScaleAxis axis);
// What one step of it is: "hosts", "changes/s", ...
const char* UnitOf(ScaleAxis axis);
// The fixed sizes with the swept one set to `value`.
FleetSize SizeAt(const ScaleExperiment& experiment, double value);
// The sizes by their names in files.
std::map<std::string, double> FixedFigures(const FleetSize& size);
// Those of a sweep, without the swept one.
std::map<std::string, double> FixedFigures(const ScaleExperiment& experiment);

// What the machine grants to one run.
struct ScaleLimits {
  double memory_mb = 12000;
  int processes = 300;
  int descriptors = 20000;  // of one process
};
// Half of this machine's memory, and its limit on descriptors.
ScaleLimits LimitsOfThisMachine();

// An upper estimate of what a fleet takes, before anything is started.
struct ScaleNeed {
  double memory_mb = 0;
  int processes = 0;
  int descriptors = 0;  // of the process that holds most
};
ScaleNeed NeedOf(const FleetSize& size);

// Hollow gateways run in so many processes.
int HollowProcesses(int gateways_hollow);

// What --compare runs.
ScaleExperiment StandardComparison();

// Throws base::ConfigError, which names the field, where the file is wrong or needs more than the limits.
ScaleExperiment ReadScaleExperiment(const std::string& path, const ScaleLimits& limits);
ScaleExperiment ParseScaleExperiment(std::string_view text, const std::string& name,
                                     const ScaleLimits& limits);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_SCALE_SCALE_EXPERIMENT_HPP_
