// Options of the registry service, read from a TOML file.
#ifndef GATEWAY_REGISTRY_SERVICE_OPTIONS_HPP_
#define GATEWAY_REGISTRY_SERVICE_OPTIONS_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <string>

#include "registry/catalog.hpp"
#include "registry/lease_table.hpp"

namespace gateway::registry {

struct ServiceOptions {
  boost::asio::ip::tcp::endpoint listen;
  std::string state_folder;
  std::string owner = "registry";  // stored in the state folder; a folder of another owner is not opened
  std::string program;             // version of the program, stored in the state folder
  RetentionLimits retention;
  LeaseOptions leases;
  std::size_t max_clients = 8000;                // maximum connections of gateways and members
  std::size_t max_operators = 64;                // additional connections for operators
  double full_lists_per_second = 500;            // maximum rate of full lists
  std::uint64_t snapshot_after_bytes = 8 << 20;  // size of the log that triggers a snapshot
  // Epoch of a new history and the revision before its first change. Used only if the folder has no state.
  std::string epoch;
  Revision initial_revision = 0;
};

// Reads the options from a TOML file. Throws base::ConfigError. The caller must set `program`, `epoch` and
// `initial_revision`.
ServiceOptions ReadServiceOptions(const std::string& path);

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_SERVICE_OPTIONS_HPP_
