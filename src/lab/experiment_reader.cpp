// Reads the TOML file of an experiment.
#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <vector>

#include "base/spelling.hpp"
#include "base/toml_reader.hpp"
#include "lab/experiment.hpp"
#include "lab/fault_reader.hpp"
#include "lab/figures.hpp"

namespace gateway::lab {
namespace {

using base::kAboveZero;
using base::kFraction;
using base::kNotNegative;
using base::TomlTable;

constexpr double kMillisPerSecond = 1000;
constexpr int kMaxGateways = 200;      // each gateway needs an address of its own; a run has 254 addresses
constexpr int kMaxPeerGateways = 100;  // the peer network has two sockets for each pair
constexpr int kMaxHosts = 600;
constexpr int kMaxSlots = 1 << 20;

std::string ReadName(TomlTable& table) {
  std::string name = table.Text("name");
  if (name.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-_.") != std::string::npos ||
      name.empty()) {
    table.Fail("name", "must consist of the characters a-z, 0-9, '-', '_' and '.'");
  }
  return name;
}

Fleet ReadFleet(TomlTable& table) {
  Fleet fleet;
  fleet.gateways = table.Integer("gateways", fleet.gateways, 1, kMaxGateways);
  if (table.Has("zones")) fleet.zones = table.TextList("zones");
  if (fleet.zones.empty()) table.Fail("zones", "must name at least one zone");
  fleet.list_delay = table.Number("list_delay_ms", fleet.list_delay, kNotNegative);
  fleet.front_detection_delay = table.Number("front_notices_ms", fleet.front_detection_delay, kNotNegative);
  fleet.drain_grace = table.Number("drain_grace_ms", fleet.drain_grace, kAboveZero);
  fleet.max_attempts = table.Integer("max_attempts", fleet.max_attempts, 1, 10);
  fleet.max_descriptors = table.Integer("sockets", fleet.max_descriptors, 64, 1 << 20);
  fleet.memory_mb = table.Integer("memory_mb", fleet.memory_mb, 16, 1 << 20);
  fleet.retry_after = table.Flag("retry_after", fleet.retry_after);
  fleet.max_file_kb = table.Integer("file_kb", fleet.max_file_kb, 0, 1 << 30);
  fleet.sync_delay = table.Number("slow_sync_ms", fleet.sync_delay, {0, 60000});
  fleet.saves_state = table.Flag("state", fleet.saves_state);
  fleet.uses_registry_process = table.Flag("registry", fleet.uses_registry_process);
  fleet.lease_term = table.Seconds("lease_term_s", fleet.lease_term, {0.5, 3600});
  fleet.lease_grace = table.Seconds("lease_grace_s", fleet.lease_grace, kNotNegative);
  fleet.peer_network = table.Flag("peers", fleet.peer_network);
  if (fleet.peer_network && fleet.gateways > kMaxPeerGateways) {
    table.Fail("peers", fmt::format("a fleet with a peer network can have at most {} gateways, but has {}",
                                    kMaxPeerGateways, fleet.gateways));
  }
  fleet.ready_within = table.Seconds("ready_within_s", fleet.ready_within, {0.1, 600});
  table.RejectUnknownKeys();
  return fleet;
}

HostGroup ReadHostGroup(TomlTable& table, const std::vector<std::string>& zones) {
  HostGroup group;
  group.name = table.Text("kind", group.name);
  group.count = table.Integer("count", group.count, 1, kMaxHosts);
  if (table.Has("zone")) group.zone = table.OneOf("zone", "", zones);
  group.cores = table.Number("cores", group.cores, {0.01, 1024});
  group.speed = table.Number("speed", group.speed, {0.001, 1000});
  group.slots = table.Integer("slots", group.slots, 1, kMaxSlots);
  group.queue_capacity = table.Integer("waiting", group.queue_capacity, 0, kMaxSlots);
  group.thrash_factor = table.Number("thrash", group.thrash_factor, kFraction);
  group.handshake_work = table.Number("handshake_ms", group.handshake_work, kNotNegative);
  group.max_connections = table.Integer("connections", group.max_connections, 1, kMaxSlots);
  group.idle_timeout = table.Number("idle_ms", group.idle_timeout, {100, 1e9});
  group.error_rate = table.Number("errors", group.error_rate, kFraction);
  group.no_response_rate = table.Number("silent", group.no_response_rate, kFraction);
  table.RejectUnknownKeys();
  return group;
}

void ReadHostGroups(TomlTable& table, Experiment& experiment) {
  for (TomlTable& group : table.Tables("hosts")) {
    experiment.host_groups.push_back(ReadHostGroup(group, experiment.fleet.zones));
  }
  if (experiment.host_groups.empty()) table.Fail("hosts", "at least one [[hosts]] table is needed");
  if (experiment.HostCount() > kMaxHosts)
    table.Fail("hosts", fmt::format("{} hosts in total, the limit is {}", experiment.HostCount(), kMaxHosts));
}

HostWarmUp ReadHostWarmUp(TomlTable& table) {
  HostWarmUp warm_up;
  warm_up.initial_fraction = table.Number("from", warm_up.initial_fraction, {0.01, 1});
  warm_up.duration = table.Seconds("warm_after_s", warm_up.duration, kNotNegative);
  warm_up.overload_factor = table.Number("fall_multiple", warm_up.overload_factor, kAboveZero);
  warm_up.overload_window = table.Seconds("fall_window_s", warm_up.overload_window, kAboveZero);
  table.RejectUnknownKeys();
  return warm_up;
}

TrafficClass ReadClass(TomlTable& table) {
  TrafficClass traffic_class;
  traffic_class.name = table.Text("name");
  traffic_class.share = table.Number("share", traffic_class.share, kAboveZero);
  traffic_class.work = table.Number("work_ms", traffic_class.work, kAboveZero);
  traffic_class.latency_objective = table.Number("aim_ms", traffic_class.latency_objective, kAboveZero);
  traffic_class.deadline = table.Number("deadline_ms", traffic_class.deadline, kAboveZero);
  if (traffic_class.deadline < traffic_class.latency_objective) {
    table.Fail("deadline_ms",
               fmt::format("must not be less than aim_ms, {:g} ms", traffic_class.latency_objective));
  }
  traffic_class.priority_weight = table.Number("worth", traffic_class.priority_weight, kAboveZero);
  traffic_class.late_weight = table.Number("late_worth", traffic_class.late_weight, kFraction);
  traffic_class.idempotent = table.Flag("repeatable", traffic_class.idempotent);
  table.RejectUnknownKeys();
  return traffic_class;
}

// `capacity`: requests per second that all hosts together can serve.
Traffic ReadTraffic(TomlTable& table, double capacity) {
  Traffic traffic;
  if (table.Has("load") == table.Has("rate")) table.Fail("rate", "give either 'rate' or 'load'");
  traffic.rate =
      table.Has("load") ? table.Number("load", kAboveZero) * capacity : table.Number("rate", kAboveZero);
  traffic.duration = table.Number("seconds", {0.1, 7200}) * kMillisPerSecond;
  traffic.warm_up = table.Seconds("warm_up_s", traffic.warm_up, {0, traffic.duration / kMillisPerSecond});
  traffic.bursty = table.OneOf("arrivals", "poisson", {"poisson", "bursty"}) == "bursty";
  traffic.burst_factor = table.Number("burst_factor", traffic.burst_factor, {1, 100});
  traffic.burst_length = table.Number("burst_ms", traffic.burst_length, kAboveZero);
  traffic.tenants = table.NumberTable("tenants");
  traffic.skew = table.Number("skew", traffic.skew, {0, 100});
  traffic.max_retries = table.Integer("retries", traffic.max_retries, 0, 20);
  traffic.backoff = table.Number("backoff_ms", traffic.backoff, kNotNegative);
  traffic.client_timeout_share = table.Number("patience", traffic.client_timeout_share, {0.05, 1});
  table.RejectUnknownKeys();
  return traffic;
}

void ReadFaults(TomlTable& table, Experiment& experiment) {
  for (TomlTable& fault : table.Tables("faults")) {
    experiment.faults.push_back(ReadFault(fault, experiment));
  }
  std::stable_sort(experiment.faults.begin(), experiment.faults.end(),
                   [](const Fault& a, const Fault& b) { return a.at < b.at; });
}

std::vector<std::string> ReadBaselines(TomlTable& table) {
  const std::vector<std::string> known{"random", "round_robin", "least_inflight",
                                       "direct", "no_fault",    "no_state"};
  std::vector<std::string> baselines = table.TextList("baselines");
  for (const std::string& name : baselines) {
    if (std::find(known.begin(), known.end(), name) == known.end()) {
      table.Fail("baselines", fmt::format("'{}' is not one of {}", name, fmt::join(known, ", ")));
    }
  }
  return baselines;
}

std::string ReadFigure(TomlTable& table) {
  std::string figure = table.Text("figure");
  if (IsFigure(figure)) return figure;
  const std::string nearest = base::NearestWord(figure, FigureNames());
  const std::string hint = nearest.empty()
                               ? fmt::format("; known figures: {}", fmt::join(FigureNames(), ", "))
                               : fmt::format(", did you mean '{}'?", nearest);
  table.Fail("figure", fmt::format("unknown figure '{}'{}", figure, hint));
}

Bound ReadBound(TomlTable& table, const std::vector<std::string>& variants) {
  Bound bound;
  bound.figure = ReadFigure(table);
  bound.variant = table.OneOf("of", bound.variant, variants);
  if (table.Has("over")) bound.baseline = table.OneOf("over", "", variants);
  if (table.Has("least")) bound.minimum = table.Number("least");
  if (table.Has("most")) bound.maximum = table.Number("most");
  if (!bound.minimum && !bound.maximum) table.Fail("figure", "the bound needs 'least' or 'most'");
  bound.depends_on_speed = table.Flag("speed", bound.depends_on_speed);
  table.RejectUnknownKeys();
  return bound;
}

void ReadBounds(TomlTable& table, Experiment& experiment) {
  std::vector<std::string> variants = experiment.baselines;
  variants.insert(variants.end(), {"gateway", "earlier"});
  for (TomlTable& bound : table.Tables("bounds")) experiment.bounds.push_back(ReadBound(bound, variants));
}

Experiment ReadTable(TomlTable table) {
  Experiment experiment;
  experiment.name = ReadName(table);
  experiment.about = table.Text("about", "");
  experiment.ends_within = table.Seconds("ends_within_s", experiment.ends_within, {1, 7200});
  experiment.max_lateness = table.Number("most_late_ms", experiment.max_lateness, kAboveZero);
  if (auto fleet = table.Table("fleet")) experiment.fleet = ReadFleet(*fleet);
  ReadHostGroups(table, experiment);
  if (auto cold_start = table.Table("cold_start")) experiment.host_warm_up = ReadHostWarmUp(*cold_start);
  for (TomlTable& item : table.Tables("classes")) experiment.classes.push_back(ReadClass(item));
  if (experiment.classes.empty()) table.Fail("classes", "at least one [[classes]] table is needed");
  auto traffic = table.Table("traffic");
  if (!traffic) table.Fail("traffic", "missing");
  experiment.traffic = ReadTraffic(*traffic, experiment.Capacity());
  ReadFaults(table, experiment);
  experiment.baselines = ReadBaselines(table);
  ReadBounds(table, experiment);
  table.RejectUnknownKeys();
  return experiment;
}

}  // namespace

Experiment ReadExperiment(const std::string& path) { return ReadTable(TomlTable::FromFile(path)); }

Experiment ParseExperiment(std::string_view text, const std::string& name) {
  return ReadTable(TomlTable::FromText(text, name));
}

}  // namespace gateway::lab
