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

constexpr double kMs = 1000;
constexpr int kMostOfAnything = 1000000;
constexpr int kMostReal = 180;  // each has an address of its own in the run's block
constexpr int kHollowPerProcess = 400;
constexpr std::size_t kLeastPoints = 4;
constexpr double kLeastSpan = 100;  // two decades

// For the estimate of memory, in MB; each is above what was measured (docs/design/scale.md).
constexpr double kToolMb = 60, kToolPerHost = 0.004;
constexpr double kServiceMb = 40, kServicePerHost = 0.006, kServicePerCaller = 0.1;
constexpr double kGatewayMb = 12, kGatewayPerHost = 0.004;
constexpr double kGatewayPerTenant = 0.001, kHollowPerTenant = 0.0005;
constexpr double kGatewayPerClass = 0.05, kHollowPerClass = 0.01;
constexpr int kMostClasses = 64;  // more are refused at the gateway's start
constexpr double kHollowProcessMb = 15, kHollowMb = 0.06, kHollowPerHost = 0.0015;
constexpr int kSpareDescriptors = 600;  // of any process, connections of members and clients among them
constexpr int kOwnProcesses = 4;        // this one, the list service, and two gateways for the costs at rest

const std::vector<std::pair<std::string, ScaleAxis>> kAxes{
    {"hosts", ScaleAxis::kHosts},      {"gateways", ScaleAxis::kGateways}, {"services", ScaleAxis::kServices},
    {"classes", ScaleAxis::kClasses},  {"tenants", ScaleAxis::kTenants},   {"changes", ScaleAxis::kChanges},
    {"requests", ScaleAxis::kRequests}};

const std::vector<std::pair<std::string, ScaleKind>> kKinds{
    {"sweep", ScaleKind::kSweep}, {"storms", ScaleKind::kStorms}, {"comparison", ScaleKind::kComparison}};

template <typename Value>
std::vector<std::string> Words(const std::vector<std::pair<std::string, Value>>& named) {
  std::vector<std::string> words;
  words.reserve(named.size());
  for (const auto& [word, value] : named) words.push_back(word);
  return words;
}

template <typename Value>
Value ValueOf(const std::vector<std::pair<std::string, Value>>& named, const std::string& word) {
  return std::ranges::find(named, word, &std::pair<std::string, Value>::first)->second;
}

// What the table does not name stays as in `f`.
FleetSize ReadSize(TomlTable& t, FleetSize f) {
  const auto whole = [&](const char* key, int& value, int least) {
    value = t.Integer(key, value, least, kMostOfAnything);
  };
  whole("hosts", f.hosts, 1);
  f.gateways_real = t.Integer("gateways_real", f.gateways_real, 0, kMostReal);
  whole("gateways_hollow", f.gateways_hollow, 0);
  whole("gateways_stated", f.gateways_stated, 0);
  whole("services", f.services, 1);
  whole("classes", f.classes, 1);
  whole("tenants", f.tenants, 0);
  f.zones = t.Integer("zones", f.zones, 1, 26);
  f.changes_per_s = t.Number("changes_per_s", f.changes_per_s, {0, 10000});
  f.requests_per_s = t.Number("requests_per_s", f.requests_per_s, {0, 100000});
  f.lease_term = t.Number("lease_term_s", f.lease_term / kMs, {0.5, 3600}) * kMs;
  f.whole_lists_per_s = t.Number("whole_lists_per_s", f.whole_lists_per_s, kAboveZero);
  t.RejectUnknownKeys();
  return f;
}

ScaleWindows ReadWindows(TomlTable& t, ScaleWindows w) {
  w.settle = t.Number("settle_ms", w.settle, kNotNegative);
  w.window = t.Number("window_ms", w.window, {50, 60000});
  w.rest = t.Number("rest_ms", w.rest, {50, 60000});
  t.RejectUnknownKeys();
  return w;
}

std::vector<double> ReadPoints(TomlTable& t, const std::string& key) {
  std::vector<double> points = t.NumberList(key, kNotNegative);
  if (points.size() < kLeastPoints) t.Fail(key, fmt::format("needs at least {} points", kLeastPoints));
  for (std::size_t i = 1; i < points.size(); ++i) {
    if (points[i] <= points[i - 1]) t.Fail(key, "must rise from point to point");
  }
  // From 0 on any size is decades away.
  const double first = points.front() > 0 ? points.front() : points[1];
  if (points.back() < kLeastSpan * first && points.front() > 0) {
    t.Fail(key, fmt::format("must span two decades, not {:g} to {:g}", first, points.back()));
  }
  return points;
}

