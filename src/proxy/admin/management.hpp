// The server of the management port for operators. Each connection carries one command line and one response.
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

// Slow clients can't block other clients: at the limit of connections the server closes the oldest connection
// on which the command is incomplete.
class ManagementServer {
 public:
  // Returns the complete response to a command, including line ends.
  using CommandHandler = std::function<std::string(const std::string& command)>;

  // Listens at `address`. Throws ConfigError if the address is not available.
  ManagementServer(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address,
                   std::size_t max_connections, CommandHandler handle_command);
  ~ManagementServer();

  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

 private:
  class Connection;
  void Accept();
  void ScheduleAccept();
  bool CloseOldestConnection();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_retry_timer_;
  const std::size_t max_connections_;
  const CommandHandler handle_command_;
  std::list<std::shared_ptr<Connection>> connections_;  // the oldest connection first
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_ADMIN_MANAGEMENT_HPP_
