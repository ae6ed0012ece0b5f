// The endpoint list in force: applies the lists that the discovery client accepts, and rejects unconfirmed
// mass removals. Independent of requests and of connections to endpoints, so that a gateway that only watches
// the list and forwards no requests can use it unchanged.
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

namespace gateway::proxy {

// To be used in the event loop's thread only.
class EndpointListWatcher final : private DiscoveryClient::Observer {
 public:
  struct Options {
    boost::asio::ip::tcp::endpoint service;
    std::vector<boost::asio::ip::tcp::endpoint>
        other_services;      // of the same list, in the order in which they are tried
    std::uint64_t seed = 0;  // of the jitter of calls
    // The position of the first call, and whether it is known to come from these services; see
    // DiscoveryClient::Options.
    std::int64_t revision = 0;
    std::string epoch;
    bool position_is_current = true;
    bool guard_mass_removal = false;  // whether a mass removal needs an operator's confirmation
    // The share of the known endpoints, 0 to 1, that a list may remove without confirmation.
    double max_removed_share = 0.5;
  };

  // Called from the event loop; list_changed is also called from within Apply(). Each may call Watch() and
  // the accessors.
  struct Callbacks {
    // A list from a service was accepted; list_changed follows at once.
    std::function<void()> list_received;
    // `list`, a snapshot or a delta, was applied to the list in force.
    std::function<void(const EndpointList& list)> list_changed;
    // The watch has ended. `call_duration` is the time since its last call began. A new watch begins with
    // Watch(), with ChangeAddress(), or when a probe finds another service that is ahead or responds again.
    std::function<void(Millis call_duration)> watch_failed;
  };

  // All callbacks must be set, and remain valid for the watcher's lifetime.
  EndpointListWatcher(boost::asio::io_context& io, Options options, Callbacks callbacks);

  // Applies a list that was not received by a call of this process, without the check for mass removal.
  void Apply(const EndpointList& list);

  // See DiscoveryClient.
  void Watch() { client_.Watch(); }
  void ChangeAddress(const boost::asio::ip::tcp::endpoint& address) { client_.ChangeAddress(address); }
  Millis last_list_at() const { return client_.last_list_at(); }
  std::size_t service_index() const { return client_.service_index(); }

  // The list in force: endpoints that are up or draining.
  const EndpointsById& endpoints() const { return endpoints_; }
  std::int64_t revision() const { return revision_; }
  // The list in force as a snapshot.
  EndpointList Snapshot() const;

 private:
  void OnEndpointList(EndpointList list) override;
  void OnWatchFailed(Millis call_duration) override;
  std::string RejectionReason(const EndpointList& list) override;

  const Callbacks callbacks_;
  const bool guard_mass_removal_;
  const double max_removed_share_;
  EndpointsById endpoints_;
  std::int64_t revision_ = 0;
  std::string epoch_;  // epoch of the revision; empty if the service sends none
  DiscoveryClient client_;
};

// Returns the policy event for a list that was applied.
policy::EndpointListEvent ToListEvent(const EndpointList& list);

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_DISCOVERY_ENDPOINT_LIST_WATCHER_HPP_
