// When a request came to this machine, as opposed to when the gateway read it: its client counts from then.
#ifndef GATEWAY_PROXY_CLIENT_ARRIVAL_HPP_
#define GATEWAY_PROXY_CLIENT_ARRIVAL_HPP_

#include <optional>

#include "gateway/policy.hpp"
#include "proxy/clock.hpp"

namespace gateway::proxy {

// Time since the last data came in on a TCP connection, be it read or not, to some milliseconds. Empty where
// the system does not tell.
std::optional<Millis> SinceLastReceived(int socket);

// Whether connections wait to be accepted on a listener.
bool HasPending(int listener);

// For how long connections may have waited in a listener's queue. No system call tells when one was put
// there, so this gives the longest that it can have been: since the queue was last known to be empty. A
// state machine without I/O; times are those of the gateway's clock.
class AcceptQueue {
 public:
  // Whether connections wait at this time, or may come to wait since nothing is accepted for now.
  void Observe(Millis now, bool pending) {
    if (!pending) {
      pending_since_.reset();
    } else if (!pending_since_) {
      pending_since_ = now;
    }
  }
  // Of a connection that is accepted now.
  Millis LongestWait(Millis now) const { return pending_since_ ? now - *pending_since_ : 0; }

 private:
  std::optional<Millis> pending_since_;
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_CLIENT_ARRIVAL_HPP_
