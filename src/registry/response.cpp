#include "registry/response.hpp"

#include <fmt/format.h>

#include <utility>

#include "registry/form.hpp"

namespace gateway::registry {
namespace {

constexpr int kRetryAfterSeconds = 2;
constexpr unsigned kServiceUnavailable = 503;

const char* ReasonPhrase(unsigned status) {
  switch (status) {
    case 200: return "OK";
    case 400: return "Bad Request";
    case 404: return "Not Found";
    case 405: return "Method Not Allowed";
    case 409: return "Conflict";
    default: return "Service Unavailable";
  }
}

}  // namespace

Response ToResponse(const Outcome& outcome) {
  Response response = ToResponse(outcome, StatusOf(outcome));
  if (response.status == kServiceUnavailable) response.retry_after_s = kRetryAfterSeconds;
  return response;
}

Response ToResponse(const Outcome& outcome, unsigned status) {
  Response response = ToResponse(ToText(outcome));
  response.status = status;
  return response;
}

Response ToResponse(Body body) {
  Response response;
  response.body = std::move(body);
  return response;
}

Response ToResponse(std::string text, const char* content_type) {
  Response response = ToResponse(std::make_shared<const std::string>(std::move(text)));
  response.content_type = content_type;
  return response;
}

std::string ResponseHead(const Response& response, bool keep_alive) {
  std::string head =
      fmt::format("HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n", response.status,
                  ReasonPhrase(response.status), response.content_type, response.body->size());
  if (response.retry_after_s > 0) head += fmt::format("Retry-After: {}\r\n", response.retry_after_s);
  if (!keep_alive) head += "Connection: close\r\n";
  return head + "\r\n";
}

}  // namespace gateway::registry
