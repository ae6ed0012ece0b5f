// The rules for closing clients' connections, and for refusing requests, while the gateway drains.
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

// Records whether the gateway drains, and since when. During a drain, every response closes its connection,
// and idle connections are closed after a delay. Requests that arrive late in a drain are refused. A state
// machine without I/O; times are on the clock of Now().
class DrainState {
 public:
  // Begins a drain. Has no effect if a drain is active.
  void Begin(Millis now) {
    if (!started_at_) started_at_ = now;
  }
  void End() { started_at_.reset(); }

  bool active() const { return started_at_.has_value(); }

  // Returns the time at which a connection is closed that has been idle since `idle_since`. To be called
  // during a drain.
  Millis IdleCloseTime(Millis idle_since) const {
    const Millis settled_at = std::max(*started_at_ + kDrainIdleCloseDelayMs, idle_since + kSettleTimeMs);
    return std::max(std::min(settled_at, complete_at()), idle_since + kMinSettleTimeMs);
  }
  bool RejectsIncompleteRequests(Millis now) const {
    return active() && now - *started_at_ > kDrainRequestTimeoutMs;
  }
  // Returns whether a request is accepted whose last byte arrives at `now`, and whose client waits for
  // `time_allowed`. Late in a drain, only requests are accepted that end before the drain is complete.
  bool AcceptsRequest(Millis now, Millis time_allowed) const {
    return !active() || now <= complete_at() - kDrainLongestWaitMs || now + time_allowed <= complete_at();
  }
  // The same for a request whose body was forwarded while it arrived. When the drain should be complete,
  // its connection is in use, so the rest of the body may still arrive.
  bool AcceptsForwardedRequest(Millis now, Millis time_allowed) const {
    return AcceptsRequest(now, time_allowed) || now > complete_at();
  }

 private:
  Millis complete_at() const { return *started_at_ + kDrainCompleteMs; }

  std::optional<Millis> started_at_;
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_CLIENT_DRAIN_STATE_HPP_
