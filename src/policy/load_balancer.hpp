// Load balancing: the endpoint of an attempt among those that can take it.
//
// Two candidates are drawn, and the one of lower cost wins: own attempts in flight times smoothed latency.
// Where endpoints cache keys, the two come from weighted rendezvous hashing of the request's routing key, so
// that the same key goes to the same endpoints from every gateway.
#ifndef GATEWAY_POLICY_LOAD_BALANCER_HPP_
#define GATEWAY_POLICY_LOAD_BALANCER_HPP_

#include <cstdint>
#include <utility>
#include <vector>

#include "gateway/settings.hpp"
#include "policy/endpoint_table.hpp"
#include "policy/random_source.hpp"

namespace gateway::policy {

class LoadBalancer {
 public:
  explicit LoadBalancer(const Settings& settings) : endpoints_cache_keys_(settings.endpoints_cache_keys) {}

  // Chooses one of `candidates`, which must not be empty and are reordered. `key_hash`: of the routing key;
  // 0 = none. `many_gateways_per_endpoint`: latencies lean on those of the machine type.
  Endpoint& Choose(std::vector<Endpoint*>& candidates, std::uint64_t key_hash,
                   bool many_gateways_per_endpoint, const EndpointTable& table, RandomSource& random);

  // The cost of one more attempt at the endpoint.
  static double Cost(const Endpoint& endpoint, bool many_gateways_per_endpoint, const EndpointTable& table);

 private:
  void MoveBestForKeyToFront(std::vector<Endpoint*>& candidates, std::uint64_t key_hash);

  const bool endpoints_cache_keys_;
  std::vector<std::pair<double, Endpoint*>> ranked_;  // kept for its memory
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_LOAD_BALANCER_HPP_
