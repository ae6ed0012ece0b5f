// The clocks of the project. State machines receive the time as an argument. Only the code that calls the
// state machines reads a clock.
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

// Returns the time of the monotonic clock, which never goes backwards, in ms. The origin is unspecified, but
// all processes of a machine share it.
inline Millis MonotonicNow() { return internal::SinceEpoch<std::chrono::steady_clock>(); }

// Returns the time of the monotonic clock shifted to Unix time, in ms. The offset between the monotonic clock
// and the system clock is computed once, at the first call in this process. A Unix time that another process
// reports, such as the start time of an endpoint, therefore stays comparable with this clock even if the
// system clock is adjusted.
inline Millis UnixAlignedNow() {
  static const Millis offset = internal::SinceEpoch<std::chrono::system_clock>() - MonotonicNow();
  return MonotonicNow() + offset;
}

// Returns the time of the system clock in ms of Unix time, for timestamps that leave the process. The time
// follows every change of the system clock and may go backwards.
inline Millis UnixNow() { return internal::SinceEpoch<std::chrono::system_clock>(); }

// Converts a duration to an integer number of microseconds, as Asio's timers require. A negative duration
// becomes 0.
inline std::chrono::microseconds TimerDuration(Millis duration) {
  constexpr double kMicrosPerMilli = 1000;
  return std::chrono::microseconds(duration > 0 ? static_cast<std::int64_t>(duration * kMicrosPerMilli) : 0);
}

}  // namespace gateway::base

#endif  // GATEWAY_BASE_CLOCK_HPP_
