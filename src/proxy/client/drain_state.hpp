// The rules for closing clients' connections while the gateway drains.
#ifndef GATEWAY_PROXY_CLIENT_DRAIN_STATE_HPP_
#define GATEWAY_PROXY_CLIENT_DRAIN_STATE_HPP_

#include <optional>

#include "proxy/clock.hpp"

namespace gateway::proxy {

// The time after the start of a drain at which idle connections are closed. By then, the load balancer has
// stopped sending new requests.
constexpr Millis kDrainIdleCloseDelayMs = 500;
// The time after the start of a drain from which incomplete requests are rejected.
constexpr Millis kDrainRequestTimeoutMs = 1700;

// Records whether the gateway drains, and since when. During a drain, every response closes its connection,
// and idle connections are closed after a delay. A state machine without I/O; times are on the clock of
// Now().
class DrainState {
 public:
  // Begins a drain. Has no effect if a drain is active.
  void Begin(Millis now) {
    if (!started_at_) started_at_ = now;
  }
  void End() { started_at_.reset(); }

  bool active() const { return started_at_.has_value(); }
  bool ClosesIdleConnections(Millis now) const {
    return active() && now - *started_at_ > kDrainIdleCloseDelayMs;
  }
  bool RejectsIncompleteRequests(Millis now) const {
    return active() && now - *started_at_ > kDrainRequestTimeoutMs;
  }

 private:
  std::optional<Millis> started_at_;
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_CLIENT_DRAIN_STATE_HPP_
