// Measures how long received data and pending connections have waited in the kernel. The deadline of a
// request counts from the arrival of the request at this machine. The waiting time therefore reduces the time
// that remains for the request.
#ifndef GATEWAY_PROXY_CLIENT_ACCEPT_QUEUE_HPP_
#define GATEWAY_PROXY_CLIENT_ACCEPT_QUEUE_HPP_

#include <optional>

#include "gateway/policy.hpp"
#include "proxy/clock.hpp"

namespace gateway::proxy {

// Returns the time since data last arrived on a TCP connection, whether or not the data has been read. The
// resolution is some milliseconds. Returns nothing if the system does not report the time.
std::optional<Millis> TimeSinceLastReceived(int socket);

// Returns whether a listener has connections that wait to be accepted.
bool HasPendingConnections(int listener);

// Computes an upper bound on the time for which a connection has waited in a listener's accept queue. No
// system call returns the time at which a connection was queued, so the bound is the time since the queue was
// last known to be empty. Times are on the clock of Now().
class AcceptQueueDelay {
 public:
  // Records the state of the queue at `now`. `pending` is true if connections are pending, or may become
  // pending because accepting is suspended.
  void Observe(Millis now, bool pending) {
    if (!pending) {
      pending_since_.reset();
    } else if (!pending_since_) {
      pending_since_ = now;
    }
  }
  // Returns the upper bound on the waiting time of a connection that is accepted at `now`.
  Millis LongestWait(Millis now) const { return pending_since_ ? now - *pending_since_ : 0; }

 private:
  std::optional<Millis> pending_since_;
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_CLIENT_ACCEPT_QUEUE_HPP_
