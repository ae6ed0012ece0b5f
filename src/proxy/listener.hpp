// Opens the gateway's listening sockets.
#ifndef GATEWAY_PROXY_LISTENER_HPP_
#define GATEWAY_PROXY_LISTENER_HPP_

#include <sys/socket.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "proxy/config.hpp"

namespace gateway::proxy {

// Returns whether a process currently listens at the address.
inline bool IsAddressInUse(const boost::asio::ip::tcp::endpoint& address) {
  using boost::asio::ip::tcp;
  boost::asio::io_context io(1);
  tcp::acceptor probe(io);
  boost::system::error_code error;
  probe.open(address.protocol(), error);
  if (!error) probe.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) probe.bind(address, error);
  return error == boost::asio::error::address_in_use;
}

// Makes `acceptor` listen at `address` without blocking. If `shared` is true, other processes may listen at
// the same address. If the address is not available, throws ConfigError with `setting_name` and the address.
inline void OpenListener(boost::asio::ip::tcp::acceptor& acceptor,
                         const boost::asio::ip::tcp::endpoint& address, const std::string& setting_name,
                         bool shared = false) {
  using boost::asio::ip::tcp;
  using ReusePort = boost::asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
  try {
    acceptor.open(address.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    if (shared) {
      // If setting this option fails, other processes can't listen at the same address, but this process can.
      boost::system::error_code ignored;
      acceptor.set_option(ReusePort(true), ignored);
    }
    acceptor.non_blocking(true);
    acceptor.bind(address);
    acceptor.listen();
  } catch (const boost::system::system_error& error) {
    throw ConfigError(setting_name + ": " + address.address().to_string() + ":" +
                      std::to_string(address.port()) + ": " + error.code().message());
  }
}

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_LISTENER_HPP_
