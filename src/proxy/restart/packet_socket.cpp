#include "proxy/restart/packet_socket.hpp"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstddef>
#include <cstring>

namespace gateway::proxy {
namespace {

constexpr std::size_t kMaxTextBytes = 1 << 18;
constexpr std::size_t kControlBytes = CMSG_SPACE(sizeof(int));

void AttachDescriptor(msghdr& message, int descriptor) {
  cmsghdr* const header = CMSG_FIRSTHDR(&message);
  header->cmsg_level = SOL_SOCKET;
  header->cmsg_type = SCM_RIGHTS;
  header->cmsg_len = CMSG_LEN(sizeof(int));
  std::memcpy(CMSG_DATA(header), &descriptor, sizeof(int));
}

base::FileDescriptor ExtractDescriptor(msghdr& message) {
  base::FileDescriptor descriptor;
  for (cmsghdr* header = CMSG_FIRSTHDR(&message); header != nullptr; header = CMSG_NXTHDR(&message, header)) {
    if (header->cmsg_level != SOL_SOCKET || header->cmsg_type != SCM_RIGHTS) continue;
    int fd = -1;
    std::memcpy(&fd, CMSG_DATA(header), sizeof fd);
    descriptor = base::FileDescriptor(fd);
  }
  return descriptor;
}

}  // namespace

base::FileDescriptor OpenPacketSocket() {
  return base::FileDescriptor(::socket(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
}

std::optional<sockaddr_un> ToUnixAddress(const std::string& path) {
  sockaddr_un address = {};
  address.sun_family = AF_UNIX;
  if (path.empty() || path.size() >= sizeof address.sun_path) return std::nullopt;
  std::memcpy(address.sun_path, path.c_str(), path.size() + 1);
  return address;
}

bool IsPeerOfSameUser(int socket) {
  ucred peer{};
  socklen_t size = sizeof peer;
  return ::getsockopt(socket, SOL_SOCKET, SO_PEERCRED, &peer, &size) == 0 && peer.uid == ::geteuid();
}

SendResult SendPacket(int socket, const Packet& packet) {
  iovec part{const_cast<char*>(packet.text.data()), packet.text.size()};
  alignas(cmsghdr) char control[kControlBytes] = {};
  msghdr message{};
  message.msg_iov = &part;
  message.msg_iovlen = 1;
  if (packet.descriptor) {
    message.msg_control = control;
    message.msg_controllen = sizeof control;
    AttachDescriptor(message, packet.descriptor.get());
  }
  if (::sendmsg(socket, &message, MSG_NOSIGNAL | MSG_DONTWAIT) >= 0) return SendResult::kSent;
  switch (errno) {
    case EAGAIN:
    case EINTR:
    case ENOBUFS:
    case ETOOMANYREFS: return SendResult::kTryLater;
    case EMSGSIZE: return SendResult::kTooLong;
    default: return SendResult::kBroken;
  }
}

ReceiveResult ReceivePacket(int socket, Packet& packet) {
  packet.text.resize(kMaxTextBytes);
  packet.descriptor = {};
  iovec part{packet.text.data(), packet.text.size()};
  alignas(cmsghdr) char control[kControlBytes] = {};
  msghdr message{};
  message.msg_iov = &part;
  message.msg_iovlen = 1;
  message.msg_control = control;
  message.msg_controllen = sizeof control;
  constexpr int kFlags = MSG_DONTWAIT | MSG_CMSG_CLOEXEC;
  ssize_t received = ::recvmsg(socket, &message, kFlags);
  // If the other side closed its socket with unread packets, recvmsg fails once with ECONNRESET before it
  // returns the packets that the other side had sent.
  if (received < 0 && errno == ECONNRESET) received = ::recvmsg(socket, &message, kFlags);
  if (received < 0) {
    return errno == EAGAIN || errno == EINTR ? ReceiveResult::kNothingYet : ReceiveResult::kEnded;
  }
  packet.text.resize(static_cast<std::size_t>(received));
  packet.descriptor = ExtractDescriptor(message);
  return packet.text.empty() ? ReceiveResult::kEnded : ReceiveResult::kReceived;
}

std::optional<Packet> WaitForPacket(int socket, Millis deadline) {
  Packet packet;
  for (;;) {
    const ReceiveResult result = ReceivePacket(socket, packet);
    if (result == ReceiveResult::kReceived) return packet;
    const Millis time_left = deadline - Now();
    if (result == ReceiveResult::kEnded || time_left <= 0) return std::nullopt;
    pollfd events{socket, POLLIN, 0};
    ::poll(&events, 1, static_cast<int>(time_left) + 1);
  }
}

}  // namespace gateway::proxy
