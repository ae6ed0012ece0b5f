// The HTTP message types that both sides of the proxy use, their size limits, and small helpers on them.
#ifndef GATEWAY_PROXY_HTTP_TYPES_HPP_
#define GATEWAY_PROXY_HTTP_TYPES_HPP_

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <sstream>
#include <string>

namespace gateway::proxy {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

// A message with a longer body is rejected.
constexpr std::uint64_t kMaxBodyBytes = 32 * 1024 * 1024;
// A body of up to this size is buffered until it is complete; a longer one is streamed.
constexpr std::size_t kMaxBufferedBodyBytes = 64 * 1024;
// A message with a longer head is rejected.
constexpr std::uint32_t kMaxHeaderBytes = 16 * 1024;

// Removes the hop-by-hop header fields (RFC 9110, section 7.6.1). The framing fields
// are set again when the message is written.
template <typename Message>
void StripHopByHop(Message& message) {
  using boost::beast::http::field;
  for (const field name : {field::connection, field::keep_alive, field::proxy_connection, field::te,
                           field::trailer, field::transfer_encoding, field::upgrade, field::expect}) {
    message.erase(name);
  }
}

// Returns a message's start line and header fields with the empty line that ends them.
template <typename Message>
std::string SerializeHead(const Message& message) {
  std::ostringstream text;
  text << message.base();
  return text.str();
}

// Formats a duration in milliseconds as seconds with three decimals, for a Retry-After field.
inline std::string FormatSeconds(double duration_ms) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f", duration_ms / 1000);
  return text;
}

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_HTTP_TYPES_HPP_
