// The commands of the management port: check, vars, metrics, drain-on and drain-off.
#ifndef GATEWAY_PROXY_ADMIN_MANAGEMENT_COMMANDS_HPP_
#define GATEWAY_PROXY_ADMIN_MANAGEMENT_COMMANDS_HPP_

#include <string>

#include "proxy/admin/gateway_status.hpp"
#include "proxy/admin/metrics.hpp"

namespace gateway::proxy {

// The part of the gateway that the commands use.
class ManagedGateway {
 public:
  virtual ~ManagedGateway() = default;

  virtual GatewayStatus Status() const = 0;
  virtual void SetDraining(bool draining) = 0;
};

class ManagementCommands {
 public:
  // Keeps references to both arguments.
  ManagementCommands(ManagedGateway& gateway, const Metrics& metrics)
      : gateway_(gateway), metrics_(metrics) {}

  // Executes a command. Returns the complete response, including line ends.
  std::string Run(const std::string& command);

 private:
  std::string Check() const;
  std::string Vars() const;
  std::string PrometheusMetrics() const;
  std::string SetDraining(const std::string& command, bool draining);

  ManagedGateway& gateway_;
  const Metrics& metrics_;
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_ADMIN_MANAGEMENT_COMMANDS_HPP_
