// The configuration of a gateway: the NODE_* environment variables and the JSON file at the path in
// NODE_CONFIG.
#ifndef GATEWAY_PROXY_CONFIG_HPP_
#define GATEWAY_PROXY_CONFIG_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/config_error.hpp"
#include "base/log.hpp"
#include "gateway/policy.hpp"
#include "proxy/clock.hpp"
#include "proxy/discovery/endpoint_list.hpp"
#include "proxy/overload/process_memory.hpp"
#include "proxy/setting_sources.hpp"

namespace gateway::proxy {

using base::ConfigError;

// The configuration file can't be read or is not a JSON object. It may be complete a moment later, if another
// program is writing it.
class ConfigFileError : public ConfigError {
 public:
  using ConfigError::ConfigError;
};

// The values of the NODE_* variables and of the configuration file. All times are in ms.
struct Config {
  boost::asio::ip::tcp::endpoint listen;  // address on which clients connect
  DiscoverySources discovery;             // addresses of the list services; at least one is set
  bool guard_mass_removal = false;        // see EndpointListWatcher::Options
  double max_removed_share = 0.5;         // see EndpointListWatcher::Options
  Millis list_stale_after = 30000;        // time without an accepted list after which the list is stale
  // Address of the management port; empty if there is none.
  std::optional<boost::asio::ip::tcp::endpoint> management;
  std::string hot_restart_path;               // path of the Unix socket for hot restarts; empty: disabled
  std::uint64_t seed = 0;                     // seed of the policy's random choices and of jitter
  std::size_t max_descriptors = 1024;         // number of file descriptors that the process may open
  std::size_t memory_limit_bytes = 64 << 20;  // memory that the process may use
  // The memory of the process; null if it is not to be monitored.
  std::shared_ptr<ProcessMemory> process_memory;
  policy::Settings settings;
  Millis connect_timeout = 250;
  Millis idle_timeout = 15000;  // time after which an endpoint closes an idle connection
  EndpointList initial_list;    // the endpoint list at the start; may be out of date
  std::string state_folder;     // folder for the saved state; empty: no state is saved
  bool load_state = true;       // false: the gateway ignores and overwrites the saved state
  Millis state_sync_delay = 0;  // delay added to each sync of the state, for tests of a slow disk
  std::string state_owner;      // name and client address of the gateway that owns the state
  // Comparisons of the environment and the file, to be logged at the start.
  std::vector<SourceConflict> source_conflicts;
  base::LogFormat log_format = base::LogFormat::kText;
};

// Loads the configuration from the environment and the file. `variable` returns the value of an environment
// variable, or null if the variable is not set. Throws ConfigFileError or ConfigError.
Config LoadConfig(const std::function<const char*(const char*)>& variable);

// Reads the addresses of discovery from the environment and the file, for a reload. Throws ConfigFileError or
// ConfigError.
DiscoverySources LoadDiscoverySources(const std::function<const char*(const char*)>& variable);

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_CONFIG_HPP_
