// How the gateway's listeners are opened.
#ifndef GATEWAY_PROXY_LISTEN_HPP_
#define GATEWAY_PROXY_LISTEN_HPP_

#include <sys/socket.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "proxy/config.hpp"

namespace gateway::proxy {

// Whether someone listens at the address now.
inline bool IsTaken(const boost::asio::ip::tcp::endpoint& address) {
  using boost::asio::ip::tcp;
  boost::asio::io_context io(1);
  tcp::acceptor probe(io);
  boost::system::error_code ec;
  probe.open(address.protocol(), ec);
  if (!ec) probe.set_option(tcp::acceptor::reuse_address(true), ec);
  if (!ec) probe.bind(address, ec);
  return ec == boost::asio::error::address_in_use;
}

// Opens a listener that does not block; a shared one lets another process listen there too. Throws
// ConfigError, which names the setting and the address, if the address can't be had.
inline void Listen(boost::asio::ip::tcp::acceptor& acceptor, const boost::asio::ip::tcp::endpoint& address,
                   const std::string& name, bool shared = false) {
  using boost::asio::ip::tcp;
  try {
    acceptor.open(address.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    if (shared) {
      boost::system::error_code refused;  // then nobody else can share it, which harms nobody now
      acceptor.set_option(boost::asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>(true),
                          refused);
    }
    acceptor.non_blocking(true);
    acceptor.bind(address);
    acceptor.listen();
  } catch (const boost::system::system_error& error) {
    throw ConfigError(name + ": " + address.address().to_string() + ":" + std::to_string(address.port()) +
                      ": " + error.code().message());
  }
}

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_LISTEN_HPP_
