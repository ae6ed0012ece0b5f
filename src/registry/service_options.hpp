// Options of the registry service, and their TOML form.
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
  std::string owner = "registry";  // written into the state folder, which no other owner may open
  std::string program;             // version of the program, written beside it
  RetentionLimits retention;
  LeaseOptions leases;
  std::size_t max_clients = 8000;                // connections of gateways and members
  std::size_t max_operators = 64;                // connections beyond these, for operators
  double full_lists_per_second = 500;            // full lists sent at most
  std::uint64_t snapshot_after_bytes = 8 << 20;  // of log since the last snapshot
  // Used only if the folder holds no state: epoch of the new history, and the revision before its first
  // change.
  std::string epoch;
  Revision initial_revision = 0;
};

// Reads the options from a TOML file. Throws base::ConfigError. Leaves `program`, `epoch` and
// `initial_revision` to the caller.
ServiceOptions ReadServiceOptions(const std::string& path);

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_SERVICE_OPTIONS_HPP_
