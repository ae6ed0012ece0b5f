// Subsetting: which endpoints this gateway uses. See docs/design/subset.md.
//
// Where many gateways share the endpoints, each keeps to a few: a few requests per second spread over all of
// them would tell nothing about any, and connections would fill their tables. Gateways begin at evenly spread
// positions of a ring that all agree on. An ejected endpoint is replaced by the next one on the ring.
#ifndef GATEWAY_POLICY_SUBSETTING_HPP_
#define GATEWAY_POLICY_SUBSETTING_HPP_

#include <cstdint>
#include <vector>

#include "gateway/settings.hpp"
#include "policy/endpoint_table.hpp"
#include "policy/random_source.hpp"

namespace gateway::policy {

// Position of this gateway on the ring, in [0, 1): by its index, or random if that is unknown. Any run of
// consecutive indices is spread evenly.
double RingPosition(const Settings& settings, RandomSource& random);

class Subsetting {
 public:
  Subsetting(const Settings& settings, double ring_position);

  // Chooses the subset anew. `concurrent_requests`: own requests being served at a time.
  void Choose(EndpointTable& table, double concurrent_requests);

  // Whether the requests need considerably more endpoints than the subset was chosen for.
  bool IsTooSmall(double concurrent_requests) const;

  // The subset, ordered by id. Valid until an endpoint of it is erased.
  const std::vector<Endpoint*>& endpoints() const { return endpoints_; }

  // Gateways that share each endpoint, at least 1.
  double gateways_per_endpoint() const { return gateways_per_endpoint_; }
  // Whether those are so many that no gateway sees much of an endpoint's traffic.
  bool many_gateways_per_endpoint() const;

 private:
  double TargetSize(int up_count, double concurrent_requests) const;
  bool IsSkipped(const Endpoint& endpoint, const EndpointTable& table) const;

  const int gateway_count_;
  const bool multiplexes_connections_;
  const double ring_position_;
  const std::uint64_t salt_;  // of this gateway, by which it draws endpoints of other zones
  std::vector<Endpoint*> endpoints_;
  double gateways_per_endpoint_ = 1;
  double target_size_ = 0;  // endpoints
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_SUBSETTING_HPP_
