// Agent that keeps one server in the list: registers it, renews its lease while it is healthy, and drains and
// removes it at shutdown.
#ifndef GATEWAY_REGISTRY_AGENT_HPP_
#define GATEWAY_REGISTRY_AGENT_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "base/http_client.hpp"
#include "registry/agent_options.hpp"
#include "registry/agent_state.hpp"
#include "registry/health_checker.hpp"

namespace gateway::registry {

// Must be used in the thread of the io_context. Must not be destroyed before the io_context has stopped,
// because pending operations refer to the agent.
class Agent {
 public:
  // Starts the first health check. `io` must outlive the agent. `on_finished` is called once with an exit
  // code: 0 if the agent finished after Stop(), or 1 if another process has registered with the member's id
  // or operators have removed the member.
  Agent(boost::asio::io_context& io, AgentOptions options, std::function<void(int)> on_finished);

  // Drains the member at once, and removes it from the list after the drain grace period.
  void Stop();

 private:
  void OnHealthCheck(bool passed);
  void OnDrainGraceElapsed();
  void PerformNextAction();
  void ScheduleNextAction(base::Millis delay);
  std::string EncodeAction(AgentAction action) const;
  void OnResponse(AgentAction action, const base::ClientConnection::Result& response);
  void LogResult(AgentAction action, const CommandResult& result) const;
  void RetryWithNextService();
  void Finish(int exit_code);
  base::Millis RenewalInterval() const;

  boost::asio::io_context& io_;
  const AgentOptions options_;
  const std::function<void(int)> on_finished_;
  AgentState state_;
  HealthChecker health_checker_;
  boost::asio::steady_timer action_timer_;
  boost::asio::steady_timer stop_timer_;
  std::shared_ptr<base::ClientConnection> connection_;  // to the current service; null if not opened yet
  std::size_t service_index_ = 0;                       // index of the current service in the options
  int failed_calls_ = 0;                                // consecutive failed calls to the service
  bool call_pending_ = false;
  bool finished_ = false;
};

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_AGENT_HPP_
