// Load balancing: chooses the endpoint of an attempt among those with free capacity.
//
// Uses the power of two choices: draws two candidates at random and chooses the one with the lower cost,
// which is the number of own attempts in flight times the smoothed latency. If endpoints cache keys, the two
// candidates are selected by weighted rendezvous hashing of the routing key, so that all gateways send a key
// to the same endpoints.
#ifndef GATEWAY_POLICY_LOAD_BALANCER_HPP_
#define GATEWAY_POLICY_LOAD_BALANCER_HPP_

#include <cstdint>
#include <utility>
#include <vector>

#include "gateway/settings.hpp"
#include "policy/endpoint_table.hpp"
#include "policy/random_source.hpp"

namespace gateway::policy {

// Chooses endpoints for attempts.
class LoadBalancer {
 public:
  explicit LoadBalancer(const Settings& settings) : endpoints_cache_keys_(settings.endpoints_cache_keys) {}

  // Chooses one of `candidates`, which must not be empty and are reordered. `key_hash`: hash of the routing
  // key, 0 = no key. `many_gateways_per_endpoint`: latencies are averaged with those of the machine type.
  Endpoint& Choose(std::vector<Endpoint*>& candidates, std::uint64_t key_hash,
                   bool many_gateways_per_endpoint, const EndpointTable& table, RandomSource& random);

  // Returns the cost of an additional attempt at the endpoint.
  static double Cost(const Endpoint& endpoint, bool many_gateways_per_endpoint, const EndpointTable& table);

 private:
  void MoveBestForKeyToFront(std::vector<Endpoint*>& candidates, std::uint64_t key_hash);

  const bool endpoints_cache_keys_;
  std::vector<std::pair<double, Endpoint*>> ranked_;  // reused buffer of MoveBestForKeyToFront()
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_LOAD_BALANCER_HPP_
