// The time unit of the project.
#ifndef GATEWAY_BASE_MILLIS_HPP_
#define GATEWAY_BASE_MILLIS_HPP_

namespace gateway::base {

// Milliseconds with fractions: a duration, or a point in time relative to an origin that the declaration
// names.
using Millis = double;

}  // namespace gateway::base

#endif  // GATEWAY_BASE_MILLIS_HPP_
