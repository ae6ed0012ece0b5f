// Follows the list of hosts for one gateway: keeps the watch on discovery, holds the list in force and
// decides which lists are not to be believed. Knows nothing of requests or connections to hosts, so a gateway
// without a request path can use it as it is. One thread.
#ifndef GATEWAY_PROXY_DISCOVERY_ENDPOINT_LIST_WATCHER_HPP_
#define GATEWAY_PROXY_DISCOVERY_ENDPOINT_LIST_WATCHER_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "gateway/policy.hpp"
#include "proxy/clock.hpp"
#include "proxy/discovery/discovery.hpp"

namespace gateway::proxy {

class EndpointListWatcher {
 public:
  struct Options {
    boost::asio::ip::tcp::endpoint service;
    std::vector<boost::asio::ip::tcp::endpoint> other_services;  // of the same list, in the order of trial
    std::uint64_t seed = 0;                                      // of the calls' jitter
    // Where the first call begins; see Discovery's constructor for `sure`.
    std::int64_t revision = 0;
    std::string epoch;
    bool sure = true;
    bool guarded = false;       // a list that removes too many hosts at once has to be confirmed by operators
    double most_removed = 0.5;  // share of the hosts known that a guarded list may lack
  };
  struct Handlers {
    // A call was answered with a list that is believed; `changed` follows.
    std::function<void()> answered;
    // The list in force has changed by this one.
    std::function<void(const EndpointList&)> changed;
    // The watch has ended, with a call that was begun so many ms ago; Watch() begins a new one.
    std::function<void(Millis took)> failed;
  };
  EndpointListWatcher(boost::asio::io_context& io, Options options, Handlers handlers);

  // Puts a list in force that did not come from a call of this process.
  void Apply(const EndpointList& list);

  // As in Discovery.
  void Watch() { discovery_.Watch(); }
  void Move(const boost::asio::ip::tcp::endpoint& address) { discovery_.Move(address); }
  Millis heard_at() const { return discovery_.heard_at(); }
  std::size_t service() const { return discovery_.service(); }

  // The list in force, draining hosts too.
  const std::map<std::string, ListedEndpoint>& hosts() const { return hosts_; }
  std::int64_t revision() const { return revision_; }
  EndpointList Listed() const;

 private:
  std::string Refused(const EndpointList& list);

  const Handlers handlers_;
  const double most_removed_;
  std::map<std::string, ListedEndpoint> hosts_;
  std::int64_t revision_ = 0;
  std::string epoch_;  // of the revision; empty where the service has none
  Discovery discovery_;
};

// What the decisions are told of a list.
policy::EndpointListEvent ToNews(const EndpointList& list);

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_DISCOVERY_ENDPOINT_LIST_WATCHER_HPP_
