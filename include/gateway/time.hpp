// The unit of time of the policy's interface.
#ifndef GATEWAY_TIME_HPP_
#define GATEWAY_TIME_HPP_

namespace gateway::policy {

// Milliseconds: a duration, or a point in time. All points share one clock of the caller, which never runs
// backwards; EndpointInfo::started_at is on it too.
using Millis = double;

}  // namespace gateway::policy

#endif  // GATEWAY_TIME_HPP_
