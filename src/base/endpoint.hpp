// Addresses as configurations, lists and calls write them.
#ifndef GATEWAY_BASE_ENDPOINT_HPP_
#define GATEWAY_BASE_ENDPOINT_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string>

namespace gateway::base {

// "10.1.0.18:3000"; nothing if it is anything else.
inline std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  boost::system::error_code ec;
  const auto address = boost::asio::ip::make_address(text.substr(0, colon), ec);
  std::uint16_t port = 0;
  const char* const last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data() + colon + 1, last, port);
  if (ec || error != std::errc() || end != last) return std::nullopt;
  return boost::asio::ip::tcp::endpoint(address, port);
}

}  // namespace gateway::base

#endif  // GATEWAY_BASE_ENDPOINT_HPP_
