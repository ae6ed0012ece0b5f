// Options of a member's agent, and their TOML form.
#ifndef GATEWAY_REGISTRY_AGENT_OPTIONS_HPP_
#define GATEWAY_REGISTRY_AGENT_OPTIONS_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <vector>

#include "base/millis.hpp"
#include "registry/member.hpp"

namespace gateway::registry {

struct HealthCheckOptions {
  boost::asio::ip::tcp::endpoint address;  // of the member
  std::string path;                        // must respond with 200; empty: a connection is enough
  base::Millis interval = 1000;
  base::Millis timeout = 1000;
  int failure_threshold = 3;  // failures in a row after which the member is unhealthy
};

struct AgentOptions {
  std::vector<boost::asio::ip::tcp::endpoint> services;  // in the order in which they are tried
  Member member;                                         // with a lease duration above 0
  HealthCheckOptions health_check;
  base::Millis drain_grace = 5000;  // from the drain to the removal
};

// Reads the options from a TOML file. Throws base::ConfigError. Leaves the member's incarnation to the
// caller.
AgentOptions ReadAgentOptions(const std::string& path);

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_AGENT_OPTIONS_HPP_
