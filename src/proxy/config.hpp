// What the platform tells a gateway: the NODE_* variables and the JSON file that they name.
#ifndef GATEWAY_PROXY_CONFIG_HPP_
#define GATEWAY_PROXY_CONFIG_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/config_error.hpp"
#include "base/log.hpp"
#include "gateway/policy.hpp"
#include "proxy/clock.hpp"
#include "proxy/discovery/endpoint_list.hpp"

namespace gateway::proxy {

using base::ConfigError;

struct Config {
  boost::asio::ip::tcp::endpoint listen;
  boost::asio::ip::tcp::endpoint discovery;
  std::vector<boost::asio::ip::tcp::endpoint>
      other_discoveries;      // services of the same list; empty: one alone
  bool list_guarded = false;  // a list that removes more than that at once has to be confirmed by operators
  double most_removed = 0.5;  // share of the hosts
  Millis list_old_after = 30000;  // without an answer the gateway says that its list is old
  std::optional<boost::asio::ip::tcp::endpoint> management;  // for operators; none: no such listener
  std::string handover;  // the Unix socket on which a replacement asks for what it takes over; empty: none
  std::uint64_t seed = 0;
  std::size_t sockets = 1024;     // file descriptors that the process may hold
  std::size_t memory = 64 << 20;  // bytes
  policy::Settings settings;
  Millis dial_timeout = 250;
  Millis idle_timeout = 15000;  // a host closes a connection that stood idle for this long
  EndpointList known;           // may be old
  std::string state_folder;     // where this gateway keeps what the next process needs; empty: nowhere
  bool state_loaded = true;     // else this start goes without what stands there, and replaces it
  Millis state_sync_delay = 0;  // each of its syncs takes so much longer: for drills with a slow disk
  std::string state_owner;      // whose it is: its name and clients' address
  base::LogForm log = base::LogForm::kText;
};

// `variable` looks up an environment variable: null if it is not set. Throws ConfigError.
Config LoadConfig(const std::function<const char*(const char*)>& variable);

// The address of discovery that the file names now: what a reload may change. Throws ConfigError.
boost::asio::ip::tcp::endpoint LoadDiscovery(const std::function<const char*(const char*)>& variable);

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_CONFIG_HPP_
