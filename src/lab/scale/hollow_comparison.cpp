#include "lab/scale/hollow_comparison.hpp"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "lab/scale/process_usage.hpp"

namespace gateway::lab {
namespace {

constexpr Millis kReadyTimeoutMs = 15000;

struct UsageReading {
  ListServiceCounts counts;
  Millis cpu = 0;
};

UsageReading ReadUsage(ScaleFleet& fleet) { return {fleet.FetchCounts(), CpuTimeOf(fleet.list_service())}; }

// Runs one fleet with gateways of one kind and adds its load to `load`.
void RunFleet(const ScalePrograms& programs, const FleetSize& size, const ScaleWindows& windows,
              std::uint64_t seed, Millis deadline, ListServiceLoad& load) {
  ScaleFleet fleet(programs, size, seed, deadline);
  fleet.StartListService();
  fleet.members().RegisterAll();
  fleet.members().StartRenewing();
  fleet.FetchCompleteList();  // the service encodes the list now, not during the measurement
  const UsageReading before = ReadUsage(fleet);
  const Millis unloaded_until = base::MonotonicNow() + windows.unloaded;
  fleet.StartRealGateways();
  fleet.StartHollowGateways(0, size.gateways_hollow, nullptr);
  fleet.WaitForHollowReady(kReadyTimeoutMs);
  if (unloaded_until > base::MonotonicNow()) fleet.loop().RunFor(unloaded_until - base::MonotonicNow());
  const UsageReading after_unloaded = ReadUsage(fleet);
  fleet.members().StartChanging(size.changes_per_s);
  fleet.loop().RunFor(windows.window);
  const UsageReading after_changes = ReadUsage(fleet);
  load.unloaded_calls += after_unloaded.counts.list_calls - before.counts.list_calls;
  load.unloaded_bytes_in += after_unloaded.counts.list_bytes_in - before.counts.list_bytes_in;
  load.unloaded_bytes_out += after_unloaded.counts.list_bytes_out - before.counts.list_bytes_out;
  load.change_calls += after_changes.counts.list_calls - after_unloaded.counts.list_calls;
  load.change_bytes_in += after_changes.counts.list_bytes_in - after_unloaded.counts.list_bytes_in;
  load.change_bytes_out += after_changes.counts.list_bytes_out - after_unloaded.counts.list_bytes_out;
  const Millis cpu = after_changes.cpu - before.cpu;
  load.min_cpu_ms = load.min_cpu_ms > 0 ? std::min(load.min_cpu_ms, cpu) : cpu;
}

}  // namespace

bool HollowComparison::IsWithinTolerance(bool include_machine_dependent) const {
  for (const LoadRatio& ratio : ratios) {
    if (ratio.machine_dependent && !include_machine_dependent) continue;
    if (!(std::abs(ratio.ratio() - 1) <= tolerance)) return false;
  }
  return !ratios.empty();
}

HollowComparison CompareHollowGateways(const ScalePrograms& programs, const FleetSize& size,
                                       const ScaleWindows& windows, int runs, std::uint64_t seed,
                                       Millis deadline) {
  FleetSize real_size = size, hollow_size = size;
  real_size.gateways_real = size.gateways_hollow;
  real_size.gateways_hollow = 0;
  hollow_size.gateways_real = 0;
  ListServiceLoad real_load, hollow_load;
  for (int run = 0; run < runs; ++run) {
    const std::uint64_t run_seed = seed + static_cast<std::uint64_t>(run);
    const bool real_first = run % 2 == 0;
    if (real_first) RunFleet(programs, real_size, windows, run_seed, deadline, real_load);
    RunFleet(programs, hollow_size, windows, run_seed, deadline, hollow_load);
    if (!real_first) RunFleet(programs, real_size, windows, run_seed, deadline, real_load);
  }
  HollowComparison comparison;
  comparison.gateways = size.gateways_hollow;
  comparison.ratios = {
      {"rest_calls", real_load.unloaded_calls, hollow_load.unloaded_calls},
      {"rest_bytes_in", real_load.unloaded_bytes_in, hollow_load.unloaded_bytes_in},
      {"rest_bytes_out", real_load.unloaded_bytes_out, hollow_load.unloaded_bytes_out},
      {"change_calls", real_load.change_calls, hollow_load.change_calls},
      {"change_bytes_in", real_load.change_bytes_in, hollow_load.change_bytes_in},
      {"change_bytes_out", real_load.change_bytes_out, hollow_load.change_bytes_out},
      {"service_cpu_ms", real_load.min_cpu_ms, hollow_load.min_cpu_ms, /*machine_dependent=*/true}};
  return comparison;
}

nlohmann::json ToJson(const HollowComparison& comparison) {
  nlohmann::json ratios = nlohmann::json::array();
  for (const LoadRatio& ratio : comparison.ratios) {
    ratios.push_back(
        {{"figure", ratio.figure}, {"real", ratio.real}, {"hollow", ratio.hollow}, {"ratio", ratio.ratio()}});
  }
  return {{"gateways", comparison.gateways},
          {"within", comparison.tolerance},
          {"holds", comparison.IsWithinTolerance(/*include_machine_dependent=*/true)},
          {"ratios", ratios}};
}

}  // namespace gateway::lab
