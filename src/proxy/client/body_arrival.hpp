// The earliest time at which a client can have sent the last byte of a request body.
#ifndef GATEWAY_PROXY_CLIENT_BODY_ARRIVAL_HPP_
#define GATEWAY_PROXY_CLIENT_BODY_ARRIVAL_HPP_

#include <algorithm>
#include <cstdint>
#include <optional>

#include "proxy/clock.hpp"

namespace gateway::proxy {

// The most bytes that a client can have sent without their arrival at this machine: the largest send buffer
// of a socket (Linux: the default maximum of net.ipv4.tcp_wmem).
constexpr std::uint64_t kMaxClientSendBufferBytes = 4 * 1024 * 1024;

// Tracks a lower bound on the time at which the client has sent the last byte of a body.
//
// The time for which a client waits counts from its last byte. While the gateway does not read, because the
// endpoint does not read either, the last byte stays in the socket buffers, and the gateway can't observe its
// arrival. It can observe that the body was incomplete at some time: if the receive buffer was empty, or if
// more bytes were missing than a send buffer holds. The last byte was sent after the latest such time.
//
// A state machine without I/O; times are on the clock of Now(). Arrived bytes are those that were read, or
// are in the receive buffer. They include the framing of a chunked body.
class BodyArrival {
 public:
  // Starts to track a body that was incomplete at `now`. `length_bytes` is empty for a chunked body.
  void Start(Millis now, std::optional<std::uint64_t> length_bytes) {
    earliest_completion_ = now;
    length_bytes_ = length_bytes;
    checkpoint_ = {now, 0};
  }

  // Records that the body was incomplete at `now`, because the gateway waited for more of it until then.
  void RecordWait(Millis now) { earliest_completion_ = std::max(earliest_completion_, now); }

  // Records the number of bytes that have arrived until `now`. It never decreases.
  void RecordArrived(Millis now, std::uint64_t arrived_bytes) {
    if (length_bytes_) {
      if (arrived_bytes + kMaxClientSendBufferBytes < *length_bytes_) RecordWait(now);
    } else if (arrived_bytes > checkpoint_.arrived_bytes + kMaxClientSendBufferBytes) {
      RecordWait(checkpoint_.time);
      checkpoint_ = {now, arrived_bytes};
    }
  }

  Millis earliest_completion() const { return earliest_completion_; }

 private:
  struct Checkpoint {
    Millis time = 0;
    std::uint64_t arrived_bytes = 0;
  };

  Millis earliest_completion_ = 0;
  std::optional<std::uint64_t> length_bytes_;
  // If the length is unknown: an earlier observation. The body was incomplete at its time if more bytes have
  // arrived since then than a send buffer holds.
  Checkpoint checkpoint_;
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_CLIENT_BODY_ARRIVAL_HPP_
