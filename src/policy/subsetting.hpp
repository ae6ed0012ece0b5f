// Subsetting: selects the endpoints that this gateway uses. See docs/design/subset.md.
//
// If many gateways share the endpoints, each gateway uses only a few of them: a low request rate spread over
// all endpoints would give too few samples for each, and the endpoints would have too many connections. The
// gateways start at evenly spaced positions of a common ring. An ejected endpoint is replaced by the next one
// on the ring.
#ifndef GATEWAY_POLICY_SUBSETTING_HPP_
#define GATEWAY_POLICY_SUBSETTING_HPP_

#include <cstdint>
#include <vector>

#include "gateway/settings.hpp"
#include "policy/endpoint_table.hpp"
#include "policy/random_source.hpp"

namespace gateway::policy {

// Returns the position of this gateway on the ring, in [0, 1). It is derived from the gateway's index, or
// random if the index is unknown. The positions of any range of consecutive indices are evenly spaced.
double RingPosition(const Settings& settings, RandomSource& random);

// Selects the subset and assesses whether it is large enough.
class Subsetting {
 public:
  Subsetting(const Settings& settings, double ring_position);

  // Selects a new subset. `concurrent_requests`: mean number of concurrent requests of this gateway.
  void Choose(EndpointTable& table, double concurrent_requests);

  // Returns whether the requests need considerably more endpoints than the subset was selected for.
  bool IsTooSmall(double concurrent_requests) const;

  // Returns the subset, ordered by id. The pointers are valid until an endpoint of the subset is erased.
  const std::vector<Endpoint*>& endpoints() const { return endpoints_; }

  // Returns the mean number of gateways that share each endpoint, at least 1.
  double gateways_per_endpoint() const { return gateways_per_endpoint_; }
  // Returns whether so many gateways share each endpoint that each gateway sees little of its traffic.
  bool many_gateways_per_endpoint() const;

 private:
  double TargetSize(int up_count, double concurrent_requests) const;
  bool IsSkipped(const Endpoint& endpoint, const EndpointTable& table) const;

  const int gateway_count_;
  const bool multiplexes_connections_;
  const double ring_position_;
  const std::uint64_t salt_;  // of this gateway, for the selection of endpoints in other zones
  std::vector<Endpoint*> endpoints_;
  double gateways_per_endpoint_ = 1;
  double target_size_ = 0;  // endpoints
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_SUBSETTING_HPP_
