#include "lab/link.hpp"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/random/uniform_01.hpp>
#include <memory>

namespace gateway::lab {

void Link::Transmit(Direction direction, std::function<void()> deliver) {
  Message message{direction, std::move(deliver)};
  if (IsCut(direction) || (delay_ <= 0 && jitter_ <= 0)) return DeliverOrQueue(std::move(message));
  const Millis random_delay = jitter_ * boost::random::uniform_01<double>()(random_);
  const auto timer = std::make_shared<boost::asio::steady_timer>(io_, TimerDuration(delay_ + random_delay));
  timer->async_wait([this, timer, message = std::move(message)](boost::system::error_code ec) mutable {
    if (!ec) DeliverOrQueue(std::move(message));
  });
}

void Link::DeliverOrQueue(Message message) {
  if (IsCut(message.direction)) {
    queued_messages_.push_back(std::move(message));
  } else {
    message.deliver();
  }
}

void Link::Cut(bool from_gateway, bool to_gateway) {
  cuts_from_gateway_ += from_gateway ? 1 : 0;
  cuts_to_gateway_ += to_gateway ? 1 : 0;
  if (observer_) observer_();
}

void Link::Heal(bool from_gateway, bool to_gateway) {
  cuts_from_gateway_ -= from_gateway ? 1 : 0;
  cuts_to_gateway_ -= to_gateway ? 1 : 0;
  healed_at_ = MonotonicNow();
  if (observer_) observer_();
  // A delivery may cut the link again, so all deliverable messages are removed from the queue before any
  // delivery.
  std::vector<Message> arriving;
  for (Message& message : std::exchange(queued_messages_, {})) {
    (IsCut(message.direction) ? queued_messages_ : arriving).push_back(std::move(message));
  }
  for (const Message& message : arriving) message.deliver();
}

void Link::AddDelay(Millis delay, Millis jitter) {
  delay_ = std::max(0.0, delay_ + delay);
  jitter_ = std::max(0.0, jitter_ + jitter);
}

}  // namespace gateway::lab
