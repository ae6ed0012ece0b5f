// Admission control of the registry service: places for callers, and the rate of full lists. No I/O and no
// clock: times are handed in, in ms of the caller's monotonic clock.
#ifndef GATEWAY_REGISTRY_ADMISSION_HPP_
#define GATEWAY_REGISTRY_ADMISSION_HPP_

#include <cstddef>
#include <cstdint>
#include <unordered_set>

#include "base/millis.hpp"

namespace gateway::registry {

class Session;

struct AdmissionLimits {
  std::size_t callers = 0;            // sessions that read the list or renew leases
  std::size_t operators = 0;          // sessions beyond these, for all other calls
  double whole_lists_per_second = 0;  // also the burst that is allowed
};

class Admission {
 public:
  explicit Admission(AdmissionLimits limits);

  // Whether `connections` may be open at once, the new one included.
  bool Fits(std::size_t connections) const { return connections <= limits_.callers + limits_.operators; }
  // Gives the session a caller's place; it keeps it until Leave(). False if all are taken.
  bool AdmitCaller(const Session& session);
  void Leave(const Session& session) { callers_.erase(&session); }

  // Takes one full list out of the token bucket. False if it is empty.
  bool TakeWholeList();
  // Adds the tokens for the time since the last call.
  void Refill(base::Millis now);

  // Counts a caller that is told to come back, and returns after how many seconds: spread over 1 to 4.
  int TurnAway();
  void CountTurnedAway() { ++turned_away_; }
  std::uint64_t turned_away() const { return turned_away_; }

 private:
  const AdmissionLimits limits_;
  std::unordered_set<const Session*> callers_;
  double whole_list_tokens_;
  base::Millis refilled_at_ = 0;
  std::uint64_t turned_away_ = 0;
};

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_ADMISSION_HPP_
