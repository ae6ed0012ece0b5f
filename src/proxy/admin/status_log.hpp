// Logs, at a fixed interval, what became of the connections, and when the endpoint list becomes stale.
#ifndef GATEWAY_PROXY_ADMIN_STATUS_LOG_HPP_
#define GATEWAY_PROXY_ADMIN_STATUS_LOG_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>

#include "proxy/admin/gateway_status.hpp"
#include "proxy/clock.hpp"

namespace gateway::proxy {

class StatusLog {
 public:
  // `list_stale_after`: the time without an answer of a list service that GatewayStatus::list_stale tells.
  StatusLog(boost::asio::io_context& io, Millis list_stale_after, std::function<GatewayStatus()> status);

  void Start();

 private:
  void Write();
  void WriteListAge(const GatewayStatus& status);
  void WriteConnections(const GatewayStatus& status);

  boost::asio::steady_timer timer_;
  const Millis list_stale_after_;
  const std::function<GatewayStatus()> status_;
  bool list_stale_ = false;      // as last logged
  UpstreamPool::Counts counts_;  // the same
  std::uint64_t disconnected_clients_ = 0;
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_ADMIN_STATUS_LOG_HPP_
