// Divides the file descriptors of the process between connections to clients and connections to endpoints.
#ifndef GATEWAY_PROXY_DESCRIPTOR_BUDGET_HPP_
#define GATEWAY_PROXY_DESCRIPTOR_BUDGET_HPP_

#include <cstddef>

namespace gateway::proxy {

// The maximum numbers of connections.
struct DescriptorBudget {
  std::size_t client_connections = 1;
  std::size_t upstream_connections = 1;

  // Returns half of the budget. It applies during a hot restart, while two processes run as one gateway.
  DescriptorBudget Half() const;
};

// Divides `configured` descriptors, or the descriptor limit of the process if that is lower. Reserves some
// descriptors for listeners, discovery, the management port and the event loop.
DescriptorBudget MakeDescriptorBudget(std::size_t configured);

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_DESCRIPTOR_BUDGET_HPP_
