// The state that a new process inherits, at its start, from the running process that it replaces.
#ifndef GATEWAY_PROXY_RESTART_INHERITED_STATE_HPP_
#define GATEWAY_PROXY_RESTART_INHERITED_STATE_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>

#include "base/file_descriptor.hpp"
#include "proxy/restart/transferred_state.hpp"

namespace gateway::proxy {

// All members are empty if there is no running process or it transferred nothing.
struct InheritedState {
  base::FileDescriptor listener;  // the listening socket for clients, shared with the predecessor
  std::optional<TransferredState> transferred;  // also empty if malformed or too late
  base::FileDescriptor predecessor;             // the connection to the predecessor, for a HotRestartChannel
};

// Requests the state of the process that listens on the Unix socket at `path`. Accepts only a listener that
// listens on `address`, and only from a process of the same user. Blocks for at most half a second.
InheritedState InheritFromPredecessor(const std::string& path, const boost::asio::ip::tcp::endpoint& address);

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_RESTART_INHERITED_STATE_HPP_
