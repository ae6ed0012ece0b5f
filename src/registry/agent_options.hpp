// Options of a member's agent, read from a TOML file.
#ifndef GATEWAY_REGISTRY_AGENT_OPTIONS_HPP_
#define GATEWAY_REGISTRY_AGENT_OPTIONS_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <vector>

#include "base/millis.hpp"
#include "registry/member.hpp"

namespace gateway::registry {

struct HealthCheckOptions {
  boost::asio::ip::tcp::endpoint address;  // address of the member
  std::string path;  // HTTP path that must respond with 200; if empty, the check only connects
  base::Millis interval = 1000;
  base::Millis timeout = 1000;
  int failure_threshold = 3;  // consecutive failures after which the member is unhealthy
};

struct AgentOptions {
  std::vector<boost::asio::ip::tcp::endpoint> services;  // registry services, tried in the order of the list
  Member member;                                         // has a positive lease duration
  HealthCheckOptions health_check;
  base::Millis drain_grace = 5000;  // time between drain and removal
};

// Reads the options from a TOML file. Throws base::ConfigError. The caller must set the member's incarnation.
AgentOptions ReadAgentOptions(const std::string& path);

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_AGENT_OPTIONS_HPP_
