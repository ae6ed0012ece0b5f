// HTTP responses of the registry service.
#ifndef GATEWAY_REGISTRY_HTTP_RESPONSE_HPP_
#define GATEWAY_REGISTRY_HTTP_RESPONSE_HPP_

#include <memory>
#include <string>

#include "registry/command.hpp"

namespace gateway::registry {

// Encoded response body; sessions that send the same one share it.
using Body = std::shared_ptr<const std::string>;

struct Response {
  unsigned status = 200;
  Body body;               // never null once it is sent
  int retry_after_s = 0;   // 0: no Retry-After header
  bool keep_alive = true;  // false: the connection is closed after it
  const char* content_type = "application/json";
};

unsigned HttpStatus(ErrorCode code);

Response ResultResponse(const CommandResult& result);
// The status is that of the error's code, or the given one.
Response ErrorResponse(const Error& error);
Response ErrorResponse(const Error& error, unsigned status);
// Responses of status 200.
Response BodyResponse(Body body);
Response TextResponse(std::string text, const char* content_type = "application/json");

// Status line and headers, with the empty line that ends them.
std::string EncodeResponseHead(const Response& response, bool keep_alive);

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_HTTP_RESPONSE_HPP_
