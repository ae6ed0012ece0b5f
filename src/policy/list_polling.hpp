// List polling: when the endpoint list is asked for at the start and after a failed call.
//
// The list service may be overloaded: where the list is polled, each failure in a row doubles the backoff,
// with jitter. But a change of the list must arrive in time whatever failed before, so the backoff is
// bounded. A list that is pushed is watched again within the minimum backoff.
#ifndef GATEWAY_POLICY_LIST_POLLING_HPP_
#define GATEWAY_POLICY_LIST_POLLING_HPP_

#include "gateway/learned_state.hpp"
#include "gateway/settings.hpp"
#include "gateway/time.hpp"
#include "policy/random_source.hpp"

namespace gateway::policy {

class ListPolling {
 public:
  // `ring_position` in [0, 1) spreads the first calls of gateways that start together.
  ListPolling(const Settings& settings, double ring_position);

  void RecordSuccess() { backoff_ = 0; }
  // `call_duration`: since the failed call began.
  void RecordFailure(Millis call_duration, Millis now, RandomSource& random);

  // Whether a call is due; it is then taken as made. `list_known`: some endpoint is up.
  bool StartCallIfDue(bool list_known, Millis now);

 private:
  // Time over which the calls of all gateways are spread.
  Millis Spread() const;

  const bool polls_;  // else the list is pushed
  const Millis maximum_interval_;
  const int gateway_count_;
  const double ring_position_;
  Millis next_call_at_ = kNever;
  Millis backoff_ = 0;  // 0: the last call was answered
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_LIST_POLLING_HPP_
