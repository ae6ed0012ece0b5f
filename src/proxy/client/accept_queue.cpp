#include "proxy/client/accept_queue.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include "proxy/clock.hpp"

namespace gateway::proxy {

std::optional<Millis> TimeSinceLastReceived(int socket) {
  tcp_info info{};
  socklen_t size = sizeof info;
  if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return std::nullopt;
  // A TCP connection always has a retransmission timeout. If it is 0, the kernel has not filled in `info`.
  if (info.tcpi_rto == 0) return std::nullopt;
  return info.tcpi_last_data_recv;
}

bool HasPendingConnections(int listener) {
  pollfd queue{listener, POLLIN, 0};
  return ::poll(&queue, 1, 0) > 0;
}

}  // namespace gateway::proxy
