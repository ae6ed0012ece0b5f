// The management port for operators: each connection carries one command line and one response.
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

// A slow client never blocks the others: at the limit of connections the server closes the oldest one whose
// command is still incomplete.
class ManagementServer {
 public:
  // Returns the complete response to a command, including line ends.
  using CommandHandler = std::function<std::string(const std::string& command)>;

  // Starts to listen. Throws ConfigError if that fails.
  ManagementServer(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address,
                   std::size_t max_connections, CommandHandler handle_command);
  ~ManagementServer();

  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

 private:
  class Connection;
  void Accept();
  void AcceptLater();
  bool CloseOldestConnection();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_retry_timer_;
  const std::size_t max_connections_;
  const CommandHandler handle_command_;
  std::list<std::shared_ptr<Connection>> connections_;  // the oldest first
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_ADMIN_MANAGEMENT_HPP_
