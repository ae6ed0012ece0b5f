// The monotonic clock, read in one place: what decides is handed the time and never reads it.
#ifndef GATEWAY_BASE_CLOCK_HPP_
#define GATEWAY_BASE_CLOCK_HPP_

#include <chrono>
#include <cstdint>

#include "base/base.hpp"

namespace gateway::base {

// In ms, from an unstated zero; the same for all processes of a machine.
inline Millis Now() {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

// A span for asio's timers, which take no fractions.
inline std::chrono::microseconds Span(Millis ms) {
  return std::chrono::microseconds(ms > 0 ? static_cast<std::int64_t>(ms * 1000) : 0);
}

}  // namespace gateway::base

#endif  // GATEWAY_BASE_CLOCK_HPP_
