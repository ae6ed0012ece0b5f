// Maps an endpoint's response to the result of the attempt.
#ifndef GATEWAY_PROXY_UPSTREAM_RESPONSE_CLASSIFICATION_HPP_
#define GATEWAY_PROXY_UPSTREAM_RESPONSE_CLASSIFICATION_HPP_

#include "gateway/policy.hpp"
#include "proxy/http_types.hpp"

namespace gateway::proxy {

// The header field of a response that proves that the endpoint did not execute the request if its value is 1.
constexpr char kDeclinedField[] = "Srv-Declined";

// Returns kServed for status 200. Returns kRejected for status 503 or 504 with Srv-Declined: 1, which proves
// that the endpoint did not execute the request. Returns kError for any other response.
policy::AttemptResult ClassifyResponse(const HttpResponse::header_type& head);

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_UPSTREAM_RESPONSE_CLASSIFICATION_HPP_
