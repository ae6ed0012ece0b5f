#include "proxy/discovery/endpoint_list_watcher.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace gateway::proxy {
namespace {

DiscoveryClient::Options ClientOptions(const EndpointListWatcher::Options& options) {
  DiscoveryClient::Options client;
  client.services = options.candidates.front().services;
  client.position = {options.revision, options.epoch};
  client.position_is_current = options.position_is_current;
  client.seed = options.seed;
  return client;
}

}  // namespace

EndpointListWatcher::EndpointListWatcher(boost::asio::io_context& io, Options options, Callbacks callbacks)
    : callbacks_(std::move(callbacks)),
      guard_mass_removal_(options.guard_mass_removal),
      max_removed_share_(options.max_removed_share),
      client_(io, ClientOptions(options), *this),
      source_failover_(io, options.seed, MakeSourceCallbacks()) {
  source_failover_.Start(std::move(options.candidates));
}

SourceFailover::Callbacks EndpointListWatcher::MakeSourceCallbacks() {
  SourceFailover::Callbacks callbacks;
  callbacks.position = [this] { return client_.position(); };
  callbacks.is_plausible = [this](const EndpointList& list) { return SharesEndpoint(list); };
  callbacks.switch_to = [this](const std::vector<boost::asio::ip::tcp::endpoint>& services) {
    client_.SwitchTo(services);
  };
  return callbacks;
}

void EndpointListWatcher::MoveTo(std::vector<DiscoveryCandidate> candidates) {
  client_.MoveTo(candidates.front().services);
  source_failover_.Start(std::move(candidates));
}

void EndpointListWatcher::Apply(const EndpointList& list) {
  revision_ = list.revision;
  if (!list.epoch.empty()) epoch_ = list.epoch;
  if (list.complete) endpoints_.clear();
  for (const ListedEndpoint& endpoint : list.endpoints) {
    if (endpoint.info.state == policy::EndpointState::kRemoved) {
      endpoints_.erase(endpoint.info.id);
    } else {
      endpoints_[endpoint.info.id] = endpoint;
    }
  }
  callbacks_.list_changed(list);
}

EndpointList EndpointListWatcher::Snapshot() const {
  EndpointList list;
  list.revision = revision_;
  list.epoch = epoch_;
  for (const auto& [id, endpoint] : endpoints_) list.endpoints.push_back(endpoint);
  return list;
}

void EndpointListWatcher::OnEndpointList(EndpointList list, ListOrigin origin) {
  callbacks_.list_received();
  Apply(list);
  source_failover_.RecordList(origin);
}

void EndpointListWatcher::OnWatchFailed(Millis call_duration) {
  callbacks_.watch_failed(call_duration);
  source_failover_.RecordFailure();
}

bool EndpointListWatcher::SharesEndpoint(const EndpointList& list) const {
  if (endpoints_.empty()) return true;
  return std::ranges::any_of(list.endpoints, [this](const ListedEndpoint& endpoint) {
    const auto known = endpoints_.find(endpoint.info.id);
    return known != endpoints_.end() && known->second.address == endpoint.address;
  });
}

// Applies the drains of a rejected list, because a drain is safe even if the service has lost its data.
std::string EndpointListWatcher::RejectionReason(const EndpointList& list) {
  if (!guard_mass_removal_) return "";
  const std::optional<MassRemoval> removal =
      FindUnconfirmedMassRemoval(list, endpoints_, revision_, max_removed_share_);
  if (!removal) return "";
  const EndpointList drains = ExtractDrains(list, endpoints_, revision_);
  if (!drains.endpoints.empty()) Apply(drains);
  return "the list removes " + std::to_string(removal->removed) + " of " + std::to_string(removal->known) +
         " hosts, and no operator has confirmed the removal";
}

policy::EndpointListEvent ToListEvent(const EndpointList& list) {
  using Kind = policy::EndpointListEvent::Kind;
  policy::EndpointListEvent event;
  event.kind = list.complete ? Kind::kSnapshot : Kind::kDelta;
  for (const ListedEndpoint& endpoint : list.endpoints) event.endpoints.push_back(endpoint.info);
  return event;
}

}  // namespace gateway::proxy
