// The state that a new process receives at its start from its predecessor, the running process that it
// replaces.
#ifndef GATEWAY_PROXY_RESTART_INHERITED_STATE_HPP_
#define GATEWAY_PROXY_RESTART_INHERITED_STATE_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>

#include "base/file_descriptor.hpp"
#include "proxy/restart/transferred_state.hpp"

namespace gateway::proxy {

// All members are empty if there is no predecessor or it transferred nothing.
struct InheritedState {
  base::FileDescriptor listener;  // the listening socket for clients, shared with the predecessor
  std::optional<TransferredState> transferred;  // also empty if it is malformed or arrives too late
  base::FileDescriptor predecessor;             // the connection to the predecessor, for a HotRestartChannel
};

// Requests the state of the process that listens on the Unix socket at `path`. Accepts the state only from a
// process of the same user, and only if the transferred socket listens on `address`. Blocks for at most
// 500 ms.
InheritedState InheritFromPredecessor(const std::string& path, const boost::asio::ip::tcp::endpoint& address);

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_RESTART_INHERITED_STATE_HPP_
