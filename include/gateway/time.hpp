// The time unit of the policy's interface.
#ifndef GATEWAY_TIME_HPP_
#define GATEWAY_TIME_HPP_

namespace gateway::policy {

// A duration or a point in time, in milliseconds. All points in time, including EndpointInfo::started_at, are
// on the same monotonic clock of the caller.
using Millis = double;

}  // namespace gateway::policy

#endif  // GATEWAY_TIME_HPP_
