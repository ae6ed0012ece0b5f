#include "lab/scale/scale_experiment.hpp"

#include <fmt/format.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace gateway::lab {
namespace {

using base::kAboveZero;
using base::kNotNegative;
using base::TomlTable;

constexpr double kMsPerSecond = 1000;
constexpr double kBytesPerMb = 1 << 20;
constexpr int kMaxCount = 1000000;
constexpr int kMaxRealGateways = 180;  // each needs its own address in the address block of the run
constexpr int kHollowGatewaysPerProcess = 400;
constexpr std::size_t kMinPoints = 4;
constexpr double kMinSpanFactor = 100;  // two decades, from the first point to the last one

// Upper bounds of the memory of each process, for EstimateResources (docs/design/scale.md).
constexpr double kToolMemoryMb = 60, kToolMemoryPerHostMb = 0.004;
constexpr double kServiceMemoryMb = 40, kServiceMemoryPerHostMb = 0.006, kServiceMemoryPerClientMb = 0.1;
constexpr double kGatewayMemoryMb = 12, kGatewayMemoryPerHostMb = 0.004;
constexpr double kGatewayMemoryPerTenantMb = 0.001, kHollowMemoryPerTenantMb = 0.0005;
constexpr double kGatewayMemoryPerClassMb = 0.05, kHollowMemoryPerClassMb = 0.01;
constexpr int kMaxClasses = 64;  // a gateway with more traffic classes refuses to start
constexpr double kHollowProcessMemoryMb = 15, kHollowMemoryMb = 0.06, kHollowMemoryPerHostMb = 0.0015;
constexpr int kBaseDescriptors = 600;  // per process, including the connections of hosts and clients
constexpr int kBaseProcesses = 4;      // this process, the list service and two isolated gateways

const std::vector<std::pair<std::string, ScaleAxis>> kAxes{
    {"hosts", ScaleAxis::kHosts},      {"gateways", ScaleAxis::kGateways}, {"services", ScaleAxis::kServices},
    {"classes", ScaleAxis::kClasses},  {"tenants", ScaleAxis::kTenants},   {"changes", ScaleAxis::kChanges},
    {"requests", ScaleAxis::kRequests}};

const std::vector<std::pair<std::string, ScaleKind>> kKinds{
    {"sweep", ScaleKind::kSweep}, {"storms", ScaleKind::kStorms}, {"comparison", ScaleKind::kComparison}};

template <typename Value>
std::vector<std::string> Names(const std::vector<std::pair<std::string, Value>>& values_by_name) {
  std::vector<std::string> names;
  names.reserve(values_by_name.size());
  for (const auto& [name, value] : values_by_name) names.push_back(name);
  return names;
}

template <typename Value>
Value ValueOf(const std::vector<std::pair<std::string, Value>>& values_by_name, const std::string& name) {
  return std::ranges::find(values_by_name, name, &std::pair<std::string, Value>::first)->second;
}

// Returns the sizes of the table. Sizes that the table does not contain have the values of `size`.
FleetSize ReadSize(TomlTable& table, FleetSize size) {
  const auto read_count = [&](const char* key, int& value, int min) {
    value = table.Integer(key, value, min, kMaxCount);
  };
  read_count("hosts", size.hosts, 1);
  size.gateways_real = table.Integer("gateways_real", size.gateways_real, 0, kMaxRealGateways);
  read_count("gateways_hollow", size.gateways_hollow, 0);
  read_count("gateways_stated", size.gateways_in_settings, 0);
  read_count("services", size.services, 1);
  read_count("classes", size.classes, 1);
  read_count("tenants", size.tenants, 0);
  size.zones = table.Integer("zones", size.zones, 1, 26);
  size.changes_per_s = table.Number("changes_per_s", size.changes_per_s, {0, 10000});
  size.requests_per_s = table.Number("requests_per_s", size.requests_per_s, {0, 100000});
  size.lease_term = table.Number("lease_term_s", size.lease_term / kMsPerSecond, {0.5, 3600}) * kMsPerSecond;
  size.complete_lists_per_s = table.Number("whole_lists_per_s", size.complete_lists_per_s, kAboveZero);
  table.RejectUnknownKeys();
  return size;
}

ScaleWindows ReadWindows(TomlTable& table, ScaleWindows windows) {
  windows.settle = table.Number("settle_ms", windows.settle, kNotNegative);
  windows.window = table.Number("window_ms", windows.window, {50, 60000});
  windows.unloaded = table.Number("rest_ms", windows.unloaded, {50, 60000});
  table.RejectUnknownKeys();
  return windows;
}

std::vector<double> ReadPoints(TomlTable& table, const std::string& key) {
  std::vector<double> points = table.NumberList(key, kNotNegative);
  if (points.size() < kMinPoints)
    table.Fail(key, fmt::format("needs at least {} points, but has {}", kMinPoints, points.size()));
  for (std::size_t i = 1; i < points.size(); ++i) {
    if (points[i] <= points[i - 1]) {
      table.Fail(key,
                 fmt::format("must be in ascending order, but {:g} follows {:g}", points[i], points[i - 1]));
    }
  }
  // A range that starts at 0 spans any number of decades.
  const double first = points.front() > 0 ? points.front() : points[1];
  if (points.back() < kMinSpanFactor * first && points.front() > 0) {
    table.Fail(key, fmt::format("must span two decades (a factor of {:g}), but the range is {:g} to {:g}",
                                kMinSpanFactor, first, points.back()));
  }
  return points;
}

// Throws base::ConfigError for `field` if a fleet of this size would exceed the limits. Starts no process.
void CheckResources(const TomlTable& table, const std::string& field, const std::string& subject,
                    const FleetSize& size, const ScaleLimits& limits) {
  const ResourceEstimate estimate = EstimateResources(size);
  if (estimate.memory_mb > limits.memory_mb) {
    table.Fail(field, fmt::format("{} would take about {:.0f} MB of memory; the limit is {:.0f} MB", subject,
                                  estimate.memory_mb, limits.memory_mb));
  }
  if (estimate.processes > limits.processes) {
    table.Fail(field, fmt::format("{} would take {} processes; the limit is {}", subject, estimate.processes,
                                  limits.processes));
  }
  if (estimate.descriptors > limits.descriptors) {
    table.Fail(field, fmt::format("{} would take about {} descriptors in one process; the limit is {}",
                                  subject, estimate.descriptors, limits.descriptors));
  }
}

void CheckPoints(const TomlTable& table, const std::string& field, const std::vector<double>& points,
                 const ScaleExperiment& experiment, const ScaleLimits& limits) {
  for (const double value : points) {
    CheckResources(table, field, fmt::format("{} = {:g}", NameOf(experiment.axis), value),
                   SizeAt(experiment, value), limits);
  }
}

void ReadSweep(TomlTable& table, ScaleExperiment& experiment) {
  if (!table.Has("axis")) table.Fail("axis", "missing");
  experiment.axis = ValueOf(kAxes, table.OneOf("axis", "", Names(kAxes)));
  experiment.points = ReadPoints(table, "points");
  experiment.quick_points = table.Has("quick_points") ? ReadPoints(table, "quick_points") : experiment.points;
  experiment.full = table.Number("full", kAboveZero);
  experiment.limited_by = table.Text("limited_by", "");
  if (experiment.limited_by.empty() && experiment.points.back() < experiment.full) {
    table.Fail("limited_by", "missing: give the reason why the largest point is below 'full'");
  }
}

ScaleExperiment Read(TomlTable table, const std::string& file, const ScaleLimits& limits) {
  ScaleExperiment experiment;
  experiment.file = file;
  experiment.name = table.Text("name");
  if (experiment.name.empty() ||
      experiment.name.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-_") != std::string::npos) {
    table.Fail("name", fmt::format("must consist of the characters a-z, 0-9, '-' and '_', but is '{}'",
                                   experiment.name));
  }
  experiment.about = table.Text("about", "");
  experiment.kind = ValueOf(kKinds, table.OneOf("kind", "sweep", Names(kKinds)));
  experiment.runs = table.Integer("plays", experiment.runs, 1, 100);
  experiment.seed = static_cast<std::uint64_t>(table.Integer("seed", 1, 0, kMaxCount));
  experiment.time_limit =
      table.Number("ends_within_s", experiment.time_limit / kMsPerSecond, {1, 7200}) * kMsPerSecond;
  if (auto fixed = table.Table("fixed")) experiment.fixed = ReadSize(*fixed, experiment.fixed);
  experiment.quick_fixed = experiment.fixed;
  if (experiment.kind != ScaleKind::kSweep) {
    if (auto fixed = table.Table("quick_fixed")) experiment.quick_fixed = ReadSize(*fixed, experiment.fixed);
  }
  if (auto windows = table.Table("windows")) experiment.windows = ReadWindows(*windows, experiment.windows);
  if (auto windows = table.Table("quick_windows"))
    experiment.quick_windows = ReadWindows(*windows, experiment.quick_windows);
  if (experiment.kind == ScaleKind::kStorms) {
    experiment.outage = table.Number("outage_s", experiment.outage / kMsPerSecond, kAboveZero) * kMsPerSecond;
    experiment.quick_outage =
        table.Number("quick_outage_s", experiment.quick_outage / kMsPerSecond, kAboveZero) * kMsPerSecond;
  }
  if (experiment.kind == ScaleKind::kSweep) ReadSweep(table, experiment);
  table.RejectUnknownKeys();
  CheckResources(table, "fixed", "the fleet of the fixed sizes", experiment.fixed, limits);
  CheckResources(table, "quick_fixed", "the fleet of the fixed sizes of a quick run", experiment.quick_fixed,
                 limits);
  if (experiment.kind == ScaleKind::kSweep) {
    CheckPoints(table, "points", experiment.points, experiment, limits);
    CheckPoints(table, "quick_points", experiment.quick_points, experiment, limits);
  }
  return experiment;
}

}  // namespace

