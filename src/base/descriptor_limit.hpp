// The limit on file descriptors of this process.
#ifndef GATEWAY_BASE_DESCRIPTOR_LIMIT_HPP_
#define GATEWAY_BASE_DESCRIPTOR_LIMIT_HPP_

namespace gateway::base {

// Raises the soft limit on open file descriptors to the hard limit. Where the system refuses, the limit stays
// as it is.
void RaiseDescriptorLimit();

}  // namespace gateway::base

#endif  // GATEWAY_BASE_DESCRIPTOR_LIMIT_HPP_
