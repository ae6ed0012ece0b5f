// Lifeguard's suspicion: determines how long a member stays suspect before it is declared dead.
#ifndef GATEWAY_MEMBERSHIP_SUSPICION_HPP_
#define GATEWAY_MEMBERSHIP_SUSPICION_HPP_

#include <cstddef>
#include <string>
#include <vector>

#include "membership/membership_options.hpp"

namespace gateway::membership {

// Returns the suspicion timeout, which shrinks from the maximum to the minimum as members confirm the
// suspicion. `suspectors` is the number of members that suspect the member, including the first one.
base::Millis SuspicionTimeout(const MembershipOptions& options, std::size_t alive_members,
                              std::size_t suspectors);

// Adds the member `name` to the sorted list of suspectors. The list has room for the first suspector and
// `expected_confirmations` others. If it becomes longer, removes the last name in lexicographic order, so
// that the result does not depend on the order of updates. Returns whether the list changed.
bool AddSuspector(std::vector<std::string>& suspectors, const std::string& name, int expected_confirmations);

}  // namespace gateway::membership

#endif  // GATEWAY_MEMBERSHIP_SUSPICION_HPP_
