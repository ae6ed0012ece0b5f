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
  std::string text;                 // truncated to 256 KiB on reception
  base::FileDescriptor descriptor;  // empty if the packet carries none
};

enum class SendResult {
  kSent,
  kTryLater,  // the receiver's queue is full, or the kernel's limit on descriptors in transit is reached
  kTooLong,   // the text is too long for a single packet; a retry can't succeed
  kBroken,    // the connection has failed
};

enum class ReceiveResult {
  kReceived,
  kNothingYet,  // no packet has arrived
  kEnded,       // the other side has closed the connection, or the connection has failed
};

// Opens a non-blocking socket that is closed on exec. On failure returns an empty descriptor and sets errno.
base::FileDescriptor OpenPacketSocket();

// Returns the address of the Unix socket at `path`, or std::nullopt if `path` is empty or too long for an
// address.
std::optional<sockaddr_un> ToUnixAddress(const std::string& path);

// Returns whether the process at the other end of the connection runs as the same user as this process.
bool IsPeerOfSameUser(int socket);

// Sends or receives one packet without blocking.
SendResult SendPacket(int socket, const Packet& packet);
ReceiveResult ReceivePacket(int socket, Packet& packet);

// Blocks until a packet arrives, `deadline` has passed or the connection ends. Returns std::nullopt if no
// packet arrived.
std::optional<Packet> WaitForPacket(int socket, Millis deadline);

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_RESTART_PACKET_SOCKET_HPP_
