// How the gateway's listeners are opened.
#ifndef OPALSWITCH_GATEWAY_LISTEN_HPP_
#define OPALSWITCH_GATEWAY_LISTEN_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "config.hpp"

namespace opalswitch::gateway {

// Opens a listener that does not block. Throws ConfigError, which names the setting and the address, if the
// address can't be had.
inline void Listen(boost::asio::ip::tcp::acceptor& acceptor, const boost::asio::ip::tcp::endpoint& address,
                   const std::string& name) {
  using boost::asio::ip::tcp;
  try {
    acceptor.open(address.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.non_blocking(true);
    acceptor.bind(address);
    acceptor.listen();
  } catch (const boost::system::system_error& error) {
    throw ConfigError(name + ": " + address.address().to_string() + ":" + std::to_string(address.port()) +
                      ": " + error.code().message());
  }
}

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_GATEWAY_LISTEN_HPP_
