// Logs the connection counts at a fixed interval, and when the endpoint list becomes stale or current again.
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
  // `list_stale_after` is the time without an accepted list after which GatewayStatus::list_stale is true.
  StatusLog(boost::asio::io_context& io, Millis list_stale_after, std::function<GatewayStatus()> status);

  void Start();

 private:
  void Write();
  void WriteListAge(const GatewayStatus& status);
  void WriteConnections(const GatewayStatus& status);
  void WriteOverload(const GatewayStatus& status);

  boost::asio::steady_timer timer_;
  const Millis list_stale_after_;
  const std::function<GatewayStatus()> status_;
  // The values in the last log lines.
  bool list_stale_ = false;
  // What was given up since the start, see GatewayStatus.
  struct Overload {
    std::uint64_t memory_refusals = 0;
    std::uint64_t incomplete_refusals = 0;
    std::uint64_t evictions = 0;
    std::uint64_t allocation_failures = 0;
    bool operator==(const Overload&) const = default;
  };
  Overload overload_;
  UpstreamCounts counts_;
  std::uint64_t disconnected_clients_ = 0;
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_ADMIN_STATUS_LOG_HPP_