const char* NameOf(ScaleAxis axis) {
  return std::ranges::find(kAxes, axis, &std::pair<std::string, ScaleAxis>::second)->first.c_str();
}

const char* UnitOf(ScaleAxis axis) {
  switch (axis) {
    case ScaleAxis::kChanges: return "changes/s";
    case ScaleAxis::kRequests: return "requests/s";
    default: return NameOf(axis);
  }
}

FleetSize SizeAt(const ScaleExperiment& experiment, double value) {
  FleetSize size = experiment.fixed;
  const int count = static_cast<int>(std::lround(value));
  switch (experiment.axis) {
    case ScaleAxis::kHosts: size.hosts = count; break;
    case ScaleAxis::kGateways: size.gateways_hollow = count; break;
    case ScaleAxis::kServices: size.services = count; break;
    case ScaleAxis::kClasses: size.classes = count; break;
    case ScaleAxis::kTenants: size.tenants = count; break;
    case ScaleAxis::kChanges: size.changes_per_s = value; break;
    case ScaleAxis::kRequests: size.requests_per_s = value; break;
  }
  return size;
}

std::map<std::string, double> FixedSizes(const FleetSize& size) {
  return {{"hosts", size.hosts},
          {"gateways_real", size.gateways_real},
          {"gateways_hollow", size.gateways_hollow},
          {"gateways_stated", size.gateways_in_settings},
          {"services", size.services},
          {"classes", size.classes},
          {"tenants", size.tenants},
          {"zones", size.zones},
          {"changes_per_s", size.changes_per_s},
          {"requests_per_s", size.requests_per_s},
          {"lease_term_s", size.lease_term / kMsPerSecond},
          {"whole_lists_per_s", size.complete_lists_per_s}};
}

