// The time unit of the project.
#ifndef GATEWAY_BASE_MILLIS_HPP_
#define GATEWAY_BASE_MILLIS_HPP_

namespace gateway::base {

// Milliseconds with fractions. A value is a duration, or a point in time on the clock that its declaration
// names.
using Millis = double;

}  // namespace gateway::base

#endif  // GATEWAY_BASE_MILLIS_HPP_