// What the machine can't bear is refused before anything is started.
void CheckNeed(const TomlTable& t, const std::string& field, const std::string& what, const FleetSize& size,
               const ScaleLimits& limits) {
  const ScaleNeed need = NeedOf(size);
  if (need.memory_mb > limits.memory_mb) {
    t.Fail(field, fmt::format("{} would take about {:.0f} MB of memory; the limit is {:.0f} MB", what,
                              need.memory_mb, limits.memory_mb));
  }
  if (need.processes > limits.processes) {
    t.Fail(field, fmt::format("{} would take {} processes; the limit is {}", what, need.processes,
                              limits.processes));
  }
  if (need.descriptors > limits.descriptors) {
    t.Fail(field, fmt::format("{} would take about {} descriptors in one process; the limit is {}", what,
                              need.descriptors, limits.descriptors));
  }
}

void CheckPoints(const TomlTable& t, const std::string& field, const std::vector<double>& points,
                 const ScaleExperiment& e, const ScaleLimits& limits) {
  for (const double value : points) {
    CheckNeed(t, field, fmt::format("{} = {:g}", NameOf(e.axis), value), SizeAt(e, value), limits);
  }
}

void ReadSweep(TomlTable& t, ScaleExperiment& e) {
  if (!t.Has("axis")) t.Fail("axis", "missing");
  e.axis = ValueOf(kAxes, t.OneOf("axis", "", Words(kAxes)));
  e.points = ReadPoints(t, "points");
  e.quick_points = t.Has("quick_points") ? ReadPoints(t, "quick_points") : e.points;
  e.full = t.Number("full", kAboveZero);
  e.limited_by = t.Text("limited_by", "");
  if (e.limited_by.empty() && e.points.back() < e.full) {
    t.Fail("limited_by", "missing: why the largest point is below 'full'");
  }
}

ScaleExperiment Read(TomlTable t, const std::string& file, const ScaleLimits& limits) {
  ScaleExperiment e;
  e.file = file;
  e.name = t.Text("name");
  if (e.name.empty() ||
      e.name.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-_") != std::string::npos) {
    t.Fail("name", "must be of the letters a-z, 0-9, '-' and '_'");
  }
  e.about = t.Text("about", "");
  e.kind = ValueOf(kKinds, t.OneOf("kind", "sweep", Words(kKinds)));
  e.runs = t.Integer("plays", e.runs, 1, 100);
  e.seed = static_cast<std::uint64_t>(t.Integer("seed", 1, 0, kMostOfAnything));
  e.ends_within = t.Number("ends_within_s", e.ends_within / kMs, {1, 7200}) * kMs;
  if (auto fixed = t.Table("fixed")) e.fixed = ReadSize(*fixed, e.fixed);
  e.quick_fixed = e.fixed;
  if (e.kind != ScaleKind::kSweep) {
    if (auto fixed = t.Table("quick_fixed")) e.quick_fixed = ReadSize(*fixed, e.fixed);
  }
  if (auto windows = t.Table("windows")) e.windows = ReadWindows(*windows, e.windows);
  if (auto windows = t.Table("quick_windows")) e.quick_windows = ReadWindows(*windows, e.quick_windows);
  if (e.kind == ScaleKind::kStorms) {
    e.outage = t.Number("outage_s", e.outage / kMs, kAboveZero) * kMs;
    e.quick_outage = t.Number("quick_outage_s", e.quick_outage / kMs, kAboveZero) * kMs;
  }
  if (e.kind == ScaleKind::kSweep) ReadSweep(t, e);
  t.RejectUnknownKeys();
  CheckNeed(t, "fixed", "the fixed size", e.fixed, limits);
  CheckNeed(t, "quick_fixed", "the fixed size of a quick run", e.quick_fixed, limits);
  if (e.kind == ScaleKind::kSweep) {
    CheckPoints(t, "points", e.points, e, limits);
    CheckPoints(t, "quick_points", e.quick_points, e, limits);
  }
  return e;
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
  const int whole = static_cast<int>(std::lround(value));
  switch (experiment.axis) {
    case ScaleAxis::kHosts: size.hosts = whole; break;
    case ScaleAxis::kGateways: size.gateways_hollow = whole; break;
    case ScaleAxis::kServices: size.services = whole; break;
    case ScaleAxis::kClasses: size.classes = whole; break;
    case ScaleAxis::kTenants: size.tenants = whole; break;
    case ScaleAxis::kChanges: size.changes_per_s = value; break;
    case ScaleAxis::kRequests: size.requests_per_s = value; break;
  }
  return size;
}

