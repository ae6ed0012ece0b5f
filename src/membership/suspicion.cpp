#include "membership/suspicion.hpp"

#include <algorithm>
#include <cmath>

namespace gateway::membership {

using base::Millis;

Millis SuspicionTimeout(const MembershipOptions& options, std::size_t alive_members, std::size_t suspectors) {
  const Millis min = options.suspicion_multiplier * LogGroupSize(alive_members) * options.protocol_period;
  const Millis max = options.max_suspicion_multiplier * min;
  const double confirmations = std::max(0.0, static_cast<double>(suspectors) - 1);
  const double reduction =
      (max - min) * std::log(confirmations + 1) / std::log(options.expected_confirmations + 1.0);
  return std::max(min, max - reduction);
}

bool AddSuspector(std::vector<std::string>& suspectors, const std::string& name, int expected_confirmations) {
  const auto capacity = static_cast<std::size_t>(expected_confirmations) + 1;
  const auto position = std::ranges::lower_bound(suspectors, name);
  if (position != suspectors.end() && *position == name) return false;
  if (suspectors.size() >= capacity && name >= suspectors.back()) return false;
  suspectors.insert(position, name);
  if (suspectors.size() > capacity) suspectors.pop_back();
  return true;
}

}  // namespace gateway::membership
