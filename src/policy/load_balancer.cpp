#include "policy/load_balancer.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>

#include "policy/hash.hpp"

namespace gateway::policy {
namespace {

constexpr double kOtherZoneCost = 1.3;           // factor on the cost of an endpoint in another zone
constexpr double kMachineTypeWeightSamples = 2;  // weight of the machine type's latency, in samples
constexpr double kMaximumOwnWeightSamples = 10;  // maximum weight of the endpoint's own latency, in samples
constexpr std::size_t kCandidateCount = 2;       // endpoints whose costs are compared

void MoveRandomToFront(std::vector<Endpoint*>& candidates, RandomSource& random) {
  const std::size_t count = candidates.size();
  std::swap(candidates[0], candidates[random.Index(count)]);
  std::swap(candidates[1], candidates[1 + random.Index(count - 1)]);
}

}  // namespace

double LoadBalancer::Cost(const Endpoint& endpoint, bool many_gateways_per_endpoint,
                          const EndpointTable& table) {
  const LatencyEstimate& own = endpoint.concurrency.latency;
  const LatencyEstimate& type = endpoint.machine_type->latency;
  const bool use_type_latency = many_gateways_per_endpoint && type.current > 0;
  const double type_weight = use_type_latency ? kMachineTypeWeightSamples : 0;
  const double own_weight = std::min(1.0 * own.samples, kMaximumOwnWeightSamples);
  const double weight = own_weight + type_weight;
  const double mean = (own_weight * own.current + type_weight * type.current) / std::max(1.0, weight);
  const double latency = weight > 0 ? mean : std::max(1.0, table.MedianLatency());
  return (table.IsInOwnZone(endpoint) ? 1 : kOtherZoneCost) * (endpoint.in_flight + 1) * latency;
}

// Weighted rendezvous hashing: adding or removing an endpoint reassigns only the keys of that endpoint.
void LoadBalancer::MoveBestForKeyToFront(std::vector<Endpoint*>& candidates, std::uint64_t key_hash) {
  ranked_.clear();
  for (Endpoint* const endpoint : candidates) {
    const double fraction = HashToFraction(key_hash ^ endpoint->hash);
    ranked_.emplace_back(-std::log(fraction) / endpoint->info.weight, endpoint);
  }
  std::ranges::partial_sort(ranked_, ranked_.begin() + kCandidateCount, {},
                            &std::pair<double, Endpoint*>::first);
  for (std::size_t i = 0; i < kCandidateCount; ++i) candidates[i] = ranked_[i].second;
}

Endpoint& LoadBalancer::Choose(std::vector<Endpoint*>& candidates, std::uint64_t key_hash,
                               bool many_gateways_per_endpoint, const EndpointTable& table,
                               RandomSource& random) {
  if (candidates.size() == 1) return *candidates.front();
  if (candidates.size() > kCandidateCount) {
    if (endpoints_cache_keys_ && key_hash != 0) {
      MoveBestForKeyToFront(candidates, key_hash);
    } else {
      MoveRandomToFront(candidates, random);
    }
  }
  Endpoint& first = *candidates[0];
  Endpoint& second = *candidates[1];
  const auto cost = [&](const Endpoint& endpoint) {
    return Cost(endpoint, many_gateways_per_endpoint, table);
  };
  return cost(second) < cost(first) ? second : first;
}

}  // namespace gateway::policy
