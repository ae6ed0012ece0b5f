// The names under which the gateway reads its clock, see base/clock.hpp.
#ifndef GATEWAY_PROXY_CLOCK_HPP_
#define GATEWAY_PROXY_CLOCK_HPP_

#include "base/clock.hpp"

namespace gateway::proxy {

using base::Millis;

inline Millis Now() { return base::UnixAlignedNow(); }
inline std::chrono::microseconds Span(Millis duration) { return base::TimerDuration(duration); }

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_CLOCK_HPP_
