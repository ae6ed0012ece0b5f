// Events: what the gateway reports to its Policy.
#ifndef GATEWAY_EVENTS_HPP_
#define GATEWAY_EVENTS_HPP_

#include <string>
#include <variant>
#include <vector>

#include "gateway/time.hpp"

namespace gateway::policy {

// A client's request has arrived. It gets exactly one final answer: the first outcome kServed (whose response
// the gateway passes on itself), a Reject or a Fail.
struct Request {
  std::string id;          // unique for the Policy's lifetime; a client's own retry has another one
  std::string class_name;  // of Settings::classes
  std::string tenant;      // empty where there are none
  std::string key;         // routing key; empty if unknown
  Millis time_left = 0;    // until the client gives up
};

// The last byte of a request that was reported before it was complete has arrived. Its time begins now.
struct RequestComplete {
  std::string request;
  Millis time_left = 0;  // until the client gives up
};

// The response to an attempt is being streamed to the client, who will get no other answer.
struct ResponseStarted {
  std::string request;
  int attempt = 0;
};

enum class AttemptResult {
  kServed,
  kError,          // answered with an error; may have been executed
  kRejected,       // refused by the endpoint before execution
  kTimedOut,       // no response in time; may have been executed
  kConnectFailed,  // no connection, or it ended before the request was sent completely; not executed
  kReset,          // connection lost under way; may have been executed
  kCancelled,      // ended by Cancel; may have been executed
  kNotSent,        // not sent by this gateway; not executed
};
constexpr int kAttemptResultCount = 8;

// How an attempt ended. Each Send gets exactly one, also after the request has its answer.
struct AttemptOutcome {
  std::string request;
  int attempt = 0;  // index among the request's Sends, from 0
  std::string endpoint;
  AttemptResult result = AttemptResult::kServed;
  bool request_finished = false;  // the client needs no other answer; set by the gateway on delivery
  Millis latency = 0;             // since the Send
  std::vector<double> load;       // the endpoint's load report by Settings::load_report_fields; may be empty
  bool request_buffered = true;   // the gateway still has the complete request, so it could be sent again
};

// The request needs no answer any more: its client has closed the connection, or the gateway has answered it
// by itself because the policy's answer was late.
struct ClientDisconnected {
  std::string request;
};

// A timer that was set by SetTimer has fired.
struct TimerFired {
  std::string name;
};

enum class EndpointState { kUp, kDraining, kRemoved };

// An upstream endpoint as service discovery describes it.
struct EndpointInfo {
  std::string id;  // stays the same when the machine restarts
  std::string zone;
  std::string machine_type;
  std::string cell;  // deduplication domain within a zone
  EndpointState state = EndpointState::kUp;
  double weight = 1;      // relative capacity
  Millis started_at = 0;  // when its process last started; 0 = long ago
};

// A watch event of the endpoint list.
struct EndpointListEvent {
  enum class Kind {
    kSnapshot,  // replaces the list
    kDelta,     // replaces the endpoints that it names
    kFailure,   // a call failed: the list stays as it is
  };
  Kind kind = Kind::kSnapshot;
  std::vector<EndpointInfo> endpoints;
  Millis call_duration = 0;  // kFailure: since the call began
};

using Event = std::variant<Request, ResponseStarted, AttemptOutcome, ClientDisconnected, TimerFired,
                           EndpointListEvent, RequestComplete>;

}  // namespace gateway::policy

#endif  // GATEWAY_EVENTS_HPP_
