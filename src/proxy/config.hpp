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

// What the NODE_* variables and the configuration file say.
struct Config {
  boost::asio::ip::tcp::endpoint listen;                          // address of the clients
  boost::asio::ip::tcp::endpoint discovery;                       // address of the list service
  std::vector<boost::asio::ip::tcp::endpoint> other_discoveries;  // further services of the same list
  bool guard_mass_removal = false;                                // see EndpointListWatcher::Options
  double max_removed_share = 0.5;
  Millis list_stale_after = 30000;  // time without an answer of a list service until the list counts as stale
  std::optional<boost::asio::ip::tcp::endpoint> management;  // address for operators; empty: no such listener
  std::string hot_restart_path;   // of the Unix socket on which a successor connects; empty: none ever does
  std::uint64_t seed = 0;         // of the policy and of jitter
  std::size_t sockets = 1024;     // file descriptors that the process may hold
  std::size_t memory = 64 << 20;  // bytes that the process may use
  policy::Settings settings;
  Millis connect_timeout = 250;
  Millis idle_timeout = 15000;  // after which an endpoint closes an idle connection
  EndpointList known;           // the list to begin with; may be out of date
  std::string state_folder;     // where the gateway saves its state; empty: nowhere
  bool load_state = true;       // else this start ignores the saved state and replaces it
  Millis state_sync_delay = 0;  // added to each sync of the state, for drills with a slow disk
  std::string state_owner;      // name and clients' address of the gateway that the state belongs to
  base::LogFormat log = base::LogFormat::kText;
};

// `variable` looks up an environment variable: null if it is not set. Throws ConfigError.
Config LoadConfig(const std::function<const char*(const char*)>& variable);

// The address of discovery that the file names now: what a reload may change. Throws ConfigError.
boost::asio::ip::tcp::endpoint LoadDiscovery(const std::function<const char*(const char*)>& variable);

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_CONFIG_HPP_
