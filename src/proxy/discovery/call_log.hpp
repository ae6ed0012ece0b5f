// Writes rate-limited log lines about calls to list services.
#ifndef GATEWAY_PROXY_DISCOVERY_CALL_LOG_HPP_
#define GATEWAY_PROXY_DISCOVERY_CALL_LOG_HPP_

#include <string>

#include "base/log.hpp"
#include "proxy/clock.hpp"
#include "proxy/discovery/endpoint_list.hpp"
#include "proxy/discovery/list_error.hpp"

namespace gateway::proxy {

// Writes at most two lines per second and drops further lines. Accepted lists and failed calls share this
// limit. Not thread-safe.
class CallLog {
 public:
  // Logs that a call of `duration` returned `list` and that the list was accepted.
  void LogList(const EndpointList& list, Millis duration);
  // Logs that a call failed after `duration`.
  void LogFailure(const ListError& error, Millis duration);

 private:
  void Write(base::Level level, const char* event, const std::string& text, Millis duration);

  Millis next_line_allowed_at_ = 0;
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_DISCOVERY_CALL_LOG_HPP_
