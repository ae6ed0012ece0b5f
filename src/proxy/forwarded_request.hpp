// A client's request in the form in which the gateway holds and forwards it.
#ifndef GATEWAY_PROXY_FORWARDED_REQUEST_HPP_
#define GATEWAY_PROXY_FORWARDED_REQUEST_HPP_

#include <cstdint>
#include <optional>
#include <string>

#include "proxy/clock.hpp"
#include "proxy/http_types.hpp"

namespace gateway::proxy {

// The head is stored as text. A list of fields would need over 100 bytes for each field, however short.
struct ForwardedRequest {
  // The start line and the header fields that all attempts have in common, each with its line end: without
  // the hop-by-hop fields, the framing fields and Req-Deadline.
  std::string head;
  // The complete body, or the part that was buffered before the rest is streamed.
  std::string body;
  // Size of the complete body. Empty if the body is streamed and its size is unknown.
  std::optional<std::uint64_t> body_bytes;
  // Whether the method is one for which an empty body has a Content-Length.
  bool states_empty_length = false;
};

// Returns the request without its body.
ForwardedRequest MakeForwardedRequest(const RequestHead& head);

// Returns the rest of the head of an attempt: its framing fields, Req-Deadline with the remaining time until
// `deadline` (at least 1 ms), and the empty line.
std::string AttemptFields(const ForwardedRequest& request, Millis deadline);

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_FORWARDED_REQUEST_HPP_
