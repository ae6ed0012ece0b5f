#include "proxy/forwarded_request.hpp"

#include <algorithm>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/verb.hpp>
#include <cstddef>

namespace gateway::proxy {
namespace {

namespace http = boost::beast::http;

const char* const kDeadlineField = "Req-Deadline";

bool IsForwarded(const HeaderField& field) {
  const bool is_framing =
      field.name() == http::field::content_length || field.name() == http::field::transfer_encoding;
  return !is_framing && !IsHopByHop(field.name()) &&
         !boost::beast::iequals(field.name_string(), kDeadlineField);
}

void Append(std::string& text, boost::beast::string_view part) { text.append(part.data(), part.size()); }

}  // namespace

ForwardedRequest MakeForwardedRequest(const RequestHead& head) {
  ForwardedRequest request;
  std::size_t head_bytes = head.method_string().size() + head.target().size() + sizeof("  HTTP/1.1\r\n");
  for (const auto& field : head) head_bytes += IsForwarded(field) ? HeaderLineBytes(field) : 0;
  request.head.reserve(head_bytes);
  Append(request.head, head.method_string());
  request.head += ' ';
  Append(request.head, head.target());
  request.head += " HTTP/1.1\r\n";
  for (const auto& field : head) {
    if (IsForwarded(field)) AppendHeaderLine(request.head, field);
  }
  const http::verb method = head.method();
  request.states_empty_length =
      method == http::verb::post || method == http::verb::put || method == http::verb::options;
  return request;
}

std::string AttemptFields(const ForwardedRequest& request, Millis deadline) {
  std::string fields;
  if (!request.body_bytes) {
    fields = "Transfer-Encoding: chunked\r\n";
  } else if (*request.body_bytes > 0 || request.states_empty_length) {
    fields = "Content-Length: " + std::to_string(*request.body_bytes) + "\r\n";
  }
  const auto remaining_ms = static_cast<std::int64_t>(deadline - Now());
  fields += kDeadlineField;
  fields += ": " + std::to_string(std::max<std::int64_t>(1, remaining_ms)) + "m\r\n\r\n";
  return fields;
}

}  // namespace gateway::proxy
