#include "proxy/discovery/mass_removal_guard.hpp"

namespace gateway::proxy {
namespace {

// Counts the known endpoints that the list removes. A delta removes the endpoints whose listed state is
// "removed". A snapshot also removes the endpoints that are missing from it.
std::size_t CountRemoved(const EndpointList& list, const EndpointsById& known) {
  std::size_t present = 0;
  std::size_t listed_as_removed = 0;
  for (const ListedEndpoint& endpoint : list.endpoints) {
    if (!known.contains(endpoint.info.id)) continue;
    const bool removed = endpoint.info.state == policy::EndpointState::kRemoved;
    ++(removed ? listed_as_removed : present);
  }
  return list.complete ? known.size() - present : listed_as_removed;
}

}  // namespace

std::optional<MassRemoval> FindUnconfirmedMassRemoval(const EndpointList& list, const EndpointsById& known,
                                                      std::int64_t revision, double max_removed_share) {
  const std::size_t removed = CountRemoved(list, known);
  const double max_removed = max_removed_share * static_cast<double>(known.size());
  const bool is_mass_removal = removed > 1 && static_cast<double>(removed) > max_removed;
  const bool is_confirmed = list.confirmed_revision > revision;
  if (!is_mass_removal || is_confirmed) return std::nullopt;
  return MassRemoval{removed, known.size()};
}

EndpointList ExtractDrains(const EndpointList& list, const EndpointsById& known, std::int64_t revision) {
  EndpointList drains;
  drains.revision = revision;
  drains.complete = false;
  for (const ListedEndpoint& endpoint : list.endpoints) {
    const auto found = known.find(endpoint.info.id);
    if (found == known.end() || endpoint.info.state != policy::EndpointState::kDraining) continue;
    drains.endpoints.push_back({endpoint.info, found->second.address});
  }
  return drains;
}

}  // namespace gateway::proxy
