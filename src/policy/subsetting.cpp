#include "policy/subsetting.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <string>

#include "policy/hash.hpp"

namespace gateway::policy {
namespace {

constexpr double kGatewaysPerEndpoint = 12;    // mean number of gateways whose subsets contain an endpoint
constexpr double kMinimumSubsetEndpoints = 6;  // several endpoints may fail at the same time
constexpr double kEndpointsPerRequest = 3;     // for each concurrent request of this gateway
// A subset grows if more endpoints are needed than this multiple of its target size.
constexpr double kGrowthThresholdFactor = 1.25;
constexpr double kMultiplexedShare = 0.5;     // factor on the subset size if connections are multiplexed
constexpr double kOtherZoneShare = 0.4;       // share of the other zones' endpoints that a gateway may use
constexpr double kManyGatewaysThreshold = 8;  // gateways per endpoint
constexpr double kGoldenRatio = 0.6180339887498949;  // fractional part of the golden ratio

double EndpointsForRequests(double concurrent_requests) { return kEndpointsPerRequest * concurrent_requests; }

}  // namespace

double RingPosition(const Settings& settings, RandomSource& random) {
  if (settings.gateway_index < 0) return random.Uniform();
  return std::fmod(settings.gateway_index * kGoldenRatio, 1.0);
}

Subsetting::Subsetting(const Settings& settings, double ring_position)
    : gateway_count_(settings.gateway_count),
      multiplexes_connections_(settings.streams_per_connection > 1),
      ring_position_(ring_position),
      salt_(Hash(std::to_string(ring_position))) {}

double Subsetting::TargetSize(int up_count, double concurrent_requests) const {
  const double even_share = kGatewaysPerEndpoint * up_count / gateway_count_;
  const double size =
      std::max({kMinimumSubsetEndpoints, even_share, EndpointsForRequests(concurrent_requests)});
  return (multiplexes_connections_ ? kMultiplexedShare : 1) * size;
}

void Subsetting::Choose(EndpointTable& table, double concurrent_requests) {
  for (Endpoint* const endpoint : endpoints_) endpoint->in_subset = false;
  endpoints_.clear();
  const int up_count = table.up_count();
  target_size_ = TargetSize(up_count, concurrent_requests);
  const double used_share = std::min(1.0, target_size_ / std::max(1.0, 1.0 * up_count));
  gateways_per_endpoint_ = std::max(1.0, gateway_count_ * used_share);
  double healthy = 0;
  EndpointRing::Walk walk(table.ring(), static_cast<std::size_t>(ring_position_ * up_count));
  // The second round adds endpoints that the first round skipped.
  for (std::size_t i = 0; i < 2 * table.ring().size() && healthy < target_size_; ++i) {
    Endpoint& endpoint = walk.Next();
    const bool first_round = i < table.ring().size();
    if (endpoint.in_subset || (first_round && IsSkipped(endpoint, table))) continue;
    endpoint.in_subset = true;
    if (!endpoint.outlier.ejected) healthy += 1;
    endpoints_.push_back(&endpoint);
  }
  const auto id = [](const Endpoint* endpoint) -> const std::string& { return endpoint->info.id; };
  std::ranges::sort(endpoints_, {}, id);
}

// Returns whether this gateway skips the endpoint because it is in another zone. As long as any endpoint of
// its own zone is up, a gateway uses only a share of the endpoints of other zones.
bool Subsetting::IsSkipped(const Endpoint& endpoint, const EndpointTable& table) const {
  if (table.own_zone_up_count() <= 0 || table.IsInOwnZone(endpoint)) return false;
  return HashToFraction(endpoint.hash ^ salt_) > kOtherZoneShare;
}

bool Subsetting::IsTooSmall(double concurrent_requests) const {
  return EndpointsForRequests(concurrent_requests) > kGrowthThresholdFactor * target_size_;
}

bool Subsetting::many_gateways_per_endpoint() const {
  return gateways_per_endpoint_ > kManyGatewaysThreshold;
}

}  // namespace gateway::policy
