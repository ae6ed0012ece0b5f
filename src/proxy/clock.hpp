// The clock of the gateway process: short names for parts of base/clock.hpp.
#ifndef GATEWAY_PROXY_CLOCK_HPP_
#define GATEWAY_PROXY_CLOCK_HPP_

#include "base/clock.hpp"

namespace gateway::proxy {

using base::Millis;
using base::TimerDuration;

inline Millis Now() { return base::UnixAlignedNow(); }

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_CLOCK_HPP_
