#include "lab/fault_reader.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <iterator>
#include <string>
#include <vector>

namespace gateway::lab {
namespace {

using base::kAboveZero;
using base::kFraction;
using base::kNotNegative;
using base::TomlTable;

constexpr double kMillisPerSecond = 1000;

// The targets that a fault must specify in the file.
enum class Target { kNothing, kGateways, kHosts, kGatewaysAndHosts, kZone };

struct FaultName {
  const char* name;
  FaultKind kind;
  Target target;
};

constexpr FaultName kFaultNames[] = {
    {"kill", FaultKind::kKillGateway, Target::kGateways},
    {"stop", FaultKind::kStopGateway, Target::kGateways},
    {"term", FaultKind::kTerminateGateway, Target::kGateways},
    {"replace", FaultKind::kReplaceGateway, Target::kGateways},
    {"list_down", FaultKind::kListDown, Target::kNothing},
    {"list_kill", FaultKind::kListKill, Target::kNothing},
    {"list_stop", FaultKind::kListStop, Target::kNothing},
    {"list_full", FaultKind::kListDiskFull, Target::kNothing},
    {"list_cut", FaultKind::kListCut, Target::kGateways},
    {"list_truncate", FaultKind::kListTruncate, Target::kNothing},
    {"member_cut", FaultKind::kMemberCut, Target::kHosts},
    {"zone_cut", FaultKind::kZoneCut, Target::kZone},
    {"cut", FaultKind::kCut, Target::kGatewaysAndHosts},
    {"reset", FaultKind::kReset, Target::kGatewaysAndHosts},
    {"slow_host", FaultKind::kSlowHost, Target::kHosts},
    {"failing_host", FaultKind::kFailingHost, Target::kHosts},
    {"mute_host", FaultKind::kMuteHost, Target::kHosts},
    {"kill_host", FaultKind::kKillHost, Target::kHosts},
    {"vanish_host", FaultKind::kVanishHost, Target::kHosts},
    {"drain_host", FaultKind::kDrainHost, Target::kHosts},
    {"delay", FaultKind::kDelay, Target::kGateways},
    {"peers", FaultKind::kPeerConditions, Target::kGateways},
    {"peer_cut", FaultKind::kPeerCut, Target::kGateways},
    {"burst", FaultKind::kBurst, Target::kNothing},
};

const FaultName& ReadFaultName(TomlTable& table) {
  std::vector<std::string> names;
  names.reserve(std::size(kFaultNames));
  for (const FaultName& known : kFaultNames) names.emplace_back(known.name);
  if (!table.Has("what")) table.Fail("what", "missing");
  const std::string name = table.OneOf("what", "", names);
  return *std::find_if(std::begin(kFaultNames), std::end(kFaultNames),
                       [&](const FaultName& known) { return known.name == name; });
}

// Parses "2" or "0-4" and appends the numbers, which must be less than `count`.
void AppendRange(const TomlTable& table, const std::string& key, const std::string& text, int count,
                 std::vector<int>& numbers) {
  int first = 0;
  int last = 0;
  int length = 0;
  const int parsed = std::sscanf(text.c_str(), "%d-%d%n", &first, &last, &length);
  if (parsed == 1 && std::sscanf(text.c_str(), "%d%n", &first, &length) == 1) last = first;
  if (parsed < 1 || length != static_cast<int>(text.size())) {
    table.Fail(key, "'" + text + "' is neither a number N nor a range N-M");
  }
  if (first < 0 || last < first || last >= count) {
    table.Fail(key, fmt::format("'{}' is not within 0 to {}", text, count - 1));
  }
  for (int number = first; number <= last; ++number) numbers.push_back(number);
}

// Reads a comma-separated list of numbers and ranges.
std::vector<int> ReadNumbers(TomlTable& table, const std::string& key, int count) {
  std::vector<int> numbers;
  const std::string text = table.Text(key);
  std::size_t start = 0;
  while (start < text.size()) {
    const std::size_t end = std::min(text.find(',', start), text.size());
    AppendRange(table, key, text.substr(start, end - start), count, numbers);
    start = end + 1;
  }
  if (numbers.empty()) table.Fail(key, "must have at least one number");
  return numbers;
}

void ReadTarget(TomlTable& table, const Experiment& experiment, Target target, Fault& fault) {
  if (target == Target::kHosts || target == Target::kGatewaysAndHosts) {
    fault.hosts = ReadNumbers(table, "host", experiment.HostCount());
  }
  switch (target) {
    case Target::kGateways:
    case Target::kGatewaysAndHosts:
      fault.gateways = ReadNumbers(table, "gateway", experiment.fleet.gateways);
      fault.description += " gateway " + table.Text("gateway");
      break;
    case Target::kHosts: fault.description += " host " + table.Text("host"); break;
    case Target::kZone:
      if (!table.Has("zone")) table.Fail("zone", "missing");
      fault.zone = table.OneOf("zone", "", experiment.fleet.zones);
      fault.description += " " + fault.zone;
      break;
    case Target::kNothing: break;
  }
}

void ReadMagnitude(TomlTable& table, Fault& fault) {
  fault.magnitude = table.Number("size", kAboveZero);
  fault.description += fmt::format(" x{:g}", fault.magnitude);
}

void ReadCutDirections(TomlTable& table, Fault& fault) {
  const std::string direction = table.OneOf("way", "both", {"both", "there", "back"});
  fault.cuts_from_gateway = direction != "back";
  fault.cuts_to_gateway = direction != "there";
  if (direction != "both") fault.description += " " + direction;
}

void ReadConditions(TomlTable& table, Fault& fault) {
  fault.conditions.loss_rate = table.Number("loss", 0, kFraction);
  fault.conditions.duplication_rate = table.Number("repeat", 0, kFraction);
  fault.conditions.reordering_rate = table.Number("reorder", 0, kFraction);
  fault.conditions.delay = table.Number("delay_ms", 0, kNotNegative);
}

// Reads the keys that only some faults have.
void ReadParameters(TomlTable& table, const Experiment& experiment, Fault& fault) {
  switch (fault.kind) {
    case FaultKind::kSlowHost:
    case FaultKind::kBurst: return ReadMagnitude(table, fault);
    case FaultKind::kDelay:
      ReadMagnitude(table, fault);
      fault.jitter = table.Number("jitter_ms", 0, kNotNegative);
      return;
    case FaultKind::kCut: return ReadCutDirections(table, fault);
    case FaultKind::kPeerConditions: return ReadConditions(table, fault);
    case FaultKind::kPeerCut:
      fault.peers = ReadNumbers(table, "peer", experiment.fleet.gateways);
      fault.description += " from " + table.Text("peer");
      return;
    case FaultKind::kFailingHost:
    case FaultKind::kListTruncate: fault.magnitude = table.Number("size", kFraction); return;
    default: return;
  }
}

bool NeedsRegistryProcess(FaultKind kind) {
  switch (kind) {
    case FaultKind::kListKill:
    case FaultKind::kListStop:
    case FaultKind::kListDiskFull:
    case FaultKind::kListCut:
    case FaultKind::kListTruncate:
    case FaultKind::kMemberCut: return true;
    default: return false;
  }
}

void CheckAgainstFleet(const TomlTable& table, const Fleet& fleet, const Fault& fault) {
  if (NeedsRegistryProcess(fault.kind) && !fleet.uses_registry_process) {
    table.Fail("what", "this fault needs registry = true in [fleet]");
  }
  if (fault.kind == FaultKind::kListDown && fleet.uses_registry_process) {
    table.Fail("what",
               "list_down applies only to the emulated list service; use list_kill with registry = true");
  }
  if (fault.kind == FaultKind::kListKill && fault.duration <= 0) {
    table.Fail("for_s", "missing: list_kill needs the time until the restart");
  }
  const bool uses_peer_network =
      fault.kind == FaultKind::kPeerConditions || fault.kind == FaultKind::kPeerCut;
  if (uses_peer_network && !fleet.peer_network) {
    table.Fail("what", "this fault needs peers = true in [fleet]");
  }
}

}  // namespace

Fault ReadFault(TomlTable& table, const Experiment& experiment) {
  const FaultName& fault_name = ReadFaultName(table);
  Fault fault;
  fault.kind = fault_name.kind;
  fault.at = kMillisPerSecond * table.Number("at_s", {0, experiment.traffic.duration / kMillisPerSecond});
  fault.duration = table.Seconds("for_s", 0, kNotNegative);
  fault.description = fault_name.name;
  ReadTarget(table, experiment, fault_name.target, fault);
  ReadParameters(table, experiment, fault);
  CheckAgainstFleet(table, experiment.fleet, fault);
  table.RejectUnknownKeys();
  return fault;
}

}  // namespace gateway::lab
