// Actions: what a Policy asks its gateway to do.
#ifndef GATEWAY_ACTIONS_HPP_
#define GATEWAY_ACTIONS_HPP_

#include <string>
#include <variant>

#include "gateway/time.hpp"

namespace gateway::policy {

// Starts an attempt, which ends with kTimedOut after `timeout`.
struct Send {
  std::string request;
  std::string endpoint;
  Millis timeout = 0;
  Millis start_writing_within = 1e15;  // if writing has not begun by then, the attempt ends with kNotSent
};

// Final answer: rejected. The client may safely retry; retry_after is 0 where there is no advice.
struct Reject {
  std::string request;
  Millis retry_after = 0;
};

// Final answer: failed. The request may have been executed.
struct Fail {
  std::string request;
};

// Ends one attempt early. Its outcome is still reported.
struct Cancel {
  std::string request;
  int attempt = 0;
};

struct SetTimer {
  Millis delay = 0;
  std::string name;
};

// Begins a watch of the endpoint list, which is answered by EndpointListEvent.
struct WatchEndpointList {};

// A line for the gateway's log.
struct LogLine {
  std::string text;
  bool is_status = false;  // the periodic status line, else a line on an event
};

using Action = std::variant<Send, Reject, Fail, Cancel, SetTimer, WatchEndpointList, LogLine>;

}  // namespace gateway::policy

#endif  // GATEWAY_ACTIONS_HPP_