std::map<std::string, double> FixedSizes(const ScaleExperiment& experiment) {
  std::map<std::string, double> figures = FixedSizes(experiment.fixed);
  const std::map<ScaleAxis, const char*> size_names{{ScaleAxis::kGateways, "gateways_hollow"},
                                                    {ScaleAxis::kChanges, "changes_per_s"},
                                                    {ScaleAxis::kRequests, "requests_per_s"}};
  const auto found = size_names.find(experiment.axis);
  figures.erase(found == size_names.end() ? NameOf(experiment.axis) : found->second);
  return figures;
}

ScaleLimits LimitsOfThisMachine() {
  ScaleLimits limits;
  const double pages = static_cast<double>(sysconf(_SC_PHYS_PAGES));
  limits.memory_mb = pages * static_cast<double>(sysconf(_SC_PAGESIZE)) / kBytesPerMb / 2;
  rlimit descriptors{};
  if (getrlimit(RLIMIT_NOFILE, &descriptors) == 0 && descriptors.rlim_max != RLIM_INFINITY) {
    limits.descriptors = static_cast<int>(std::min<rlim_t>(descriptors.rlim_max, kMaxCount));
  }
  return limits;
}

int HollowProcessCount(int gateways_hollow) {
  return (gateways_hollow + kHollowGatewaysPerProcess - 1) / kHollowGatewaysPerProcess;
}

