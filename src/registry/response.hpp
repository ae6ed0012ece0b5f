// HTTP responses of the registry service.
#ifndef GATEWAY_REGISTRY_RESPONSE_HPP_
#define GATEWAY_REGISTRY_RESPONSE_HPP_

#include <memory>
#include <string>

#include "registry/catalog.hpp"

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

// The JSON form of an outcome with the status that its code stands for, or with the given one.
Response ToResponse(const Outcome& outcome);
Response ToResponse(const Outcome& outcome, unsigned status);
// A response of status 200.
Response ToResponse(Body body);
Response ToResponse(std::string text, const char* content_type = "application/json");

// Status line and headers, with the empty line that ends them.
std::string ResponseHead(const Response& response, bool keep_alive);

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_RESPONSE_HPP_
