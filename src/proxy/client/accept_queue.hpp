// Measures how long data and connections have waited in the kernel before the gateway reads them. A client's
// deadline counts from the arrival of its request at this machine, so the waiting time reduces the time
// that is left for the request.
#ifndef GATEWAY_PROXY_CLIENT_ACCEPT_QUEUE_HPP_
#define GATEWAY_PROXY_CLIENT_ACCEPT_QUEUE_HPP_

#include <optional>

#include "gateway/policy.hpp"
#include "proxy/clock.hpp"

namespace gateway::proxy {

// Returns the time since data last arrived on a TCP connection, whether or not the data was read, with a
// resolution of some milliseconds. Returns nothing if the system does not report the time.
std::optional<Millis> TimeSinceLastReceived(int socket);

// Returns whether connections wait to be accepted on a listener.
bool HasPendingConnections(int listener);

// Bounds how long a connection may have waited in a listener's accept queue. No system call returns the time
// at which a connection was queued, so the bound is the time since the queue was last known to be empty.
// Times are those of Now().
class AcceptQueueDelay {
 public:
  // Records whether connections are pending at `now`, or may become pending because accepting is suspended.
  void Observe(Millis now, bool pending) {
    if (!pending) {
      pending_since_.reset();
    } else if (!pending_since_) {
      pending_since_ = now;
    }
  }
  // Returns the upper bound for a connection that is accepted at `now`.
  Millis LongestWait(Millis now) const { return pending_since_ ? now - *pending_since_ : 0; }

 private:
  std::optional<Millis> pending_since_;
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_CLIENT_ACCEPT_QUEUE_HPP_
