#include "proxy/descriptor_budget.hpp"

#include <sys/resource.h>

#include <algorithm>

namespace gateway::proxy {
namespace {

// Descriptors for listeners, the management port, discovery and the event loop, including a margin.
constexpr std::size_t kReservedDescriptors = 40;

// Returns the lower of `configured` and the descriptor limit of the process.
std::size_t LimitToProcess(std::size_t configured) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) return configured;
  return std::min<std::size_t>(configured, limit.rlim_cur);
}

}  // namespace

DescriptorBudget MakeDescriptorBudget(std::size_t configured) {
  const std::size_t allowed = LimitToProcess(configured);
  const std::size_t usable =
      allowed > 2 * kReservedDescriptors ? allowed - kReservedDescriptors : allowed / 2;
  DescriptorBudget budget;
  budget.client_connections = std::max<std::size_t>(1, usable * 2 / 3);
  budget.upstream_connections = std::max<std::size_t>(1, usable / 3);
  return budget;
}

DescriptorBudget DescriptorBudget::Half() const {
  DescriptorBudget half;
  half.client_connections = std::max<std::size_t>(1, client_connections / 2);
  half.upstream_connections = std::max<std::size_t>(1, upstream_connections / 2);
  return half;
}

}  // namespace gateway::proxy
