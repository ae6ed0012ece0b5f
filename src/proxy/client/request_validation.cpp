#include "proxy/client/request_validation.hpp"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/verb.hpp>
#include <charconv>
#include <cmath>
#include <cstddef>
#include <system_error>
#include <utility>

namespace gateway::proxy {
namespace {

namespace http = boost::beast::http;
using boost::beast::iequals;

constexpr Millis kMaxDeadlineMs = 600000;  // keeps timers from overflowing
constexpr std::size_t kMaxRequestIdBytes = 256;
constexpr double kMillisPerMicrosecond = 0.001;

std::string Field(const RequestHead& head, const char* name) {
  const auto value = head[name];
  return {value.data(), value.size()};
}

std::string_view Target(const RequestHead& head) { return {head.target().data(), head.target().size()}; }

bool IsApiPath(std::string_view target) {
  const std::string_view path = target.substr(0, target.find('?'));
  return path == "/api" || path.starts_with("/api/");
}

// Returns the HTTP method that the requests of a traffic class must use. The class and the method must agree
// on whether a request may be repeated.
http::verb MethodOf(policy::Idempotency idempotency) {
  return idempotency == policy::Idempotency::kIdempotent ? http::verb::get : http::verb::post;
}

// Returns the number of milliseconds in one unit; 0 if the unit is unknown.
double MillisPerUnit(char unit) {
  if (unit == 'm') return 1;
  return unit == 'u' ? kMillisPerMicrosecond : 0;
}

RequestError MakeError(http::status status, const char* text) { return {status, text}; }

std::optional<RequestError> ValidateTransferEncoding(const RequestHead& head, bool chunked) {
  const auto codings = head.count(http::field::transfer_encoding);
  if (codings == 0) return std::nullopt;
  if (head.version() < 11 || head.count(http::field::content_length) > 0 || codings > 1 || !chunked) {
    return MakeError(http::status::bad_request, "the framing is contradictory");
  }
  if (!iequals(head[http::field::transfer_encoding], "chunked")) {
    return MakeError(http::status::not_implemented, "chunked is the one coding");
  }
  return std::nullopt;
}

}  // namespace

bool IsReadinessCheck(const RequestHead& head) {
  return Target(head) == "/up" && head.method() == http::verb::get;
}

std::optional<Millis> ParseDeadline(std::string_view text) {
  if (text.size() < 2) return std::nullopt;
  const double millis_per_unit = MillisPerUnit(text.back());
  double value = 0;
  const char* const unit = text.data() + text.size() - 1;
  const auto [end, error] = std::from_chars(text.data(), unit, value, std::chars_format::fixed);
  if (millis_per_unit == 0 || error != std::errc() || end != unit) return std::nullopt;
  if (!std::isfinite(value) || value < 0) return std::nullopt;
  return std::min(value * millis_per_unit, kMaxDeadlineMs);
}

std::optional<RequestError> ValidateFraming(const RequestHead& head, const RequestFraming& framing) {
  if (auto error = ValidateTransferEncoding(head, framing.chunked)) return error;
  if (head.count(http::field::content_length) > 1) {
    return MakeError(http::status::bad_request, "the framing is contradictory");
  }
  if (framing.content_length > kMaxBodyBytes) {
    return MakeError(http::status::payload_too_large, "the body is too large");
  }
  if (head.version() != 10 && head.version() != 11) {
    return MakeError(http::status::http_version_not_supported, "HTTP/1.1 is spoken");
  }
  if (head.count(http::field::expect) > 0 && !iequals(head[http::field::expect], "100-continue")) {
    return MakeError(http::status::expectation_failed, "100-continue is the one expectation");
  }
  return std::nullopt;
}

RequestValidator::RequestValidator(const policy::Settings& settings) {
  for (const policy::TrafficClassSettings& traffic_class : settings.classes) {
    idempotency_by_class_[traffic_class.name] = traffic_class.idempotency;
  }
}

std::optional<RequestError> RequestValidator::Validate(const RequestHead& head,
                                                       RequestAttributes& attributes) const {
  if (!IsApiPath(Target(head))) return MakeError(http::status::not_found, "no such path");
  attributes.id = Field(head, "Req-Id");
  if (attributes.id.empty() || attributes.id.size() > kMaxRequestIdBytes) {
    return MakeError(http::status::bad_request, "Req-Id is missing or too long");
  }
  attributes.class_name = Field(head, "Req-Kind");
  const auto found = idempotency_by_class_.find(attributes.class_name);
  if (found == idempotency_by_class_.end()) {
    return MakeError(http::status::bad_request, "Req-Kind names no class");
  }
  const auto deadline = ParseDeadline(Field(head, "Req-Deadline"));
  if (!deadline) return MakeError(http::status::bad_request, "Req-Deadline is missing or malformed");
  attributes.time_allowed = *deadline;
  attributes.idempotency = found->second;
  if (head.method() != MethodOf(attributes.idempotency)) {
    return MakeError(http::status::method_not_allowed, "the class takes another method");
  }
  if (attributes.idempotency == policy::Idempotency::kIdempotencyKey && head["Idempotency-Key"].empty()) {
    return MakeError(http::status::bad_request, "Idempotency-Key is missing");
  }
  attributes.tenant = Field(head, "Req-Owner");
  attributes.affinity_key = Field(head, "Req-Key");
  return std::nullopt;
}

}  // namespace gateway::proxy
