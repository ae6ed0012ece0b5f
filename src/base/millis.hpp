// The unit of time of the whole project.
#ifndef GATEWAY_BASE_MILLIS_HPP_
#define GATEWAY_BASE_MILLIS_HPP_

namespace gateway::base {

// Milliseconds, with fractions: a duration, or a point in time from an origin that its owner states.
using Millis = double;

}  // namespace gateway::base

#endif  // GATEWAY_BASE_MILLIS_HPP_
