// Unix sockets of type SOCK_SEQPACKET, which preserve message boundaries and carry file descriptors
// (SCM_RIGHTS).
#ifndef GATEWAY_PROXY_RESTART_PACKET_SOCKET_HPP_
#define GATEWAY_PROXY_RESTART_PACKET_SOCKET_HPP_

#include <sys/un.h>

#include <optional>
#include <string>

#include "base/file_descriptor.hpp"
#include "proxy/clock.hpp"

namespace gateway::proxy {

// One message on such a socket.
struct Packet {
  std::string text;                 // at most 256 KiB arrive; the rest is cut off
  base::FileDescriptor descriptor;  // empty: none is carried
};

enum class SendResult {
  kSent,
  kTryLater,  // the receiver's queue, or the kernel's limit on descriptors in transit, is full
  kTooLong,   // for one message; never sent
  kBroken,
};

enum class ReceiveResult {
  kReceived,
  kNothingYet,
  kEnded,  // closed by the other side, or broken
};

// Opens a socket that does not block and is closed on exec; empty, with errno set, where the system refuses.
base::FileDescriptor OpenPacketSocket();

// Nothing if `path` is empty or too long for an address.
std::optional<sockaddr_un> ToUnixAddress(const std::string& path);

// Whether the process at the other end runs as the user of this one.
bool IsPeerOfSameUser(int socket);

// Neither blocks.
SendResult SendPacket(int socket, const Packet& packet);
ReceiveResult ReceivePacket(int socket, Packet& packet);

// Blocks until a packet has come or `deadline` has passed; nothing if none came or the socket has ended.
std::optional<Packet> WaitForPacket(int socket, Millis deadline);

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_RESTART_PACKET_SOCKET_HPP_
