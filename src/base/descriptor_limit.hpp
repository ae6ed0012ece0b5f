// The file descriptor limit of this process.
#ifndef GATEWAY_BASE_DESCRIPTOR_LIMIT_HPP_
#define GATEWAY_BASE_DESCRIPTOR_LIMIT_HPP_

namespace gateway::base {

// Raises the soft limit on open file descriptors to the hard limit. Does nothing if the system refuses.
void RaiseDescriptorLimit();

}  // namespace gateway::base

#endif  // GATEWAY_BASE_DESCRIPTOR_LIMIT_HPP_
