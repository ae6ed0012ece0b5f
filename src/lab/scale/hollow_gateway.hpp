// A hollow gateway: all that a gateway does towards the list service, and no request path. It is made of the
// gateway's own parts: the watch (DiscoveryClient), the list in force (EndpointListWatcher) and the decisions
// on when to ask again (Policy). Thousands fit in one process. One thread.
//
// The one difference: while a call is out, the policy's periodic check, due every 10 ms for the sake of
// queued requests, runs four times a second, for there are none. Until the first call and after a failed one
// it runs at its own period, so calls go out when a real gateway's would. HollowComparison proves it.
#ifndef GATEWAY_LAB_SCALE_HOLLOW_GATEWAY_HPP_
#define GATEWAY_LAB_SCALE_HOLLOW_GATEWAY_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <vector>

#include "base/millis.hpp"
#include "gateway/policy.hpp"
#include "proxy/config.hpp"
#include "proxy/discovery/endpoint_list_watcher.hpp"

namespace gateway::lab {

class HollowGateway {
 public:
  // `told` hears of each list that a call brought, with the revision then in force.
  using Told = std::function<void(std::int64_t revision)>;

  // Begins as a gateway of that configuration does. Throws std::exception where its settings can't work.
  HollowGateway(boost::asio::io_context& io, const gateway::proxy::Config& config, Told told);

  std::int64_t revision() const { return list_.revision(); }
  std::size_t hosts() const { return list_.endpoints().size(); }
  // Whether a call has ever been answered.
  bool heard() const { return heard_; }

 private:
  void Report(const gateway::policy::Event& event);
  void Do(const gateway::policy::SetTimer& timer);
  void Do(const gateway::policy::WatchEndpointList&);
  void Do(const auto&) {}  // logs; what concerns requests never comes
  void CheckWithin(base::Millis delay);

  gateway::policy::Policy policy_;
  const bool asks_;  // else the list is watched from the start
  const Told told_;
  bool heard_ = false, watching_ = false;
  boost::asio::steady_timer check_;
  std::vector<gateway::policy::Action> actions_;
  gateway::proxy::EndpointListWatcher list_;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_SCALE_HOLLOW_GATEWAY_HPP_
