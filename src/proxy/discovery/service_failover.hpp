// Failover between several services of the same endpoint list: decides which service is watched, when the
// watch moves to another one and when it returns to the first. A state machine without I/O, clock or
// randomness: the caller passes the time. Not thread-safe.
#ifndef GATEWAY_PROXY_DISCOVERY_SERVICE_FAILOVER_HPP_
#define GATEWAY_PROXY_DISCOVERY_SERVICE_FAILOVER_HPP_

#include <cstddef>

#include "proxy/clock.hpp"
#include "proxy/discovery/endpoint_list.hpp"
#include "proxy/discovery/watch_position.hpp"

namespace gateway::proxy {

// What to do after a probe, a call to a service that is not the one being watched.
enum class ProbeDecision {
  kStay,
  kReturnToFirst,
  // The probed service is ahead: switch to it unless the watched one catches up within a grace period.
  kSwitchUnlessCaughtUp,
};

class ServiceFailover {
 public:
  // `service_count` must be at least 1. `return_after` is the time after a failure of the first service until
  // the watch may return to it. This time doubles, up to ten minutes, whenever the first service fails within
  // this time after a return.
  ServiceFailover(std::size_t service_count, Millis return_after);

  // Index of the service to watch, from 0; the first one is preferred.
  std::size_t current() const { return current_; }

  // Records that a call to the current service failed, and makes the next service the current one. Returns
  // whether every service has now failed in turn. An immediate call would then only start another round of
  // failures.
  bool RecordFailure(Millis now);
  // Records that a list from the current service was accepted.
  void RecordSuccess() { consecutive_failures_ = 0; }

  // Makes `service` the current one.
  void SwitchTo(std::size_t service, Millis now);
  // Makes the first service the current one. To be called when its address has changed.
  void StartOver() { current_ = 0; }

  // Returns the service to probe next: the first one if a return to it is due, otherwise each of the others
  // in turn. Requires at least two services.
  std::size_t NextProbe(Millis now);

  // Compares the list that the probe of `service` returned with the position of the watch. A list of another
  // epoch can't be compared, and the decision is kStay.
  ProbeDecision EvaluateProbe(std::size_t service, const EndpointList& list, const WatchPosition& position,
                              Millis now) const;

 private:
  bool ReturnIsDue(Millis now) const { return current_ != 0 && now - left_first_at_ >= return_after_; }

  const std::size_t service_count_;
  Millis return_after_;
  std::size_t current_ = 0;
  std::size_t consecutive_failures_ = 0;
  std::size_t last_probe_ = 0;
  Millis left_first_at_ = 0;
  Millis returned_at_ = 0;  // time of the last return to the first service; 0: never
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_DISCOVERY_SERVICE_FAILOVER_HPP_
