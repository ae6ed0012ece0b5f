// The messages between a running process and its replacement, and the encoding of the messages on the socket.
// Only this module knows the encoding.
//
//   message             from         text on the socket   descriptor
//   Hello               successor    "forkwick 1"         -
//   ListenerTransfer    predecessor  "listener"           the listening socket
//   StateTransfer       predecessor  a JSON object        -
//   SuccessorReady      successor    "ready"              -
//   PredecessorLeaving  predecessor  "leaving"            -
//   ClientTransfer      predecessor  "client"             a client connection
#ifndef GATEWAY_PROXY_RESTART_HOT_RESTART_MESSAGE_HPP_
#define GATEWAY_PROXY_RESTART_HOT_RESTART_MESSAGE_HPP_

#include <variant>

#include "base/file_descriptor.hpp"
#include "proxy/restart/packet_socket.hpp"
#include "proxy/restart/transferred_state.hpp"

namespace gateway::proxy {

// Begins the protocol. Its text contains the protocol version, so a program of another version does not
// recognize it.
struct Hello {};

// The response to Hello; StateTransfer follows it.
struct ListenerTransfer {
  base::FileDescriptor listener;
};

struct StateTransfer {
  TransferredState state;
};

// Notifies the predecessor that the successor accepts clients.
struct SuccessorReady {};

// Notifies the successor that the predecessor has stopped accepting clients. ClientTransfer messages follow
// for the clients that are between two requests.
struct PredecessorLeaving {};

struct ClientTransfer {
  base::FileDescriptor connection;
};

// A received message that is malformed or of another protocol version; never sent.
struct UnknownMessage {};

using HotRestartMessage = std::variant<UnknownMessage, Hello, ListenerTransfer, StateTransfer, SuccessorReady,
                                       PredecessorLeaving, ClientTransfer>;

// `message` must not be an UnknownMessage.
Packet EncodeMessage(HotRestartMessage message);
HotRestartMessage DecodeMessage(Packet packet);

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_RESTART_HOT_RESTART_MESSAGE_HPP_
