// The unit of time of the policy's interface.
#ifndef GATEWAY_TIME_HPP_
#define GATEWAY_TIME_HPP_

namespace gateway::policy {

// Milliseconds: a duration, or a point on the monotonic clock of the caller, from any origin.
using Millis = double;

}  // namespace gateway::policy

#endif  // GATEWAY_TIME_HPP_
