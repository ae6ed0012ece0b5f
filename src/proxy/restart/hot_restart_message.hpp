// The messages between a running process (the predecessor) and the process that replaces it (the successor),
// and their encoding on the socket. Only this module depends on the encoding.
//
//   message             from         text on the socket   descriptor
//   Hello               successor    "forkwick 1"         -
//   ListenerTransfer    predecessor  "listener"           the listening socket
//   StateTransfer       predecessor  a JSON object        -
//   SuccessorReady      successor    "ready"              -
//   PredecessorLeaving  predecessor  "leaving"            -
//   ClientTransfer      predecessor  "client"             a client connection
//   RequestsClaimed     both         "claim" and IDs      -
//   RequestsReleased    both         "release" and IDs    -
//   ConfigReplaced      both         "reload"             -
//
// An ID is the digest of a request ID in 32 hex digits, after a space. Versions that do not know the last
// three messages ignore them.
#ifndef GATEWAY_PROXY_RESTART_HOT_RESTART_MESSAGE_HPP_
#define GATEWAY_PROXY_RESTART_HOT_RESTART_MESSAGE_HPP_

#include <cstddef>
#include <variant>
#include <vector>

#include "base/file_descriptor.hpp"
#include "gateway/repeat_detection.hpp"
#include "proxy/restart/packet_socket.hpp"
#include "proxy/restart/transferred_state.hpp"

namespace gateway::proxy {

// The first message. Its text contains the protocol version, so a process with another protocol version
// decodes it as UnknownMessage.
struct Hello {};

// The response to Hello. A StateTransfer message follows.
struct ListenerTransfer {
  base::FileDescriptor listener;
};

struct StateTransfer {
  TransferredState state;
};

// Notifies the predecessor that the successor accepts clients.
struct SuccessorReady {};

// Notifies the successor that the predecessor has stopped accepting clients. A ClientTransfer message follows
// for each client connection that is between two requests.
struct PredecessorLeaving {};

struct ClientTransfer {
  base::FileDescriptor connection;
};

// The largest number of IDs in a message.
constexpr std::size_t kMaxIdsPerMessage = 1000;

// The sender has taken on requests with these IDs, or has remembered them. The receiver must refuse them.
struct RequestsClaimed {
  std::vector<policy::RequestDigest> ids;
};

// No endpoint can have executed the requests with these IDs. The receiver may accept them again.
struct RequestsReleased {
  std::vector<policy::RequestDigest> ids;
};

// The sender has received SIGHUP: the configuration file was replaced. The platform may signal only one of
// the processes.
struct ConfigReplaced {};

// The result of decoding a message that is malformed or of another protocol version. Never sent.
struct UnknownMessage {};

using HotRestartMessage =
    std::variant<UnknownMessage, Hello, ListenerTransfer, StateTransfer, SuccessorReady, PredecessorLeaving,
                 ClientTransfer, RequestsClaimed, RequestsReleased, ConfigReplaced>;

// `message` must not be an UnknownMessage.
Packet EncodeMessage(HotRestartMessage message);
HotRestartMessage DecodeMessage(Packet packet);

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_RESTART_HOT_RESTART_MESSAGE_HPP_
