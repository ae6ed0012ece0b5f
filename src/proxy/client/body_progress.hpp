// The timeout for request bodies that clients send too slowly.
#ifndef GATEWAY_PROXY_CLIENT_BODY_PROGRESS_HPP_
#define GATEWAY_PROXY_CLIENT_BODY_PROGRESS_HPP_

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "proxy/clock.hpp"

namespace gateway::proxy {

// The time from the first byte of a request within which its head must be complete.
constexpr Millis kHeadTimeoutMs = 2700;
// The longest pause within a body.
constexpr Millis kBodyPauseTimeoutMs = 2000;
// The time that a body may take in addition to its transfer time at the minimum rate.
constexpr Millis kBodyGraceMs = 700;
// The minimum rate of a body: half the rate at which slow clients send.
constexpr double kMinBodyBytesPerMs = 32;

// Tracks how fast a client sends the body of one request. Counts only the time during which the gateway waits
// for data from the client; time during which the gateway does not read is not counted. A state machine
// without I/O; times are on the clock of Now().
class BodyProgress {
 public:
  // Starts to track a body at `now`. The grace period is kBodyGraceMs, or the unused part of the head timeout
  // if that is longer.
  void Start(Millis request_started_at, Millis now) {
    grace_ms_ = std::max(kBodyGraceMs, kHeadTimeoutMs - (now - request_started_at));
    received_bytes_ = 0;
    waited_ms_ = 0;
  }
  // Records that the gateway begins to wait for more of the body.
  void BeginWait(Millis now) {
    waiting_ = true;
    wait_started_at_ = now;
  }
  // Records that more of the body has arrived, or that the wait has failed.
  void EndWait(Millis now, std::size_t received_bytes) {
    if (waiting_) waited_ms_ += now - wait_started_at_;
    waiting_ = false;
    received_bytes_ += received_bytes;
  }

  // The start of the current wait, or of the last wait if none is in progress.
  Millis wait_started_at() const { return wait_started_at_; }

  // Returns whether the client is too slow. This is the case if the current wait exceeds kBodyPauseTimeoutMs.
  // It is also the case if the total of all waits exceeds the transfer time of the received bytes at the
  // minimum rate by more than the grace period.
  bool TimedOut(Millis now) const {
    if (!waiting_) return false;
    const Millis pause_ms = now - wait_started_at_;
    const Millis transfer_time_ms = static_cast<double>(received_bytes_) / kMinBodyBytesPerMs;
    return pause_ms > kBodyPauseTimeoutMs || waited_ms_ + pause_ms > grace_ms_ + transfer_time_ms;
  }

 private:
  bool waiting_ = false;
  Millis wait_started_at_ = 0;
  Millis waited_ms_ = 0;  // total of the waits that have ended
  Millis grace_ms_ = kBodyGraceMs;
  std::uint64_t received_bytes_ = 0;
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_CLIENT_BODY_PROGRESS_HPP_
