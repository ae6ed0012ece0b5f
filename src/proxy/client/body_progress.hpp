// The deadline for request bodies of slow clients.
#ifndef GATEWAY_PROXY_CLIENT_BODY_PROGRESS_HPP_
#define GATEWAY_PROXY_CLIENT_BODY_PROGRESS_HPP_

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "proxy/clock.hpp"

namespace gateway::proxy {

// The time in which a request head has to be complete, from its first byte.
constexpr Millis kHeadTimeoutMs = 2700;
// The longest pause within a body.
constexpr Millis kBodyPauseTimeoutMs = 2000;
// What a body may take beyond its time at the least rate.
constexpr Millis kBodyGraceMs = 700;
// The least rate of a body: half of what slow clients send.
constexpr double kMinBodyBytesPerMs = 32;

// Follows how fast a client sends the body of one request. Only time spent waiting for the client counts, not
// time in which the gateway had not asked for more. A state machine without I/O; times are those of Now().
class BodyProgress {
 public:
  // A body begins at `now`. What its request's head has left of the head timeout is added to the grace.
  void Start(Millis request_started_at, Millis now) {
    grace_ms_ = std::max(kBodyGraceMs, kHeadTimeoutMs - (now - request_started_at));
    received_bytes_ = 0;
    waited_ms_ = 0;
  }
  // The gateway begins to wait for more of the body.
  void BeginWait(Millis now) {
    waiting_ = true;
    wait_started_at_ = now;
  }
  // More of the body has arrived, or the wait has failed.
  void EndWait(Millis now, std::size_t received_bytes) {
    if (waiting_) waited_ms_ += now - wait_started_at_;
    waiting_ = false;
    received_bytes_ += received_bytes;
  }

  bool waiting() const { return waiting_; }
  // The start of the current wait, or of the last one.
  Millis wait_started_at() const { return wait_started_at_; }

  // Returns whether the client is too slow: it has paused for too long, or has kept the gateway waiting for
  // longer than the body takes at the least rate.
  bool TimedOut(Millis now) const {
    if (!waiting_) return false;
    const Millis pause_ms = now - wait_started_at_;
    const Millis least_rate_ms = static_cast<double>(received_bytes_) / kMinBodyBytesPerMs;
    return pause_ms > kBodyPauseTimeoutMs || waited_ms_ + pause_ms > grace_ms_ + least_rate_ms;
  }

 private:
  bool waiting_ = false;
  Millis wait_started_at_ = 0;
  Millis waited_ms_ = 0;  // without the current wait
  Millis grace_ms_ = kBodyGraceMs;
  std::uint64_t received_bytes_ = 0;
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_CLIENT_BODY_PROGRESS_HPP_
