#include "registry/http_response.hpp"

#include <fmt/format.h>

#include <utility>

#include "registry/registry_json.hpp"

namespace gateway::registry {
namespace {

constexpr int kRetryAfterSeconds = 2;
constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kMethodNotAllowed = 405;
constexpr unsigned kConflict = 409;
constexpr unsigned kServiceUnavailable = 503;

const char* ReasonPhrase(unsigned status) {
  switch (status) {
    case kOk: return "OK";
    case kBadRequest: return "Bad Request";
    case kNotFound: return "Not Found";
    case kMethodNotAllowed: return "Method Not Allowed";
    case kConflict: return "Conflict";
    default: return "Service Unavailable";
  }
}

}  // namespace

unsigned HttpStatus(ErrorCode code) {
  switch (code) {
    case ErrorCode::kNone: return kOk;
    case ErrorCode::kBadRequest: return kBadRequest;
    case ErrorCode::kUnknownMember:
    case ErrorCode::kUnknownCall: return kNotFound;
    case ErrorCode::kOverloaded:
    case ErrorCode::kStorageFailed: return kServiceUnavailable;
    default: return kConflict;
  }
}

Response ResultResponse(const CommandResult& result) {
  if (result.error) return ErrorResponse(*result.error);
  return TextResponse(EncodeResult(result));
}

Response ErrorResponse(const Error& error) {
  Response response = ErrorResponse(error, HttpStatus(error.code));
  if (response.status == kServiceUnavailable) response.retry_after_s = kRetryAfterSeconds;
  return response;
}

Response ErrorResponse(const Error& error, unsigned status) {
  Response response = TextResponse(EncodeError(error));
  response.status = status;
  return response;
}

Response BodyResponse(Body body) {
  Response response;
  response.body = std::move(body);
  return response;
}

Response TextResponse(std::string text, const char* content_type) {
  Response response = BodyResponse(std::make_shared<const std::string>(std::move(text)));
  response.content_type = content_type;
  return response;
}

std::string EncodeResponseHead(const Response& response, bool keep_alive) {
  std::string head =
      fmt::format("HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n", response.status,
                  ReasonPhrase(response.status), response.content_type, response.body->size());
  if (response.retry_after_s > 0) head += fmt::format("Retry-After: {}\r\n", response.retry_after_s);
  if (!keep_alive) head += "Connection: close\r\n";
  return head + "\r\n";
}

}  // namespace gateway::registry
