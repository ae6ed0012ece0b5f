// Converts the head of an endpoint's response to the form in which the gateway holds it.
#ifndef GATEWAY_PROXY_UPSTREAM_FORWARDED_RESPONSE_HPP_
#define GATEWAY_PROXY_UPSTREAM_FORWARDED_RESPONSE_HPP_

#include "proxy/http_types.hpp"

namespace gateway::proxy {

// Returns the response without its body. Its fields are Content-Length and those that the platform defines
// for the gateway; the other end-to-end fields are its forwarded lines.
HttpResponse MakeForwardedResponse(const HttpResponse::header_type& head);

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_UPSTREAM_FORWARDED_RESPONSE_HPP_
