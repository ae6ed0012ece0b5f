// The emulated network link between a gateway and a host or the list service. It delays messages and can be
// cut in each direction.
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

// Transmits complete messages and delays each message by the delay of the link. While a direction is cut, its
// messages are queued and are delivered when the cut is healed, since TCP would retransmit them. Messages of
// one connection keep their order, since each request is sent only after the response to the previous
// request. Must be used in the thread of the io_context.
class Link {
 public:
  enum class Direction { kFromGateway, kToGateway };

  // `seed`: for the random jitter.
  explicit Link(boost::asio::io_context& io, std::uint64_t seed = 1) : io_(io), random_(seed) {}
  Link(const Link&) = delete;

  // Calls `deliver` when the message has arrived; synchronously on a link without delay.
  void Transmit(Direction direction, std::function<void()> deliver);

  // Cuts the given directions. Cuts are counted, so that several faults can cut the same link.
  void Cut(bool from_gateway, bool to_gateway);

  // Removes one cut in each of the given directions.
  void Heal(bool from_gateway, bool to_gateway);

  // Adds `delay` to the fixed delay and `jitter` to the maximum of the random delay, in both directions.
  // Negative values reduce them again.
  void AddDelay(Millis delay, Millis jitter);

  bool IsCut(Direction direction) const {
    return (direction == Direction::kFromGateway ? cuts_from_gateway_ : cuts_to_gateway_) > 0;
  }

  // Whether either direction is cut.
  bool IsCut() const { return cuts_from_gateway_ > 0 || cuts_to_gateway_ > 0; }

  // When a cut was last healed; 0 if none was healed yet.
  Millis healed_at() const { return healed_at_; }

  // Sets a callback that is called after every Cut and Heal; empty: none. A listener uses it to refuse new
  // connections while the link is cut.
  void SetObserver(std::function<void()> observer) { observer_ = std::move(observer); }

 private:
  struct Message {
    Direction direction;
    std::function<void()> deliver;
  };

  void DeliverOrQueue(Message message);

  boost::asio::io_context& io_;
  boost::random::minstd_rand random_;
  int cuts_from_gateway_ = 0;
  int cuts_to_gateway_ = 0;
  Millis delay_ = 0;
  Millis jitter_ = 0;
  Millis healed_at_ = 0;
  std::vector<Message> queued_messages_;  // until the cut is healed
  std::function<void()> observer_;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_LINK_HPP_
