// Failover between the sources of the address of discovery: connects SourceSelection, which decides, with the
// prober and the timers. Does nothing while all sources agree.
#ifndef GATEWAY_PROXY_DISCOVERY_SOURCE_FAILOVER_HPP_
#define GATEWAY_PROXY_DISCOVERY_SOURCE_FAILOVER_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "proxy/discovery/discovery_client.hpp"
#include "proxy/discovery/endpoint_list.hpp"
#include "proxy/discovery/list_call.hpp"
#include "proxy/discovery/source_prober.hpp"
#include "proxy/discovery/source_selection.hpp"
#include "proxy/discovery/watch_position.hpp"
#include "proxy/setting_sources.hpp"

namespace gateway::proxy {

// To be used in the event loop's thread only.
class SourceFailover {
 public:
  // The failover calls the callbacks from the event loop, and switch_to also from within RecordFailure().
  struct Callbacks {
    std::function<WatchPosition()> position;  // returns the position of the list in force
    // Returns whether a complete list may be one of this gateway's endpoints.
    std::function<bool(const EndpointList& list)> is_plausible;
    // Begins a watch at these services, the current candidate from now on.
    std::function<void(const std::vector<boost::asio::ip::tcp::endpoint>& services)> switch_to;
  };

  // All callbacks must be set and must remain valid for the lifetime of the object. `seed` is the seed of the
  // jitter of probes.
  SourceFailover(boost::asio::io_context& io, std::uint64_t seed, Callbacks callbacks);

  // Starts with the first of `candidates`, which must not be empty. Probes the others if there are any.
  void Start(std::vector<DiscoveryCandidate> candidates);

  const std::vector<DiscoveryCandidate>& candidates() const { return candidates_; }

  // Records that a list was accepted.
  void RecordList(ListOrigin origin);
  // Records that the watch of the current candidate failed.
  void RecordFailure();

 private:
  void StartProbes();
  void OnProbeEnded(std::size_t candidate, const ListCall::Result& result);
  void SwitchIfNecessary();
  void ScheduleCatchUpCheck();
  void LogSwitch(std::size_t from, std::size_t to) const;

  const Callbacks callbacks_;
  std::vector<DiscoveryCandidate> candidates_;
  SourceSelection selection_;
  std::vector<bool> plausible_;  // by candidate: whether its complete list was found plausible
  SourceProber prober_;
  boost::asio::steady_timer catch_up_timer_;
  bool catch_up_check_scheduled_ = false;
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_DISCOVERY_SOURCE_FAILOVER_HPP_
