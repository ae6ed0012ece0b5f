// The event loop of a scale run, in which the measuring tool does all its work. No wait continues after the
// deadline of the run. Single-threaded.
#ifndef GATEWAY_LAB_SCALE_EVENT_LOOP_HPP_
#define GATEWAY_LAB_SCALE_EVENT_LOOP_HPP_

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <stdexcept>
#include <string>

#include "base/clock.hpp"

namespace gateway::lab {

using base::Millis;

// A wait timed out. what() names the awaited event.
class ScaleTimeout : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

class EventLoop {
 public:
  // No wait continues after `deadline` (base::MonotonicNow).
  explicit EventLoop(Millis deadline) : deadline_(deadline) {}

  boost::asio::io_context& io() { return io_; }

  // Runs the loop until `done()` returns true. Throws ScaleTimeout, which names `awaited_event`, after
  // `timeout` or at the deadline.
  template <typename Done>
  void RunUntil(const std::string& awaited_event, Millis timeout, Done done) {
    const Millis until = std::min(deadline_, base::MonotonicNow() + timeout);
    while (!done()) {
      if (base::MonotonicNow() > until) throw ScaleTimeout("timed out waiting for " + awaited_event);
      io_.run_one_for(kPollPeriod);
    }
  }

  // Runs the loop for `duration`. Throws ScaleTimeout at once if `duration` ends after the deadline.
  void RunFor(Millis duration) {
    const Millis until = base::MonotonicNow() + duration;
    if (until > deadline_)
      throw ScaleTimeout("the time left until the deadline of the run is shorter than the next window");
    while (base::MonotonicNow() < until) {
      io_.run_one_for(std::chrono::microseconds(static_cast<int>(1000 * (until - base::MonotonicNow())) + 1));
    }
  }

 private:
  static constexpr std::chrono::milliseconds kPollPeriod{5};

  boost::asio::io_context io_{1};
  const Millis deadline_;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_SCALE_EVENT_LOOP_HPP_
