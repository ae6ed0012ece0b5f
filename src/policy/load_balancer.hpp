// Load balancing: chooses the endpoint of an attempt among the endpoints with free capacity.
//
// Uses the power of two choices: draws two candidates at random and chooses the one with the lower cost. The
// cost of an endpoint is its smoothed latency times the number of this gateway's attempts at the endpoint,
// including the new attempt. If endpoints cache keys, the two candidates are selected by weighted rendezvous
// hashing of the routing key. Thus all gateways send requests with the same key to the same endpoints.
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

  // Chooses one of `candidates`, which must not be empty. Reorders `candidates`. `key_hash` is the hash of
  // the routing key, or 0 if there is no key. If `many_gateways_per_endpoint` is true, the latency of an
  // endpoint is averaged with the latency of its machine type.
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
