// Parses and formats socket addresses in configurations, endpoint lists and management commands.
#ifndef GATEWAY_BASE_SOCKET_ADDRESS_HPP_
#define GATEWAY_BASE_SOCKET_ADDRESS_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string>

namespace gateway::base {

// Parses an IP address and port, such as "10.1.0.18:3000". Returns nullopt for any other text; host names are
// not resolved.
inline std::optional<boost::asio::ip::tcp::endpoint> ParseSocketAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  boost::system::error_code address_error;
  const auto address = boost::asio::ip::make_address(text.substr(0, colon), address_error);
  std::uint16_t port = 0;
  const char* const last = text.data() + text.size();
  const auto [end, port_error] = std::from_chars(text.data() + colon + 1, last, port);
  if (address_error || port_error != std::errc() || end != last) return std::nullopt;
  return boost::asio::ip::tcp::endpoint(address, port);
}

// Returns the address as text in the format that ParseSocketAddress() reads.
inline std::string FormatSocketAddress(const boost::asio::ip::tcp::endpoint& address) {
  return address.address().to_string() + ":" + std::to_string(address.port());
}

}  // namespace gateway::base

#endif  // GATEWAY_BASE_SOCKET_ADDRESS_HPP_
