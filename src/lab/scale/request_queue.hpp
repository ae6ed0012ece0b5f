// The number of requests that wait at a listening process, read from the kernel's socket tables (sock_diag).
// Neither inspects packets nor contacts the process.
#ifndef GATEWAY_LAB_SCALE_REQUEST_QUEUE_HPP_
#define GATEWAY_LAB_SCALE_REQUEST_QUEUE_HPP_

#include <boost/asio/ip/tcp.hpp>

namespace gateway::lab {

class RequestQueue {
 public:
  // Throws std::system_error if the kernel provides no sock_diag socket.
  explicit RequestQueue(const boost::asio::ip::tcp::endpoint& listener);
  ~RequestQueue();
  RequestQueue(const RequestQueue&) = delete;

  // Counts the connections not accepted yet, and the accepted ones with unread bytes. Throws
  // std::system_error.
  int PendingRequests();

 private:
  const boost::asio::ip::tcp::endpoint listener_;
  int socket_ = -1;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_SCALE_REQUEST_QUEUE_HPP_
