// Maintains the current endpoint list: applies the lists that the discovery client accepts, rejects mass
// removals that no operator has confirmed, and changes to another source of the address of discovery if the
// current one fails. Independent of requests and of connections to endpoints, so a
// gateway that watches the list without forwarding requests can also use it.
#ifndef GATEWAY_PROXY_DISCOVERY_ENDPOINT_LIST_WATCHER_HPP_
#define GATEWAY_PROXY_DISCOVERY_ENDPOINT_LIST_WATCHER_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "gateway/policy.hpp"
#include "proxy/clock.hpp"
#include "proxy/discovery/discovery_client.hpp"
#include "proxy/discovery/endpoint_list.hpp"
#include "proxy/discovery/mass_removal_guard.hpp"
#include "proxy/discovery/source_failover.hpp"
#include "proxy/setting_sources.hpp"

namespace gateway::proxy {

// To be used in the event loop's thread only.
class EndpointListWatcher final : private DiscoveryClient::Observer {
 public:
  struct Options {
    // The sources of the address of discovery, at least one; see OrderDiscoverySources.
    std::vector<DiscoveryCandidate> candidates;
    std::uint64_t seed = 0;  // seed of the jitter of calls
    // The position from which the first call continues, and whether this position is known to come from these
    // services; see DiscoveryClient::Options.
    std::int64_t revision = 0;
    std::string epoch;
    bool position_is_current = true;
    bool guard_mass_removal = false;  // whether a mass removal needs an operator's confirmation
    // The share of the known endpoints, 0 to 1, that a list may remove without confirmation.
    double max_removed_share = 0.5;
  };

  // The watcher calls the callbacks from the event loop, and list_changed also from within Apply(). Each
  // callback may call Watch() and the accessors.
  struct Callbacks {
    // Called after a list from a service was accepted. The call of list_changed follows at once.
    std::function<void()> list_received;
    // Called after `list`, a snapshot or a delta, was applied to the current list.
    std::function<void(const EndpointList& list)> list_changed;
    // Called when the watch has ended, see DiscoveryClient::Observer::OnWatchFailed. `call_duration` is the
    // time since the start of the last call.
    std::function<void(Millis call_duration)> watch_failed;
  };

  // All callbacks must be set and must remain valid for the watcher's lifetime.
  EndpointListWatcher(boost::asio::io_context& io, Options options, Callbacks callbacks);

  // Applies a list that does not come from a call of the discovery client, for example the list in the
  // configuration. Does not check for a mass removal.
  void Apply(const EndpointList& list);

  // See DiscoveryClient.
  void Watch() { client_.Watch(); }
  Millis last_list_at() const { return client_.last_list_at(); }
  std::size_t service_index() const { return client_.service_index(); }
  const boost::asio::ip::tcp::endpoint& service() const { return client_.service(); }
  const std::vector<DiscoveryCandidate>& candidates() const { return source_failover_.candidates(); }

  // Replaces the sources of the address of discovery and at once begins a watch at the first one.
  // `candidates` must not be empty.
  void MoveTo(std::vector<DiscoveryCandidate> candidates);

  // The endpoints of the current list, which are up or draining.
  const EndpointsById& endpoints() const { return endpoints_; }
  std::int64_t revision() const { return revision_; }
  // Returns the current list as a snapshot.
  EndpointList Snapshot() const;

 private:
  void OnEndpointList(EndpointList list, ListOrigin origin) override;
  void OnWatchFailed(Millis call_duration) override;
  std::string RejectionReason(const EndpointList& list) override;
  SourceFailover::Callbacks MakeSourceCallbacks();
  bool SharesEndpoint(const EndpointList& list) const;

  const Callbacks callbacks_;
  const bool guard_mass_removal_;
  const double max_removed_share_;
  EndpointsById endpoints_;
  std::int64_t revision_ = 0;
  std::string epoch_;  // epoch of `revision_`; empty if the service sends no epoch
  DiscoveryClient client_;
  SourceFailover source_failover_;
};

// Returns the event that reports an applied list to the policy.
policy::EndpointListEvent ToListEvent(const EndpointList& list);

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_DISCOVERY_ENDPOINT_LIST_WATCHER_HPP_
