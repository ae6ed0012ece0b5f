// HTTP responses of the registry service.
#ifndef GATEWAY_REGISTRY_HTTP_RESPONSE_HPP_
#define GATEWAY_REGISTRY_HTTP_RESPONSE_HPP_

#include <memory>
#include <string>

#include "registry/command.hpp"

namespace gateway::registry {

// Encoded response body, shared by all sessions that send it.
using Body = std::shared_ptr<const std::string>;

struct Response {
  unsigned status = 200;
  Body body;               // must not be null when the response is sent
  int retry_after_s = 0;   // 0 for no Retry-After header
  bool keep_alive = true;  // if false, the connection is closed after the response
  const char* content_type = "application/json";
};

unsigned HttpStatus(ErrorCode code);

Response ResultResponse(const CommandResult& result);
// Returns a response with the HTTP status of the error's code.
Response ErrorResponse(const Error& error);
// Returns a response with the given HTTP status.
Response ErrorResponse(const Error& error, unsigned status);
// Responses with status 200.
Response BodyResponse(Body body);
Response TextResponse(std::string text, const char* content_type = "application/json");

// Returns the status line and the headers, including the empty line after them.
std::string EncodeResponseHead(const Response& response, bool keep_alive);

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_HTTP_RESPONSE_HPP_
