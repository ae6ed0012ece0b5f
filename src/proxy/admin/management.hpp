// The address for operators: one line to a connection, one answer, and the connection ends.
#ifndef GATEWAY_PROXY_ADMIN_MANAGEMENT_HPP_
#define GATEWAY_PROXY_ADMIN_MANAGEMENT_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <string>

namespace gateway::proxy {

// Slow callers never block others: each has a place of its own, and when all places are taken the oldest
// caller without a whole line gives way.
class ManagementServer {
 public:
  // Gives the whole answer to a call, with its line ends.
  using Answer = std::function<std::string(const std::string& call)>;

  // Listens at once. Throws ConfigError if it can't.
  ManagementServer(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address,
                   std::size_t most_callers, Answer answer);
  ~ManagementServer();

  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

 private:
  class Caller;
  void Accept();
  void AcceptLater();
  bool MakeRoom();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_again_;
  const std::size_t most_callers_;
  const Answer answer_;
  std::list<std::shared_ptr<Caller>> callers_;  // the oldest first
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_ADMIN_MANAGEMENT_HPP_
