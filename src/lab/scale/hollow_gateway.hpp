// A hollow gateway (after the hollow nodes of Kubernetes' kubemark): does towards the list service what a
// gateway does, and has no request path. It consists of the gateway's own parts: EndpointListWatcher and
// Policy. Thousands fit in one process. To be used in the thread of the io_context.
//
// While a call is under way, the periodic check of the policy, which serves queued requests, runs four times
// a second in place of its own period of 10 ms. Before the first call and after a failed one it runs at its
// own period, so that calls go out when those of a real gateway would. HollowComparison verifies this.
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
  // Called after each list that a call has brought, with the revision that is then in force.
  using OnList = std::function<void(std::int64_t revision)>;

  // Begins as a gateway of that configuration does. Throws std::exception where its settings can't work.
  HollowGateway(boost::asio::io_context& io, const gateway::proxy::Config& config, OnList on_list);

  std::int64_t revision() const { return list_.revision(); }
  std::size_t hosts() const { return list_.endpoints().size(); }
  // Whether a call has ever been answered.
  bool answered() const { return answered_; }

 private:
  void Report(const gateway::policy::Event& event);
  void Do(const gateway::policy::SetTimer& timer);
  void Do(const gateway::policy::WatchEndpointList&);
  void Do(const auto&) {}  // logs; what concerns requests never comes
  void CheckWithin(base::Millis delay);

  gateway::policy::Policy policy_;
  const bool polls_;  // otherwise the list is watched from the start
  const OnList on_list_;
  bool answered_ = false;
  bool watching_ = false;
  boost::asio::steady_timer check_;
  std::vector<gateway::policy::Action> actions_;
  gateway::proxy::EndpointListWatcher list_;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_SCALE_HOLLOW_GATEWAY_HPP_
