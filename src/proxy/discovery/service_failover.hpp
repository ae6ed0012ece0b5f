// Failover between several services that publish the same endpoint list: decides which service to watch, when
// to switch to another service and when to return to the first service. A state machine without I/O, clock or
// randomness: the caller passes the time. Not thread-safe.
#ifndef GATEWAY_PROXY_DISCOVERY_SERVICE_FAILOVER_HPP_
#define GATEWAY_PROXY_DISCOVERY_SERVICE_FAILOVER_HPP_

#include <cstddef>

#include "proxy/clock.hpp"
#include "proxy/discovery/endpoint_list.hpp"
#include "proxy/discovery/watch_position.hpp"

namespace gateway::proxy {

// What the client does after a probe. A probe is a call to another service than the watched one.
enum class ProbeDecision {
  kStay,           // continue to watch the current service
  kReturnToFirst,  // the first service responds again; return to it
  // The probed service has a newer revision. Switch to it, unless the watched service sends that revision
  // within a grace period.
  kSwitchUnlessCaughtUp,
};

class ServiceFailover {
 public:
  // `service_count` must be at least 1. `return_delay` is the delay from a failure of the first service until
  // the watch may return to it. If the first service fails within this delay after a return, the delay
  // doubles, up to ten minutes.
  ServiceFailover(std::size_t service_count, Millis return_delay);

  // Index of the service to watch, from 0. The first service is preferred.
  std::size_t current() const { return current_; }

  // Records that a call to the current service failed, and makes the next service the current service.
  // Returns whether every service has now failed in turn. If so, the caller should wait before the next call.
  bool RecordFailure(Millis now);
  // Records that a list from the current service was accepted.
  void RecordSuccess() { consecutive_failures_ = 0; }

  // Makes `service` the current service.
  void SwitchTo(std::size_t service, Millis now);

  // Returns the service to probe next: the first service if a return to it is due, otherwise the
  // unwatched services in turn. Requires at least two services.
  std::size_t NextProbe(Millis now);

  // Compares `list`, which the probe of `service` returned, with the position of the watch. Returns kStay if
  // the list is of another epoch, because such lists can't be compared.
  ProbeDecision EvaluateProbe(std::size_t service, const EndpointList& list, const WatchPosition& position,
                              Millis now) const;

 private:
  bool ReturnIsDue(Millis now) const {
    return current_ != 0 && now - switched_from_first_at_ >= return_delay_;
  }

  std::size_t service_count_;
  Millis return_delay_;
  std::size_t current_ = 0;
  std::size_t consecutive_failures_ = 0;
  std::size_t last_probe_ = 0;
  Millis switched_from_first_at_ = 0;  // time of the last switch from the first service to another service
  Millis returned_to_first_at_ = 0;    // time of the last return to the first service; 0: never
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_DISCOVERY_SERVICE_FAILOVER_HPP_
