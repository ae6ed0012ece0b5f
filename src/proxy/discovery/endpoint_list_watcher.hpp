// The endpoint list in force: applies the lists that the discovery client takes, and rejects those that the
// guard against mass removal finds. Knows nothing of requests or of connections to endpoints, so a gateway
// without a request path can use it as it is.
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

// One thread: the event loop's.
class EndpointListWatcher final : private DiscoveryClient::Observer {
 public:
  struct Options {
    boost::asio::ip::tcp::endpoint service;
    std::vector<boost::asio::ip::tcp::endpoint> other_services;  // of the same list, in the order of trial
    std::uint64_t seed = 0;                                      // of the calls' jitter
    // Where the first call begins, and whether that came from these services: see DiscoveryClient::Options.
    std::int64_t revision = 0;
    std::string epoch;
    bool position_is_current = true;
    bool guard_mass_removal = false;  // too many removals need an operator's confirmation
    double max_removed_share = 0.5;   // of the known endpoints that a list may remove without one, 0 to 1
  };

  // Called from the event loop, and list_changed from within Apply() too. Each may call Watch() and the
  // accessors.
  struct Callbacks {
    // A list from a service was accepted; list_changed follows at once.
    std::function<void()> list_received;
    // The list in force has changed by `list`, a snapshot or a delta.
    std::function<void(const EndpointList& list)> list_changed;
    // The watch has ended, `call_duration` after its last call began; nothing more comes until Watch().
    std::function<void(Millis call_duration)> watch_failed;
  };

  // All callbacks must be set, and remain valid for the watcher's lifetime.
  EndpointListWatcher(boost::asio::io_context& io, Options options, Callbacks callbacks);

  // Puts a list in force that did not come from a call of this process. Not checked by the guard.
  void Apply(const EndpointList& list);

  // As in DiscoveryClient.
  void Watch() { client_.Watch(); }
  void ChangeAddress(const boost::asio::ip::tcp::endpoint& address) { client_.ChangeAddress(address); }
  Millis last_list_at() const { return client_.last_list_at(); }
  std::size_t service_index() const { return client_.service_index(); }

  // The list in force: endpoints that are up or draining.
  const EndpointsById& endpoints() const { return endpoints_; }
  std::int64_t revision() const { return revision_; }
  // The same as a list.
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
  std::string epoch_;  // of the revision; empty where the service has none
  DiscoveryClient client_;
};

// The policy's event for a list that was put in force.
policy::EndpointListEvent ToListEvent(const EndpointList& list);

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_DISCOVERY_ENDPOINT_LIST_WATCHER_HPP_
