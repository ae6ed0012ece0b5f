// Actions that a Policy returns. The gateway carries them out.
#ifndef GATEWAY_ACTIONS_HPP_
#define GATEWAY_ACTIONS_HPP_

#include <string>
#include <variant>

#include "gateway/time.hpp"

namespace gateway::policy {

// Sends an attempt of the request to the endpoint. The attempt ends with kTimedOut if its response has not
// arrived after `timeout`.
struct Send {
  std::string request;
  std::string endpoint;
  Millis timeout = 0;
  Millis start_writing_within = 1e15;  // the attempt ends with kNotSent if writing cannot start in this time
};

// Answers the request with a rejection. The client can safely retry the request.
struct Reject {
  std::string request;
  Millis retry_after = 0;  // recommended delay before the client retries; 0 = no recommendation
};

// Answers the request with a failure. The request may have been executed, so a retry by the client may be
// unsafe.
struct Fail {
  std::string request;
};

// Cancels an attempt that is in flight. The gateway still reports an AttemptOutcome for the attempt.
struct Cancel {
  std::string request;
  int attempt = 0;  // index among the request's Sends, from 0
};

// Starts a timer. After `delay`, the gateway reports TimerFired with the timer's name.
struct SetTimer {
  Millis delay = 0;
  std::string name;
};

// Starts a watch of the endpoint list. The gateway reports the result of the watch as an EndpointListEvent.
struct WatchEndpointList {};

// Writes a line to the gateway's log.
struct LogLine {
  std::string text;
  bool is_status = false;  // true: the periodic status line; false: a line about an event
};

using Action = std::variant<Send, Reject, Fail, Cancel, SetTimer, WatchEndpointList, LogLine>;

}  // namespace gateway::policy

#endif  // GATEWAY_ACTIONS_HPP_
