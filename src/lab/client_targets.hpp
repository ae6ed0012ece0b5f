// The interface of the servers that the emulated clients call.
#ifndef GATEWAY_LAB_CLIENT_TARGETS_HPP_
#define GATEWAY_LAB_CLIENT_TARGETS_HPP_

#include <boost/asio/ip/tcp.hpp>

#include "base/millis.hpp"

namespace gateway::lab {

// The gateways of a run, or its hosts if clients call them directly. Targets are numbered from 0. Times are
// on the clock of base::MonotonicNow.
class ClientTargets {
 public:
  virtual ~ClientTargets() = default;

  virtual int count() const = 0;
  virtual boost::asio::ip::tcp::endpoint Address(int target) const = 0;
  virtual int Zone(int target) const = 0;

  // Whether the front balancer sends new connections to the target.
  virtual bool AcceptsConnections(int target, base::Millis now) const = 0;

  // Whether the target was killed or stopped by a fault at any time since `since`. Such a target may lose
  // requests.
  virtual bool WasDisruptedSince(int target, base::Millis since) const = 0;

  // Called when the target has served a request that was sent to it at `sent_at`.
  virtual void OnServed(int target, base::Millis sent_at) = 0;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_CLIENT_TARGETS_HPP_
