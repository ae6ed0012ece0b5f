// The budget of file descriptors for connections to clients and to endpoints.
#ifndef GATEWAY_PROXY_DESCRIPTOR_BUDGET_HPP_
#define GATEWAY_PROXY_DESCRIPTOR_BUDGET_HPP_

#include <cstddef>

namespace gateway::proxy {

struct DescriptorBudget {
  std::size_t client_connections = 1;
  std::size_t upstream_connections = 1;

  // Returns half of the budget, for the time in which another process runs as the same gateway.
  DescriptorBudget Half() const;
};

// Divides descriptors between clients and endpoints: `configured` descriptors, or as many as the process's
// limit allows if that is fewer. Reserves some of them for listeners, discovery and the management port.
DescriptorBudget MakeDescriptorBudget(std::size_t configured);

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_DESCRIPTOR_BUDGET_HPP_
