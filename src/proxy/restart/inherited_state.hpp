// What a new process takes over, at its start, from the running one that it replaces.
#ifndef GATEWAY_PROXY_RESTART_INHERITED_STATE_HPP_
#define GATEWAY_PROXY_RESTART_INHERITED_STATE_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>

#include "base/file_descriptor.hpp"
#include "proxy/restart/transferred_state.hpp"

namespace gateway::proxy {

// All empty where there is no running process, or it transferred nothing.
struct InheritedState {
  base::FileDescriptor listener;                // the clients' listening socket, shared with the predecessor
  std::optional<TransferredState> transferred;  // empty also where its form is unknown or it came too late
  base::FileDescriptor predecessor;             // the connection to it, for a HotRestartChannel
};

// Requests the state of the process that listens on the Unix socket at `path`. Accepts a listener only from a
// process of the same user, and only one that listens at `address`. Blocks, for half a second at most.
InheritedState InheritFromPredecessor(const std::string& path, const boost::asio::ip::tcp::endpoint& address);

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_RESTART_INHERITED_STATE_HPP_
