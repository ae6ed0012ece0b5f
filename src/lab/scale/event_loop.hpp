// The one event loop of a run: everything that the tool itself does happens in it, and every wait ends by the
// run's deadline. One thread.
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

// Something did not happen in time; what() names it.
class ScaleTimeout : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

class EventLoop {
 public:
  // No wait lasts beyond `deadline` (base::MonotonicNow).
  explicit EventLoop(Millis deadline) : deadline_(deadline) {}

  boost::asio::io_context& io() { return io_; }

  // Runs the loop until `done()`. Throws ScaleTimeout, naming `what`, after `timeout`.
  template <typename Done>
  void RunUntil(const std::string& what, Millis timeout, Done done) {
    const Millis until = std::min(deadline_, base::MonotonicNow() + timeout);
    while (!done()) {
      if (base::MonotonicNow() > until) throw ScaleTimeout(what + " did not happen in time");
      io_.run_one_for(std::chrono::milliseconds(5));
    }
  }

  // Runs the loop for so long.
  void RunFor(Millis time) {
    const Millis until = base::MonotonicNow() + time;
    if (until > deadline_) throw ScaleTimeout("the run's deadline is too near for another window");
    while (base::MonotonicNow() < until) {
      io_.run_one_for(std::chrono::microseconds(static_cast<int>(1000 * (until - base::MonotonicNow())) + 1));
    }
  }

 private:
  boost::asio::io_context io_{1};
  const Millis deadline_;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_SCALE_EVENT_LOOP_HPP_
