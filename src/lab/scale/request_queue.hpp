// Counts the requests that wait to be read by a listening process. Reads the kernel's socket tables
// (sock_diag), so it neither inspects packets nor contacts the process.
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

  // Returns the number of connections that the process has not accepted, plus the number of accepted
  // connections with unread bytes. Throws std::system_error.
  int PendingRequests();

 private:
  const boost::asio::ip::tcp::endpoint listener_;
  int socket_ = -1;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_SCALE_REQUEST_QUEUE_HPP_
