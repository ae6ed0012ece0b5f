// What lies between a gateway and another party: can be cut either way, and delays. One thread.
#ifndef GATEWAY_LAB_LINK_HPP_
#define GATEWAY_LAB_LINK_HPP_

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/random/linear_congruential.hpp>
#include <boost/random/uniform_01.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "base/clock.hpp"
#include "base/millis.hpp"

namespace gateway::lab {

using base::Millis;

using base::MonotonicNow;
using base::TimerDuration;

// Works on whole messages: one that meets a cut waits until the link is healed, as TCP's repetitions would
// bring it, and is late by the delay. Messages of one connection keep their order, since each waits for the
// answer to the last.
class Link {
 public:
  enum class Way { kThere, kBack };  // from the gateway, and to it

  explicit Link(boost::asio::io_context& io, std::uint64_t seed = 1) : io_(io), random_(seed) {}
  Link(const Link&) = delete;

  void Pass(Way way, std::function<void()> message) {
    if (cut(way)) return waiting_.emplace_back(way, std::move(message)), void();
    if (delay_ <= 0 && jitter_ <= 0) return message();
    const Millis chance = jitter_ * boost::random::uniform_01<double>()(random_);
    const auto timer = std::make_shared<boost::asio::steady_timer>(io_, TimerDuration(delay_ + chance));
    timer->async_wait([this, timer, way, message = std::move(message)](boost::system::error_code ec) mutable {
      if (ec) return;
      if (cut(way)) return waiting_.emplace_back(way, std::move(message)), void();
      message();
    });
  }

  // Counted, so that two faults may cut the same link.
  void Cut(bool there, bool back) {
    cuts_there_ += there ? 1 : 0;
    cuts_back_ += back ? 1 : 0;
    if (watcher_) watcher_();
  }
  void Heal(bool there, bool back) {
    cuts_there_ -= there ? 1 : 0;
    cuts_back_ -= back ? 1 : 0;
    healed_at_ = MonotonicNow();
    if (watcher_) watcher_();
    std::vector<std::pair<Way, std::function<void()>>> passing;
    for (auto& entry : std::exchange(waiting_, {})) {
      (cut(entry.first) ? waiting_ : passing).push_back(std::move(entry));
    }
    for (auto& [way, message] : passing) message();
  }
  void AddDelay(Millis more, Millis jitter) {
    delay_ = std::max(0.0, delay_ + more);
    jitter_ = std::max(0.0, jitter_ + jitter);
  }

  bool cut(Way way) const { return (way == Way::kThere ? cuts_there_ : cuts_back_) > 0; }
  bool cut() const { return cuts_there_ > 0 || cuts_back_ > 0; }
  // Since when nothing has cut it; 0: ever. Only where it is not cut now.
  Millis healed_at() const { return healed_at_; }
  // Called on every change: a listener behind a cut link takes no new connections.
  void Watch(std::function<void()> watcher) { watcher_ = std::move(watcher); }

 private:
  boost::asio::io_context& io_;
  int cuts_there_ = 0, cuts_back_ = 0;
  boost::random::minstd_rand random_;
  Millis delay_ = 0, jitter_ = 0, healed_at_ = 0;
  std::vector<std::pair<Way, std::function<void()>>> waiting_;
  std::function<void()> watcher_;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_LINK_HPP_
