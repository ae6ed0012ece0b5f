#include "lab/scale/request_queue.hpp"

#include <arpa/inet.h>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>
#include <vector>

namespace gateway::lab {
namespace {

constexpr std::size_t kReceiveBufferBytes = 256 << 10;

[[noreturn]] void ThrowErrno(const char* message) {
  throw std::system_error(errno, std::generic_category(), message);
}

struct DumpRequest {
  nlmsghdr header{};
  inet_diag_req_v2 body{};
};

DumpRequest MakeDumpRequest() {
  DumpRequest request;
  request.header.nlmsg_len = sizeof request;
  request.header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
  request.header.nlmsg_flags = NLM_F_REQUEST | NLM_F_DUMP;
  request.body.sdiag_family = AF_INET;
  request.body.sdiag_protocol = IPPROTO_TCP;
  request.body.idiag_states = (1U << TCP_LISTEN) | (1U << TCP_ESTABLISHED);
  return request;
}

// Returns the number of waiting requests of one socket at the listener's address: the length of the accept
// queue of the listening socket, or 1 for a connection with unread bytes.
int PendingRequestsIn(const inet_diag_msg& socket) {
  if (socket.idiag_state == TCP_LISTEN) return static_cast<int>(socket.idiag_rqueue);
  return socket.idiag_rqueue > 0 ? 1 : 0;
}

}  // namespace

RequestQueue::RequestQueue(const boost::asio::ip::tcp::endpoint& listener)
    : listener_(listener), socket_(socket(AF_NETLINK, SOCK_DGRAM | SOCK_CLOEXEC, NETLINK_SOCK_DIAG)) {
  if (socket_ < 0) ThrowErrno("can't open a sock_diag socket");
}

RequestQueue::~RequestQueue() { close(socket_); }

int RequestQueue::PendingRequests() {
  const DumpRequest request = MakeDumpRequest();
  if (send(socket_, &request, sizeof request, 0) < 0)
    ThrowErrno("can't send the sock_diag request to the kernel");
  const in_addr_t address = htonl(listener_.address().to_v4().to_uint());
  const in_port_t port = htons(listener_.port());
  std::vector<char> buffer(kReceiveBufferBytes);  // memory from the allocator is aligned for any type
  int pending = 0;
  for (;;) {
    const ssize_t received_bytes = recv(socket_, buffer.data(), buffer.size(), 0);
    if (received_bytes < 0) ThrowErrno("can't receive the kernel's list of sockets");
    std::size_t remaining_bytes = static_cast<std::size_t>(received_bytes);
    for (auto* header = reinterpret_cast<const nlmsghdr*>(buffer.data()); NLMSG_OK(header, remaining_bytes);
         header = NLMSG_NEXT(header, remaining_bytes)) {
      if (header->nlmsg_type == NLMSG_DONE || header->nlmsg_type == NLMSG_ERROR) return pending;
      const auto& entry = *static_cast<const inet_diag_msg*>(NLMSG_DATA(header));
      if (entry.id.idiag_sport == port && entry.id.idiag_src[0] == address)
        pending += PendingRequestsIn(entry);
    }
  }
}

}  // namespace gateway::lab
