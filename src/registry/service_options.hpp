// Settings of the registry service and their TOML form.
#ifndef GATEWAY_REGISTRY_SERVICE_OPTIONS_HPP_
#define GATEWAY_REGISTRY_SERVICE_OPTIONS_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <string>

#include "registry/catalog.hpp"
#include "registry/leases.hpp"

namespace gateway::registry {

struct ServiceOptions {
  boost::asio::ip::tcp::endpoint listen;
  std::string state_folder;
  std::string owner = "registry";  // name written into the state folder: who it belongs to
  std::string program;             // version of the program, written beside it
  Bounds bounds;
  LeaseOptions leases;
  std::size_t callers = 8000;              // connections of gateways and members
  std::size_t operators = 64;              // connections beyond these, for operators
  double whole_lists = 500;                // full lists sent per second at most
  std::uint64_t snapshot_after = 8 << 20;  // log bytes after which a snapshot is taken
  std::string epoch;                       // epoch of a new history; used only if the folder is empty
  Revision first = 0;                      // revision before the first change of a new history
};

// Reads the options from a TOML file. Throws base::ConfigError. Leaves `program`, `epoch` and `first` to the
// caller.
ServiceOptions ReadServiceOptions(const std::string& path);

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_SERVICE_OPTIONS_HPP_
