// Functions for Unix sockets of type SOCK_SEQPACKET, which preserve message boundaries and carry file
// descriptors (SCM_RIGHTS).
#ifndef GATEWAY_PROXY_RESTART_PACKET_SOCKET_HPP_
#define GATEWAY_PROXY_RESTART_PACKET_SOCKET_HPP_

#include <sys/un.h>

#include <optional>
#include <string>

#include "base/file_descriptor.hpp"
#include "proxy/clock.hpp"

namespace gateway::proxy {

// One message on a socket of type SOCK_SEQPACKET.
struct Packet {
  std::string text;                 // truncated to 256 KiB when received
  base::FileDescriptor descriptor;  // empty if the packet carries none
};

enum class SendResult {
  kSent,
  kTryLater,  // the receiver's queue is full, or the kernel's limit on descriptors in transit is reached
  kTooLong,   // the text is too long for a single packet; a retry can't succeed
  kBroken,
};

enum class ReceiveResult {
  kReceived,
  kNothingYet,
  kEnded,  // the other side closed the connection, or it failed
};

// Opens a non-blocking socket that is closed on exec. On failure returns an empty descriptor and sets errno.
base::FileDescriptor OpenPacketSocket();

// Returns std::nullopt if `path` is empty or too long for an address.
std::optional<sockaddr_un> ToUnixAddress(const std::string& path);

// Whether the process at the other end runs as the user of this one.
bool IsPeerOfSameUser(int socket);

// Sends or receives one packet without blocking.
SendResult SendPacket(int socket, const Packet& packet);
ReceiveResult ReceivePacket(int socket, Packet& packet);

// Blocks until a packet arrives or `deadline` has passed. Returns std::nullopt if none arrived or the
// connection has ended.
std::optional<Packet> WaitForPacket(int socket, Millis deadline);

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_RESTART_PACKET_SOCKET_HPP_
