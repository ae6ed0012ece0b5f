// How the file descriptors of the process are shared out between clients and endpoints.
#ifndef GATEWAY_PROXY_DESCRIPTOR_BUDGET_HPP_
#define GATEWAY_PROXY_DESCRIPTOR_BUDGET_HPP_

#include <cstddef>

namespace gateway::proxy {

struct DescriptorBudget {
  std::size_t client_connections = 1;
  std::size_t upstream_connections = 1;

  // Half of it, while another process runs as the same gateway.
  DescriptorBudget Half() const;
};

// Shares out `configured` descriptors, or fewer if the system allows the process fewer. Some are left for
// listeners, discovery and operators.
DescriptorBudget MakeDescriptorBudget(std::size_t configured);

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_DESCRIPTOR_BUDGET_HPP_
