// Validates the head of a client's request against HTTP's framing rules, the platform's protocol and the
// settings.
#ifndef GATEWAY_PROXY_CLIENT_REQUEST_VALIDATION_HPP_
#define GATEWAY_PROXY_CLIENT_REQUEST_VALIDATION_HPP_

#include <boost/beast/http/status.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "gateway/policy.hpp"
#include "proxy/clock.hpp"
#include "proxy/http_types.hpp"

namespace gateway::proxy {

// The status and the body text of the response that rejects a request.
struct RequestError {
  boost::beast::http::status status;
  std::string text;
};

// The values of the header fields that the platform defines for requests.
struct RequestAttributes {
  std::string id;
  std::string class_name;                                                 // name of the traffic class
  std::string tenant;                                                     // empty if there is none
  std::string affinity_key;                                               // empty if there is none
  policy::Idempotency idempotency = policy::Idempotency::kNotIdempotent;  // of the class
  Millis time_allowed = 0;  // how long the client waits for the response after sending the request
};

// The framing of a request's body as the HTTP parser reports it.
struct RequestFraming {
  bool chunked = false;
  std::uint64_t content_length = 0;  // bytes; 0 if the field is missing
};

// Returns whether the request is a readiness check (GET /up).
bool IsReadinessCheck(const RequestHead& head);

// Parses a deadline such as "480m" (milliseconds) or "480000u" (microseconds). Returns milliseconds, limited
// to ten minutes. Returns nothing if the text is malformed or the value is negative.
std::optional<Millis> ParseDeadline(std::string_view text);

// Returns an error for a request that two recipients could frame differently (request smuggling), or that
// cannot be forwarded.
std::optional<RequestError> ValidateFraming(const RequestHead& head, const RequestFraming& framing);

// Validates requests by the rules that depend on the settings. Immutable.
class RequestValidator {
 public:
  explicit RequestValidator(const policy::Settings& settings);

  // Reads the platform's header fields into `attributes`. Returns an error if the path, the method or one of
  // the fields is invalid. After an error, `attributes` may be incomplete.
  std::optional<RequestError> Validate(const RequestHead& head, RequestAttributes& attributes) const;

 private:
  std::unordered_map<std::string, policy::Idempotency> idempotency_by_class_;
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_CLIENT_REQUEST_VALIDATION_HPP_
