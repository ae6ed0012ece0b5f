#include "lab/scale/hollow_comparison.hpp"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "lab/scale/process_usage.hpp"

namespace gateway::lab {
namespace {

constexpr Millis kReadyWithin = 15000;

struct Reading {
  ListServiceCounts counts;
  Millis cpu = 0;
};

Reading Read(ScaleFleet& fleet) { return {fleet.Counts(), CpuTimeOf(fleet.list_service())}; }

// One run with gateways of one kind; adds to `use`.
void RunFleet(const ScalePrograms& programs, const FleetSize& size, const ScaleWindows& windows,
              std::uint64_t seed, Millis deadline, ListServiceUse& use) {
  ScaleFleet fleet(programs, size, seed, deadline);
  fleet.StartListService();
  fleet.members().RegisterAll();
  fleet.members().StartRenewing();
  fleet.CompleteList();  // encoded once, before it is counted
  const Reading begin = Read(fleet);
  const Millis rest_until = base::MonotonicNow() + windows.rest;
  fleet.StartRealGateways();
  fleet.StartHollowGateways(0, size.gateways_hollow, nullptr);
  fleet.WaitForHollowReady(kReadyWithin);
  if (rest_until > base::MonotonicNow()) fleet.loop().RunFor(rest_until - base::MonotonicNow());
  const Reading rested = Read(fleet);
  fleet.members().StartChanging(size.changes_per_s);
  fleet.loop().RunFor(windows.window);
  const Reading end = Read(fleet);
  use.rest_calls += rested.counts.list_calls - begin.counts.list_calls;
  use.rest_bytes_in += rested.counts.list_bytes_in - begin.counts.list_bytes_in;
  use.rest_bytes_out += rested.counts.list_bytes_out - begin.counts.list_bytes_out;
  use.change_calls += end.counts.list_calls - rested.counts.list_calls;
  use.change_bytes_in += end.counts.list_bytes_in - rested.counts.list_bytes_in;
  use.change_bytes_out += end.counts.list_bytes_out - rested.counts.list_bytes_out;
  const Millis cpu = end.cpu - begin.cpu;
  use.least_cpu_ms = use.least_cpu_ms > 0 ? std::min(use.least_cpu_ms, cpu) : cpu;
}

}  // namespace

bool HollowComparison::Holds(bool speeds) const {
  for (const UseRatio& ratio : ratios) {
    if (ratio.speed && !speeds) continue;
    if (!(std::abs(ratio.ratio() - 1) <= within)) return false;
  }
  return !ratios.empty();
}

HollowComparison CompareHollowGateways(const ScalePrograms& programs, const FleetSize& size,
                                       const ScaleWindows& windows, int runs, std::uint64_t seed,
                                       Millis deadline) {
  FleetSize real = size, hollow = size;
  real.gateways_real = size.gateways_hollow;
  real.gateways_hollow = 0;
  hollow.gateways_real = 0;
  ListServiceUse of_real, of_hollow;
  for (int run = 0; run < runs; ++run) {
    const std::uint64_t its_seed = seed + static_cast<std::uint64_t>(run);
    const bool real_first = run % 2 == 0;
    if (real_first) RunFleet(programs, real, windows, its_seed, deadline, of_real);
    RunFleet(programs, hollow, windows, its_seed, deadline, of_hollow);
    if (!real_first) RunFleet(programs, real, windows, its_seed, deadline, of_real);
  }
  HollowComparison comparison;
  comparison.gateways = size.gateways_hollow;
  comparison.ratios = {{"rest_calls", of_real.rest_calls, of_hollow.rest_calls},
                       {"rest_bytes_in", of_real.rest_bytes_in, of_hollow.rest_bytes_in},
                       {"rest_bytes_out", of_real.rest_bytes_out, of_hollow.rest_bytes_out},
                       {"change_calls", of_real.change_calls, of_hollow.change_calls},
                       {"change_bytes_in", of_real.change_bytes_in, of_hollow.change_bytes_in},
                       {"change_bytes_out", of_real.change_bytes_out, of_hollow.change_bytes_out},
                       {"service_cpu_ms", of_real.least_cpu_ms, of_hollow.least_cpu_ms, /*speed=*/true}};
  return comparison;
}

nlohmann::json ToJson(const HollowComparison& comparison) {
  nlohmann::json ratios = nlohmann::json::array();
  for (const UseRatio& ratio : comparison.ratios) {
    ratios.push_back(
        {{"figure", ratio.figure}, {"real", ratio.real}, {"hollow", ratio.hollow}, {"ratio", ratio.ratio()}});
  }
  return {{"gateways", comparison.gateways},
          {"within", comparison.within},
          {"holds", comparison.Holds(/*speeds=*/true)},
          {"ratios", ratios}};
}

}  // namespace gateway::lab
