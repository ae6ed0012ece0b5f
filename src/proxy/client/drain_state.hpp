// The rules for closing clients' connections, and for refusing requests, while the gateway drains or stops.
#ifndef GATEWAY_PROXY_CLIENT_DRAIN_STATE_HPP_
#define GATEWAY_PROXY_CLIENT_DRAIN_STATE_HPP_

#include <algorithm>
#include <optional>

#include "proxy/clock.hpp"

namespace gateway::proxy {

// The time after the start of a drain at which idle connections are closed. By then, the load balancer has
// stopped sending new requests.
constexpr Millis kDrainIdleCloseDelayMs = 500;
// The time after the start of a drain from which incomplete requests are rejected.
constexpr Millis kDrainRequestTimeoutMs = 1700;
// The time after the start of a drain at which no connection may be idle. Operators regard the gateway as
// empty after 4 s, which they count from before the drain reaches it.
constexpr Millis kDrainCompleteMs = 3900;
// At that time, no request may be open that arrived within this time.
constexpr Millis kDrainLongestWaitMs = 2000;
// A connection that has been idle for this time is closed. Before that, a response or the next request may
// still be in transit: a close could reset a response, and the client would have to repeat the request.
constexpr Millis kSettleTimeMs = 300;
// The idle time that remains at the end of a drain, in which a client that sends at once gets its response.
constexpr Millis kMinSettleTimeMs = 10;

// A time span at whose end no request may wait for its response. Times are on the clock of Now().
struct ServingWindow {
  Millis accept_until = 0;  // a request that arrives until this time is accepted
  Millis respond_by = 0;    // a later request is accepted only if its time ends by this time

  // `time_allowed` is how long the client waits for the response.
  bool Accepts(Millis now, Millis time_allowed) const {
    return now <= accept_until || now + time_allowed <= respond_by;
  }
};

// Records whether the gateway drains or stops, and since when. During a drain, every response closes its
// connection, and idle connections are closed after a delay. Requests that arrive late in a drain are
// refused. A state machine without I/O; times are on the clock of Now().
class DrainState {
 public:
  // Begins a drain. Has no effect if a drain is active.
  void Begin(Millis now) {
    if (!started_at_) started_at_ = now;
  }
  void End() { started_at_.reset(); }
  // Begins the stop of the process, with or without a drain.
  void BeginStop(const ServingWindow& window) { stop_window_ = window; }

  bool active() const { return started_at_.has_value(); }

  // Returns the time at which a connection is closed that has been idle since `idle_since`, the end of its
  // last response. To be called during a drain.
  Millis IdleCloseTime(Millis idle_since) const {
    return std::max(std::min(UnusedCloseTime(idle_since), complete_at()), idle_since + kMinSettleTimeMs);
  }
  // The same for a connection that was accepted at `accepted_at` and on which no request was served. The load
  // balancer opens none late in a drain, so others get their time to send a request.
  Millis UnusedCloseTime(Millis accepted_at) const {
    return std::max(*started_at_ + kDrainIdleCloseDelayMs, accepted_at + kSettleTimeMs);
  }
  bool RejectsIncompleteRequests(Millis now) const {
    return active() && now - *started_at_ > kDrainRequestTimeoutMs;
  }
  // Returns whether a request is accepted whose last byte arrives at `now`, and whose client waits for
  // `time_allowed`. Late in a drain or a stop, only requests are accepted that end in time.
  bool AcceptsRequest(Millis now, Millis time_allowed) const {
    return DrainAccepts(now, time_allowed) && (!stop_window_ || stop_window_->Accepts(now, time_allowed));
  }
  // The same for a request whose body was forwarded while it arrived. After the time at which a drain must be
  // complete, the body may still arrive, because its connection is in use. A stop ends these requests itself.
  bool AcceptsForwardedRequest(Millis now, Millis time_allowed) const {
    return stop_window_ || DrainAccepts(now, time_allowed) || now > complete_at();
  }

 private:
  Millis complete_at() const { return *started_at_ + kDrainCompleteMs; }
  bool DrainAccepts(Millis now, Millis time_allowed) const {
    return !active() ||
           ServingWindow{complete_at() - kDrainLongestWaitMs, complete_at()}.Accepts(now, time_allowed);
  }

  std::optional<Millis> started_at_;
  std::optional<ServingWindow> stop_window_;
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_CLIENT_DRAIN_STATE_HPP_
