// The load balancer in front of the gateways. It distributes clients' connections over the ready gateways.
#ifndef GATEWAY_LAB_FRONT_BALANCER_HPP_
#define GATEWAY_LAB_FRONT_BALANCER_HPP_

#include "base/millis.hpp"

namespace gateway::lab {

using base::Millis;

// The balancer's view of one gateway (PROTOCOL, "Clients to gateways"). Has no I/O and no clock.
class FrontBalancerView {
 public:
  enum class Probe { kReady, kNotReady, kNoAnswer };

  // `detection_delay`: how long a gateway that does not answer still gets new connections.
  explicit FrontBalancerView(Millis detection_delay) : detection_delay_(detection_delay) {}

  void OnProbe(Millis now, Probe probe);

  // Whether the balancer sends new connections to the gateway. It starts with the first "ready" answer. It
  // stops shortly after a "not ready" answer, and when the gateway has not answered for the detection delay.
  bool SendsConnections(Millis now) const;

 private:
  const Millis detection_delay_;
  bool was_ready_ = false;
  Millis not_ready_since_ = -1;  // negative: the last answer was "ready"
  Millis no_answer_since_ = -1;  // negative: the last probe was answered
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_FRONT_BALANCER_HPP_
