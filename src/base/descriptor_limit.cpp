#include "base/descriptor_limit.hpp"

#include <sys/resource.h>

namespace gateway::base {

void RaiseDescriptorLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

}  // namespace gateway::base
