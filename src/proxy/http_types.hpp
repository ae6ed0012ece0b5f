// The HTTP message types that both sides of the proxy use, their size limits, and small helpers on them.
#ifndef GATEWAY_PROXY_HTTP_TYPES_HPP_
#define GATEWAY_PROXY_HTTP_TYPES_HPP_

#include <algorithm>
#include <array>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <sstream>
#include <string>
#include <utility>

namespace gateway::proxy {

using RequestHead = boost::beast::http::request_header<>;
using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;

// A response in the form in which the gateway holds and forwards it.
struct HttpResponse : boost::beast::http::response<boost::beast::http::string_body> {
  using Message = boost::beast::http::response<boost::beast::http::string_body>;
  using Message::Message;
  explicit HttpResponse(Message message) : Message(std::move(message)) {}

  // The header lines that the gateway forwards and does not use, each with its line end. They are not fields
  // of the message, because a field needs over 100 bytes, however short it is.
  std::string forwarded_lines;
};

// The maximum size of a body. The gateway rejects a message with a longer body.
constexpr std::uint64_t kMaxBodyBytes = 32 * 1024 * 1024;
// The gateway buffers a body of up to this size until the body is complete, and streams a longer body.
constexpr std::size_t kMaxBufferedBodyBytes = 64 * 1024;
// The maximum size of the start line and the header fields. The gateway rejects a message that exceeds it.
constexpr std::uint32_t kMaxHeaderBytes = 16 * 1024;

// The hop-by-hop header fields (RFC 9110, section 7.6.1). The framing fields are set again when the message
// is written.
constexpr std::array kHopByHopFields = {
    boost::beast::http::field::connection,       boost::beast::http::field::keep_alive,
    boost::beast::http::field::proxy_connection, boost::beast::http::field::te,
    boost::beast::http::field::trailer,          boost::beast::http::field::transfer_encoding,
    boost::beast::http::field::upgrade,          boost::beast::http::field::expect};

// One field of a head, and the size of its line in a message.
using HeaderField = boost::beast::http::fields::value_type;

inline std::size_t HeaderLineBytes(const HeaderField& field) {
  constexpr std::size_t kSeparatorBytes = 4;  // between name and value, and at the end of the line
  return field.name_string().size() + field.value().size() + kSeparatorBytes;
}

// Appends the line of a field to the text of a head.
inline void AppendHeaderLine(std::string& text, const HeaderField& field) {
  text.append(field.name_string().data(), field.name_string().size());
  text += ": ";
  text.append(field.value().data(), field.value().size());
  text += "\r\n";
}

inline bool IsHopByHop(boost::beast::http::field name) {
  return std::ranges::find(kHopByHopFields, name) != kHopByHopFields.end();
}

// Returns the start line and the header fields of a response, and the empty line that ends them.
inline std::string SerializeHead(const HttpResponse& response) {
  constexpr std::size_t kEmptyLineBytes = 2;
  std::ostringstream fields;
  fields << response.base();
  std::string text = std::move(fields).str();
  text.insert(text.size() - kEmptyLineBytes, response.forwarded_lines);
  return text;
}

// Formats a duration in milliseconds as seconds with three decimals, for a Retry-After field.
inline std::string FormatSeconds(double duration_ms) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f", duration_ms / 1000);
  return text;
}

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_HTTP_TYPES_HPP_
