// Events that the gateway reports to its Policy.
#ifndef GATEWAY_EVENTS_HPP_
#define GATEWAY_EVENTS_HPP_

#include <string>
#include <variant>
#include <vector>

#include "gateway/time.hpp"

namespace gateway::policy {

// A client's request has arrived. The request gets exactly one answer: a Reject, a Fail, or the response of
// the first attempt that ends with kServed. The gateway forwards that response without a further action.
struct Request {
  std::string id;          // unique for the Policy's lifetime; a retry by the client has a new id
  std::string class_name;  // name of a class in Settings::classes
  std::string tenant;      // empty if tenants are not used
  std::string key;         // routing key; empty if unknown
  Millis time_left = 0;    // time until the client times out
  bool complete = true;    // false: the client still sends the body, and RequestComplete follows
};

// The gateway may report a Request while the client is still sending its body. In this case, RequestComplete
// reports that the last byte has arrived. The latency and the deadline of the request are measured from that
// time.
struct RequestComplete {
  std::string request;
  Millis time_left = 0;  // time until the client times out
};

// The gateway has started to stream the response of an attempt to the client. The client gets no other
// answer.
struct ResponseStarted {
  std::string request;
  int attempt = 0;  // index among the request's Sends, from 0
};

// The result of an attempt.
enum class AttemptResult {
  kServed,
  kError,          // answered with an error; may have been executed
  kRejected,       // rejected by the endpoint before execution
  kTimedOut,       // no response in time; may have been executed
  kConnectFailed,  // no connection, or closed before the request was sent completely; not executed
  kReset,          // connection lost after the request was sent; may have been executed
  kCancelled,      // ended by Cancel; may have been executed
  kNotSent,        // the gateway did not send it, see Send::start_writing_within; not executed
};
constexpr int kAttemptResultCount = 8;

// Returns whether the endpoint may have executed an attempt with this result.
inline bool MayHaveExecuted(AttemptResult result) {
  return result != AttemptResult::kRejected && result != AttemptResult::kConnectFailed &&
         result != AttemptResult::kNotSent;
}

// The outcome of an attempt. The gateway reports exactly one for each Send, even if the request has been
// answered meanwhile.
struct AttemptOutcome {
  std::string request;
  int attempt = 0;  // index among the request's Sends, from 0
  std::string endpoint;
  AttemptResult result = AttemptResult::kServed;
  bool request_finished = false;  // the client needs no further answer
  Millis latency = 0;             // from the Send to the outcome
  std::vector<double> load;       // load report in the order of Settings::load_report_fields; may be empty
  bool request_buffered = true;   // the gateway still stores the complete request and can send it again
};

// The request no longer needs an answer: the client has closed the connection, or the gateway has answered
// the request itself because the policy's answer was late.
struct ClientDisconnected {
  std::string request;
};

// A timer that was set by SetTimer has fired.
struct TimerFired {
  std::string name;
};

// Whether an endpoint accepts new requests.
enum class EndpointState { kUp, kDraining, kRemoved };

// An upstream endpoint as reported by service discovery.
struct EndpointInfo {
  std::string id;  // stays the same when the machine restarts
  std::string zone;
  std::string machine_type;
  std::string cell;  // group of endpoints that share deduplication; see DeduplicationScope::kCell
  EndpointState state = EndpointState::kUp;
  double weight = 1;      // capacity relative to other endpoints
  Millis started_at = 0;  // last start of the endpoint's process; 0 = long ago
};

// The result of a watch of the endpoint list.
struct EndpointListEvent {
  enum class Kind {
    kSnapshot,  // replaces the complete list
    kDelta,     // adds or replaces the endpoints in `endpoints`; the other endpoints are unchanged
    kFailure,   // the watch or a call to the list service failed; the list is unchanged
  };
  Kind kind = Kind::kSnapshot;
  std::vector<EndpointInfo> endpoints;
  Millis call_duration = 0;  // kFailure: time from the start of the call to its failure
};

using Event = std::variant<Request, ResponseStarted, AttemptOutcome, ClientDisconnected, TimerFired,
                           EndpointListEvent, RequestComplete>;

}  // namespace gateway::policy

#endif  // GATEWAY_EVENTS_HPP_
