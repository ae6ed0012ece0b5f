// Options of the membership protocol.
#ifndef GATEWAY_MEMBERSHIP_MEMBERSHIP_OPTIONS_HPP_
#define GATEWAY_MEMBERSHIP_MEMBERSHIP_OPTIONS_HPP_

#include <algorithm>
#include <cmath>
#include <cstddef>

#include "base/millis.hpp"

namespace gateway::membership {

struct MembershipOptions {
  base::Millis protocol_period = 1000;  // from one probe to the next
  base::Millis probe_timeout = 300;     // for the ack of a direct probe
  int indirect_probes = 3;              // members that get a ping-req when the direct probe timed out
  // Lifeguard's alpha: the minimum suspicion timeout, in protocol periods times LogGroupSize().
  double suspicion_multiplier = 4;
  // Lifeguard's beta: the maximum suspicion timeout over the minimum, where no other member confirms it.
  double max_suspicion_multiplier = 6;
  int expected_confirmations = 3;  // Lifeguard's k: independent suspicions that bring it to the minimum
  int max_local_health = 8;        // Lifeguard's S: the worst score of the local health
  // From one exchange of the whole state to the next. Shorter after the start, and while no other member is
  // known.
  base::Millis sync_interval = 30000;
  double retransmit_multiplier = 4;     // SWIM's lambda: an update is sent this times LogGroupSize() times
  base::Millis dead_retention = 60000;  // a dead member is remembered, so that old updates do not revive it
};

// Decimal logarithm of the group's size, at least 1.
inline double LogGroupSize(std::size_t alive_members) {
  return std::max(1.0, std::log10(static_cast<double>(alive_members) + 1));
}

}  // namespace gateway::membership

#endif  // GATEWAY_MEMBERSHIP_MEMBERSHIP_OPTIONS_HPP_
