// Logs failures of connections to endpoints.
#ifndef GATEWAY_PROXY_UPSTREAM_UPSTREAM_ERROR_LOG_HPP_
#define GATEWAY_PROXY_UPSTREAM_UPSTREAM_ERROR_LOG_HPP_

#include <boost/system/error_code.hpp>
#include <cstddef>
#include <string>
#include <string_view>

#include "proxy/clock.hpp"

namespace gateway::proxy {

// Describes a connection that broke after the request was sent and before the response was complete.
struct ConnectionReset {
  const std::string& endpoint;
  boost::system::error_code error;
  std::string_view class_name;  // name of the request's traffic class
  std::size_t request_body_bytes;
  int request_number;  // number of the request on the connection, counted from 1
  Millis idle_ms;      // idle time of the connection before the request; 0 if it was new
  Millis attempt_ms;   // time since the request was assigned to the connection
};

// Describes a response that the gateway did not read to its end.
struct AbandonedResponse {
  const std::string& endpoint;
  std::string_view request_id;
  std::string_view class_name;  // name of the request's traffic class
  const char* reason;
  std::size_t body_bytes;  // bytes of the body that were read
  Millis attempt_ms;       // time since the request was assigned to the connection
};

// Logs error responses, abandoned responses and connection resets. Writes at most one line per interval for
// all together, because an outage breaks many connections at once.
class UpstreamErrorLog {
 public:
  void LogReset(const ConnectionReset& reset);
  // Logs a response with a status that makes the attempt fail.
  void LogErrorResponse(const std::string& endpoint, unsigned status);
  void LogAbandonedResponse(const AbandonedResponse& response);

 private:
  // Returns whether a line may be written now. If so, starts the next interval.
  bool BeginLine();

  Millis suppressed_until_ = 0;
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_UPSTREAM_UPSTREAM_ERROR_LOG_HPP_
