// What waits at a listening process, by the kernel's socket tables (sock_diag): no packet is opened and the
// process is not asked.
#ifndef GATEWAY_LAB_SCALE_REQUEST_QUEUE_HPP_
#define GATEWAY_LAB_SCALE_REQUEST_QUEUE_HPP_

#include <boost/asio/ip/tcp.hpp>

namespace gateway::lab {

class RequestQueue {
 public:
  // Throws std::system_error where the kernel gives no such socket.
  explicit RequestQueue(const boost::asio::ip::tcp::endpoint& listener);
  ~RequestQueue();
  RequestQueue(const RequestQueue&) = delete;

  // Connections that were not accepted yet, and accepted ones with bytes that were not read. Throws
  // std::system_error.
  int Waiting();

 private:
  const boost::asio::ip::tcp::endpoint listener_;
  int socket_ = -1;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_SCALE_REQUEST_QUEUE_HPP_