std::map<std::string, double> FixedFigures(const FleetSize& size) {
  return {{"hosts", size.hosts},
          {"gateways_real", size.gateways_real},
          {"gateways_hollow", size.gateways_hollow},
          {"gateways_stated", size.gateways_stated},
          {"services", size.services},
          {"classes", size.classes},
          {"tenants", size.tenants},
          {"zones", size.zones},
          {"changes_per_s", size.changes_per_s},
          {"requests_per_s", size.requests_per_s},
          {"lease_term_s", size.lease_term / kMs},
          {"whole_lists_per_s", size.whole_lists_per_s}};
}

std::map<std::string, double> FixedFigures(const ScaleExperiment& experiment) {
  std::map<std::string, double> figures = FixedFigures(experiment.fixed);
  const std::map<ScaleAxis, const char*> named_differently{{ScaleAxis::kGateways, "gateways_hollow"},
                                                           {ScaleAxis::kChanges, "changes_per_s"},
                                                           {ScaleAxis::kRequests, "requests_per_s"}};
  const auto found = named_differently.find(experiment.axis);
  figures.erase(found == named_differently.end() ? NameOf(experiment.axis) : found->second);
  return figures;
}

ScaleLimits LimitsOfThisMachine() {
  ScaleLimits limits;
  const double pages = static_cast<double>(sysconf(_SC_PHYS_PAGES));
  limits.memory_mb = pages * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1 << 20) / 2;
  rlimit descriptors{};
  if (getrlimit(RLIMIT_NOFILE, &descriptors) == 0 && descriptors.rlim_max != RLIM_INFINITY) {
    limits.descriptors = static_cast<int>(std::min<rlim_t>(descriptors.rlim_max, kMostOfAnything));
  }
  return limits;
}

int HollowProcesses(int gateways_hollow) {
  return (gateways_hollow + kHollowPerProcess - 1) / kHollowPerProcess;
}

ScaleNeed NeedOf(const FleetSize& s) {
  const double gateways = s.gateways_real + 2;  // two more for the costs at rest
  const int classes = std::min(s.classes, kMostClasses);
  const double gateway =
      kGatewayMb + kGatewayPerHost * s.hosts + kGatewayPerTenant * s.tenants + kGatewayPerClass * classes;
  const double hollow =
      kHollowMb + kHollowPerHost * s.hosts + kHollowPerTenant * s.tenants + kHollowPerClass * classes;
  ScaleNeed need;
  need.memory_mb = kToolMb + kToolPerHost * s.hosts + kServiceMb + kServicePerHost * s.hosts +
                   kServicePerCaller * (s.gateways_hollow + s.gateways_real) + gateways * gateway +
                   kHollowProcessMb * HollowProcesses(s.gateways_hollow) + s.gateways_hollow * hollow;
  need.processes = kOwnProcesses + s.gateways_real + HollowProcesses(s.gateways_hollow);
  need.descriptors = kSpareDescriptors + s.gateways_real + s.gateways_hollow;
  return need;
}

ScaleExperiment StandardComparison() {
  ScaleExperiment e;
  e.file = "--compare";
  e.name = "hollow-against-real";
  e.about = "Ten hollow gateways ask and cost the list service what ten real ones do.";
  e.kind = ScaleKind::kComparison;
  e.runs = 3;
  e.ends_within = 100000;
  e.fixed.hosts = 12;
  e.fixed.gateways_real = e.fixed.gateways_hollow = 10;
  e.fixed.changes_per_s = 50;
  e.quick_fixed = e.fixed;
  e.windows = {300, 4000, 3000};
  e.quick_windows = {300, 2000, 2500};
  return e;
}

ScaleExperiment ReadScaleExperiment(const std::string& path, const ScaleLimits& limits) {
  return Read(TomlTable::FromFile(path), path, limits);
}

ScaleExperiment ParseScaleExperiment(std::string_view text, const std::string& name,
                                     const ScaleLimits& limits) {
  return Read(TomlTable::FromText(text, name), name, limits);
}

}  // namespace gateway::lab
