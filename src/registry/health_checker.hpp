// Periodically checks whether a server is healthy: whether it responds to an HTTP request, or accepts a
// connection.
#ifndef GATEWAY_REGISTRY_HEALTH_CHECKER_HPP_
#define GATEWAY_REGISTRY_HEALTH_CHECKER_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "base/http_client.hpp"
#include "registry/agent_options.hpp"

namespace gateway::registry {

// Must be used in the thread of the io_context. Must not be destroyed before the io_context has stopped,
// because pending operations refer to the checker.
class HealthChecker {
 public:
  // `io` must outlive the checker. `on_result` receives the result of each check.
  HealthChecker(boost::asio::io_context& io, HealthCheckOptions options,
                std::function<void(bool passed)> on_result);

  // Starts the first check at once.
  void Start() { Check(); }
  // Cancels the next check. A check that is in progress still completes, and then schedules another check.
  void Stop() { timer_.cancel(); }

 private:
  void Check();
  void RequestPath();
  void Connect();
  void OnResponse(const base::ClientConnection::Result& result);
  void OnChecked(bool passed);

  boost::asio::io_context& io_;
  const HealthCheckOptions options_;
  const std::function<void(bool)> on_result_;
  boost::asio::steady_timer timer_;  // until the next check, or until the connection attempt times out
  std::shared_ptr<base::ClientConnection> http_;
  std::shared_ptr<boost::asio::ip::tcp::socket> probe_;
};

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_HEALTH_CHECKER_HPP_
