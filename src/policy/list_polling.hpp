// List polling: schedules the calls to the list service at the start and after failed calls.
//
// If the list is polled, each consecutive failure doubles the backoff, since the list service may be
// overloaded. Jitter spreads the calls of the gateways. The backoff is bounded, since changes of the list
// must arrive in time even after many failures. If the list is pushed, a failed watch is restarted within the
// minimum backoff.
#ifndef GATEWAY_POLICY_LIST_POLLING_HPP_
#define GATEWAY_POLICY_LIST_POLLING_HPP_

#include "gateway/learned_state.hpp"
#include "gateway/settings.hpp"
#include "gateway/time.hpp"
#include "policy/random_source.hpp"

namespace gateway::policy {

// Schedules the calls to the list service.
class ListPolling {
 public:
  // `ring_position` in [0, 1) determines the delay of the first call. It differs between gateways, so that
  // the first calls are spread if gateways start at the same time.
  ListPolling(const Settings& settings, double ring_position);

  // Records that the list service answered a call. Resets the backoff.
  void RecordSuccess() { backoff_ = 0; }
  // Records a failed call and schedules the next call. `call_duration` is the duration of the failed call.
  void RecordFailure(Millis call_duration, Millis now, RandomSource& random);

  // Returns true if a call is due. The caller must then make the call immediately, and no further call is due
  // until the next failure. `list_known`: whether any endpoint is up.
  bool StartCallIfDue(bool list_known, Millis now);

 private:
  // Returns the period over which the calls of all gateways are spread.
  Millis CallSpread() const;

  const bool polling_enabled_;  // false: the list is pushed
  const Millis maximum_interval_;
  const int gateway_count_;
  const double ring_position_;
  Millis next_call_at_ = kNever;
  Millis backoff_ = 0;  // 0: the last call succeeded
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_LIST_POLLING_HPP_
