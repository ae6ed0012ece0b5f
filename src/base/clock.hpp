// The clocks of the project. State machines are handed the time; only the shells around them read a clock.
#ifndef GATEWAY_BASE_CLOCK_HPP_
#define GATEWAY_BASE_CLOCK_HPP_

#include <chrono>
#include <cstdint>

#include "base/millis.hpp"

namespace gateway::base {

namespace internal {

template <typename Clock>
Millis SinceEpoch() {
  return std::chrono::duration<double, std::milli>(Clock::now().time_since_epoch()).count();
}

}  // namespace internal

// The monotonic clock, which never runs backwards, in ms from an unspecified origin that all processes of a
// machine share.
inline Millis MonotonicNow() { return internal::SinceEpoch<std::chrono::steady_clock>(); }

// The monotonic clock shifted to Unix time, in ms. The shift between both clocks is taken once, at the first
// call in this process: a point in Unix time that others report, such as the start of an endpoint, maps to
// the same value for the life of the process, also when the system clock is set.
inline Millis UnixAlignedNow() {
  static const Millis shift = internal::SinceEpoch<std::chrono::system_clock>() - MonotonicNow();
  return MonotonicNow() + shift;
}

// The system clock, in ms of Unix time, for timestamps that leave the process. Follows every change of the
// system clock, backwards too.
inline Millis UnixNow() { return internal::SinceEpoch<std::chrono::system_clock>(); }

// A duration for Asio's timers, which take no fractions. Negative durations count as 0.
inline std::chrono::microseconds TimerDuration(Millis duration) {
  constexpr double kMicrosPerMilli = 1000;
  return std::chrono::microseconds(duration > 0 ? static_cast<std::int64_t>(duration * kMicrosPerMilli) : 0);
}

}  // namespace gateway::base

#endif  // GATEWAY_BASE_CLOCK_HPP_
