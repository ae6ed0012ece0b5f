// Actions that a Policy returns for its gateway to carry out.
#ifndef GATEWAY_ACTIONS_HPP_
#define GATEWAY_ACTIONS_HPP_

#include <string>
#include <variant>

#include "gateway/time.hpp"

namespace gateway::policy {

// Starts an attempt. The attempt ends with kTimedOut if no response has arrived after `timeout`.
struct Send {
  std::string request;
  std::string endpoint;
  Millis timeout = 0;
  Millis start_writing_within = 1e15;  // the attempt ends with kNotSent if writing starts later
};

// Final answer: rejects the request. The client can safely retry it.
struct Reject {
  std::string request;
  Millis retry_after = 0;  // recommended delay before the retry; 0 = no recommendation
};

// Final answer: fails the request, which may have been executed.
struct Fail {
  std::string request;
};

// Ends an attempt early. The gateway still reports its outcome.
struct Cancel {
  std::string request;
  int attempt = 0;
};

// Starts a timer. The gateway reports TimerFired with the same name after `delay`.
struct SetTimer {
  Millis delay = 0;
  std::string name;
};

// Starts a watch of the endpoint list. The gateway reports its result as an EndpointListEvent.
struct WatchEndpointList {};

// Writes a line to the gateway's log.
struct LogLine {
  std::string text;
  bool is_status = false;  // true: the periodic status line; false: a line about an event
};

using Action = std::variant<Send, Reject, Fail, Cancel, SetTimer, WatchEndpointList, LogLine>;

}  // namespace gateway::policy

#endif  // GATEWAY_ACTIONS_HPP_
