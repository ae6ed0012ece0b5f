// A hollow gateway (named after the hollow nodes of Kubernetes' kubemark) calls the list service like a real
// gateway but forwards no requests. It uses the real EndpointListWatcher and Policy. One process can run
// thousands of hollow gateways. Must be used in the thread of the io_context.
//
// While a watch call is pending, the policy's periodic check runs four times a second instead of every 10 ms,
// because the check serves queued requests and a hollow gateway has none. Before the first call and after a
// failed call, the check runs every 10 ms as in a real gateway, so that a hollow gateway sends its calls at
// the same times as a real one. HollowComparison verifies that the load on the list service is the same.
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
  // Called after each list that the service returns. `revision` is the revision that the gateway now uses.
  using ListCallback = std::function<void(std::int64_t revision)>;

  // Starts like a real gateway with this configuration. Throws std::exception if the settings are invalid.
  HollowGateway(boost::asio::io_context& io, const gateway::proxy::Config& config, ListCallback on_list);

  std::int64_t revision() const { return list_watcher_.revision(); }
  std::size_t hosts() const { return list_watcher_.endpoints().size(); }
  // Whether the list service has answered at least one call.
  bool answered() const { return answered_; }

 private:
  void HandleEvent(const gateway::policy::Event& event);
  void Execute(const gateway::policy::SetTimer& timer);
  void Execute(const gateway::policy::WatchEndpointList&);
  void Execute(const auto&) {}  // ignores log records; actions for requests never occur
  void ScheduleCheck(base::Millis delay);

  gateway::policy::Policy policy_;
  const bool polls_;  // false: the constructor starts the watch; true: the policy requests each watch call
  const ListCallback on_list_;
  bool answered_ = false;
  bool watching_ = false;
  boost::asio::steady_timer check_timer_;
  std::vector<gateway::policy::Action> actions_;
  gateway::proxy::EndpointListWatcher list_watcher_;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_SCALE_HOLLOW_GATEWAY_HPP_
