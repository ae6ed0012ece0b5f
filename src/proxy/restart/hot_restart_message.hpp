// The messages between a running process and the one that replaces it, and their form on the socket. The
// words of that form are translated here and nowhere else.
//
//   message             from         word on the socket   descriptor
//   Hello               successor    "forkwick 1"         -
//   ListenerTransfer    predecessor  "listener"           the listening socket
//   StateTransfer       predecessor  a JSON object        -
//   SuccessorReady      successor    "ready"              -
//   PredecessorLeaving  predecessor  "leaving"            -
//   ClientTransfer      predecessor  "client"             a client's connection
#ifndef GATEWAY_PROXY_RESTART_HOT_RESTART_MESSAGE_HPP_
#define GATEWAY_PROXY_RESTART_HOT_RESTART_MESSAGE_HPP_

#include <variant>

#include "base/file_descriptor.hpp"
#include "proxy/restart/packet_socket.hpp"
#include "proxy/restart/transferred_state.hpp"

namespace gateway::proxy {

// Opens the protocol, and names its version: a program of another version does not know the word.
struct Hello {};

// Answers Hello, followed by StateTransfer.
struct ListenerTransfer {
  base::FileDescriptor listener;
};

struct StateTransfer {
  TransferredState state;
};

// The successor accepts clients.
struct SuccessorReady {};

// The predecessor has stopped accepting clients, and transfers those that are between two requests.
struct PredecessorLeaving {};

struct ClientTransfer {
  base::FileDescriptor connection;
};

// Received only: a malformed message, or one of another version.
struct UnknownMessage {};

using HotRestartMessage = std::variant<UnknownMessage, Hello, ListenerTransfer, StateTransfer, SuccessorReady,
                                       PredecessorLeaving, ClientTransfer>;

// `message` must not be an UnknownMessage.
Packet EncodeMessage(HotRestartMessage message);
HotRestartMessage DecodeMessage(Packet packet);

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_RESTART_HOT_RESTART_MESSAGE_HPP_
