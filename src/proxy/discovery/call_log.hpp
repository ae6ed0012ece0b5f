// The log lines on calls to list services, limited in their rate.
#ifndef GATEWAY_PROXY_DISCOVERY_CALL_LOG_HPP_
#define GATEWAY_PROXY_DISCOVERY_CALL_LOG_HPP_

#include <string>

#include "base/log.hpp"
#include "proxy/clock.hpp"
#include "proxy/discovery/endpoint_list.hpp"
#include "proxy/discovery/list_error.hpp"

namespace gateway::proxy {

// Writes at most two lines a second, of whichever kind comes first; the others are dropped. One thread.
class CallLog {
 public:
  // A call that lasted `duration` brought a list that was accepted.
  void LogList(const EndpointList& list, Millis duration);
  void LogFailure(const ListError& error, Millis duration);

 private:
  void Write(base::Level level, const char* event, const std::string& text, Millis duration);

  Millis silent_until_ = 0;
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_DISCOVERY_CALL_LOG_HPP_