ResourceEstimate EstimateResources(const FleetSize& size) {
  const double gateways = size.gateways_real + 2;  // and the two isolated gateways
  const int classes = std::min(size.classes, kMaxClasses);
  const double gateway_mb = kGatewayMemoryMb + kGatewayMemoryPerHostMb * size.hosts +
                            kGatewayMemoryPerTenantMb * size.tenants + kGatewayMemoryPerClassMb * classes;
  const double hollow_mb = kHollowMemoryMb + kHollowMemoryPerHostMb * size.hosts +
                           kHollowMemoryPerTenantMb * size.tenants + kHollowMemoryPerClassMb * classes;
  ResourceEstimate estimate;
  estimate.memory_mb =
      kToolMemoryMb + kToolMemoryPerHostMb * size.hosts + kServiceMemoryMb +
      kServiceMemoryPerHostMb * size.hosts +
      kServiceMemoryPerClientMb * (size.gateways_hollow + size.gateways_real) + gateways * gateway_mb +
      kHollowProcessMemoryMb * HollowProcessCount(size.gateways_hollow) + size.gateways_hollow * hollow_mb;
  estimate.processes = kBaseProcesses + size.gateways_real + HollowProcessCount(size.gateways_hollow);
  estimate.descriptors = kBaseDescriptors + size.gateways_real + size.gateways_hollow;
  return estimate;
}

ScaleExperiment StandardComparison() {
  ScaleExperiment experiment;
  experiment.file = "--compare";
  experiment.name = "hollow-against-real";
  experiment.about = "Ten hollow gateways cause the same load on the list service as ten real gateways.";
  experiment.kind = ScaleKind::kComparison;
  experiment.runs = 3;
  experiment.time_limit = 100000;
  experiment.fixed.hosts = 12;
  experiment.fixed.gateways_real = experiment.fixed.gateways_hollow = 10;
  experiment.fixed.changes_per_s = 50;
  experiment.quick_fixed = experiment.fixed;
  experiment.windows = {300, 4000, 3000};
  experiment.quick_windows = {300, 2000, 2500};
  return experiment;
}

ScaleExperiment ReadScaleExperiment(const std::string& path, const ScaleLimits& limits) {
  return Read(TomlTable::FromFile(path), path, limits);
}

ScaleExperiment ParseScaleExperiment(std::string_view text, const std::string& name,
                                     const ScaleLimits& limits) {
  return Read(TomlTable::FromText(text, name), name, limits);
}

}  // namespace gateway::lab
