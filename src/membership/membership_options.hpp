// Options of the membership protocol.
#ifndef GATEWAY_MEMBERSHIP_MEMBERSHIP_OPTIONS_HPP_
#define GATEWAY_MEMBERSHIP_MEMBERSHIP_OPTIONS_HPP_

#include <algorithm>
#include <cmath>
#include <cstddef>

#include "base/millis.hpp"

namespace gateway::membership {

struct MembershipOptions {
  base::Millis protocol_period = 1000;  // interval between probes
  base::Millis probe_timeout = 300;     // timeout of a direct probe
  int indirect_probes = 3;              // number of ping-reqs sent after the direct probe timed out
  // Lifeguard's alpha: the minimum suspicion timeout, in protocol periods times LogGroupSize().
  double suspicion_multiplier = 4;
  // Lifeguard's beta: ratio of the maximum to the minimum suspicion timeout. The maximum applies while no
  // other member has confirmed the suspicion.
  double max_suspicion_multiplier = 6;
  int expected_confirmations = 3;  // Lifeguard's k: independent confirmations until the minimum applies
  int max_local_health = 8;        // Lifeguard's S: the worst local health score
  // Interval between exchanges of the complete state. Shortly after the start, and while no other member is
  // known, the interval is one protocol period instead.
  base::Millis sync_interval = 30000;
  double retransmit_multiplier = 4;  // SWIM's lambda: an update is sent lambda * LogGroupSize() times
  // How long a dead member stays in the member table, so that old updates do not mark it as alive again.
  base::Millis dead_retention = 60000;
};

// Returns the decimal logarithm of the group size, but at least 1.
inline double LogGroupSize(std::size_t alive_members) {
  return std::max(1.0, std::log10(static_cast<double>(alive_members) + 1));
}

}  // namespace gateway::membership

#endif  // GATEWAY_MEMBERSHIP_MEMBERSHIP_OPTIONS_HPP_
