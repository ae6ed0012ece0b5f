// Subsetting: selects the endpoints that this gateway uses. See docs/design/subset.md.
//
// If many gateways share the endpoints, each gateway uses only a few endpoints. If a gateway used all
// endpoints, it would get too few samples from each endpoint, and each endpoint would have too many
// connections. The subsets of the gateways start at evenly spaced positions of a ring that is the same in all
// gateways. An ejected endpoint stays in the subset but does not count towards the size of the subset, so the
// next endpoint on the ring is added.
#ifndef GATEWAY_POLICY_SUBSETTING_HPP_
#define GATEWAY_POLICY_SUBSETTING_HPP_

#include <cstdint>
#include <vector>

#include "gateway/settings.hpp"
#include "policy/endpoint_table.hpp"
#include "policy/random_source.hpp"

namespace gateway::policy {

// Returns the position of this gateway on the ring, in [0, 1). The position is derived from the gateway's
// index, or random if the index is unknown. Gateways with consecutive indices have nearly evenly spaced
// positions.
double RingPosition(const Settings& settings, RandomSource& random);

// Selects the subset and assesses whether it is large enough.
class Subsetting {
 public:
  Subsetting(const Settings& settings, double ring_position);

  // Selects a new subset. `concurrent_requests`: mean number of concurrent requests of this gateway.
  void Choose(EndpointTable& table, double concurrent_requests);

  // Returns whether `concurrent_requests` need considerably more endpoints than the current target size.
  bool IsTooSmall(double concurrent_requests) const;

  // Returns the subset, ordered by id. The pointers are valid until an endpoint of the subset is erased.
  const std::vector<Endpoint*>& endpoints() const { return endpoints_; }

  // Returns the mean number of gateways that share each endpoint, at least 1.
  double gateways_per_endpoint() const { return gateways_per_endpoint_; }
  // Returns whether so many gateways share each endpoint that a gateway gets few samples from an endpoint.
  bool many_gateways_per_endpoint() const;

 private:
  double TargetSize(int up_count, double concurrent_requests) const;
  bool IsSkipped(const Endpoint& endpoint, const EndpointTable& table) const;

  const int gateway_count_;
  const bool multiplexes_connections_;
  const double ring_position_;
  const std::uint64_t salt_;  // differs between gateways; decides which endpoints of other zones are used
  std::vector<Endpoint*> endpoints_;
  double gateways_per_endpoint_ = 1;
  double target_size_ = 0;  // number of endpoints that are not ejected
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_SUBSETTING_HPP_
