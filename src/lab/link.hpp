// The network between a gateway and another party, as the lab emulates it: it delays messages and can be cut
// in either direction.
#ifndef GATEWAY_LAB_LINK_HPP_
#define GATEWAY_LAB_LINK_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/random/linear_congruential.hpp>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

#include "base/clock.hpp"
#include "base/millis.hpp"

namespace gateway::lab {

using base::Millis;
using base::MonotonicNow;
using base::TimerDuration;

// Works on complete messages. A message that meets a cut waits until the cut is healed, as TCP's
// retransmissions would bring it; another one is late by the delay. Messages of one connection keep their
// order, since each waits for the answer to the last. To be used in the thread of the io_context.
class Link {
 public:
  enum class Direction { kFromGateway, kToGateway };

  // `seed`: of the jitter.
  explicit Link(boost::asio::io_context& io, std::uint64_t seed = 1) : io_(io), random_(seed) {}
  Link(const Link&) = delete;

  // Calls `deliver` when the message has arrived: at once on a link without delay.
  void Transmit(Direction direction, std::function<void()> deliver);

  // Cuts the given directions. Cuts are counted, so that several faults may cut the same link.
  void Cut(bool from_gateway, bool to_gateway);

  // Takes one cut back in each of the given directions.
  void Heal(bool from_gateway, bool to_gateway);

  // Adds to the delay, in both directions, and to the largest random delay on top of it; negative values take
  // back.
  void AddDelay(Millis delay, Millis jitter);

  bool IsCut(Direction direction) const {
    return (direction == Direction::kFromGateway ? cuts_from_gateway_ : cuts_to_gateway_) > 0;
  }

  // Whether either direction is cut.
  bool IsCut() const { return cuts_from_gateway_ > 0 || cuts_to_gateway_ > 0; }

  // When the last cut was healed; 0 where there was none.
  Millis healed_at() const { return healed_at_; }

  // Sets what is called after every cut and healing; empty: nothing. A listener behind a cut link takes no
  // new connections.
  void SetObserver(std::function<void()> observer) { observer_ = std::move(observer); }

 private:
  struct Message {
    Direction direction;
    std::function<void()> deliver;
  };

  void Arrive(Message message);

  boost::asio::io_context& io_;
  boost::random::minstd_rand random_;
  int cuts_from_gateway_ = 0;
  int cuts_to_gateway_ = 0;
  Millis delay_ = 0;
  Millis jitter_ = 0;
  Millis healed_at_ = 0;
  std::vector<Message> waiting_;  // for the end of a cut
  std::function<void()> observer_;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_LINK_HPP_
