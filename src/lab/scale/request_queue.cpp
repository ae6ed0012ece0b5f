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

constexpr std::size_t kBuffer = 256 << 10;

[[noreturn]] void Fail(const char* what) { throw std::system_error(errno, std::generic_category(), what); }

struct DumpRequest {
  nlmsghdr header{};
  inet_diag_req_v2 body{};
};

DumpRequest ListeningAndOpen() {
  DumpRequest request;
  request.header.nlmsg_len = sizeof request;
  request.header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
  request.header.nlmsg_flags = NLM_F_REQUEST | NLM_F_DUMP;
  request.body.sdiag_family = AF_INET;
  request.body.sdiag_protocol = IPPROTO_TCP;
  request.body.idiag_states = (1U << TCP_LISTEN) | (1U << TCP_ESTABLISHED);
  return request;
}

// Of one socket at the listener's address: how many requests wait in it.
int WaitingIn(const inet_diag_msg& socket) {
  if (socket.idiag_state == TCP_LISTEN) return static_cast<int>(socket.idiag_rqueue);
  return socket.idiag_rqueue > 0 ? 1 : 0;
}

}  // namespace

RequestQueue::RequestQueue(const boost::asio::ip::tcp::endpoint& listener)
    : listener_(listener), socket_(socket(AF_NETLINK, SOCK_DGRAM | SOCK_CLOEXEC, NETLINK_SOCK_DIAG)) {
  if (socket_ < 0) Fail("no sock_diag socket");
}

RequestQueue::~RequestQueue() { close(socket_); }

int RequestQueue::Waiting() {
  const DumpRequest request = ListeningAndOpen();
  if (send(socket_, &request, sizeof request, 0) < 0) Fail("can't ask the kernel for its sockets");
  const in_addr_t address = htonl(listener_.address().to_v4().to_uint());
  const in_port_t port = htons(listener_.port());
  std::vector<char> buffer(kBuffer);  // aligned for any type
  int waiting = 0;
  for (;;) {
    const ssize_t got = recv(socket_, buffer.data(), buffer.size(), 0);
    if (got < 0) Fail("the kernel does not tell its sockets");
    std::size_t left = static_cast<std::size_t>(got);
    for (auto* header = reinterpret_cast<const nlmsghdr*>(buffer.data()); NLMSG_OK(header, left);
         header = NLMSG_NEXT(header, left)) {
      if (header->nlmsg_type == NLMSG_DONE || header->nlmsg_type == NLMSG_ERROR) return waiting;
      const auto& found = *static_cast<const inet_diag_msg*>(NLMSG_DATA(header));
      if (found.id.idiag_sport == port && found.id.idiag_src[0] == address) waiting += WaitingIn(found);
    }
  }
}

}  // namespace gateway::lab
