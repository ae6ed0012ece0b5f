#include "lab/peer_network.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/random/uniform_01.hpp>
#include <stdexcept>

#include "base/clock.hpp"

namespace gateway::lab {
namespace {

using boost::system::error_code;
using udp = boost::asio::ip::udp;

constexpr Millis kMaxReorderingDelay = 20;
constexpr std::uint64_t kRandomStream = 0x7065657273ULL;  // apart from the other draws of the same seed

udp::endpoint ToUdp(const Addresses::Endpoint& endpoint) { return {endpoint.address(), endpoint.port()}; }

}  // namespace

PeerNetwork::PeerNetwork(boost::asio::io_context& io, const Addresses& addresses, int gateways,
                         std::uint64_t seed)
    : io_(io),
      addresses_(addresses),
      gateways_(gateways),
      random_(seed ^ kRandomStream),
      conditions_(static_cast<std::size_t>(gateways)),
      cuts_(static_cast<std::size_t>(gateways) * static_cast<std::size_t>(gateways)),
      ends_(cuts_.size()) {
  for (int owner = 0; owner < gateways; ++owner) {
    for (int other = 0; other < gateways; ++other) {
      if (owner != other) Open(owner, other);
    }
  }
}

void PeerNetwork::Open(int owner, int other) {
  auto& end = ends_[Pair(owner, other)];
  end = std::make_unique<PairEnd>(io_);
  end->owner = owner;
  end->other = other;
  const udp::endpoint address = ToUdp(addresses_.Peer(owner, other));
  error_code ec;
  end->socket.open(address.protocol(), ec);
  if (!ec) end->socket.bind(address, ec);
  if (!ec) end->socket.non_blocking(true, ec);
  if (ec) throw std::runtime_error("no socket between gateways: " + ec.message());
  Receive(*end);
}

double PeerNetwork::Uniform() { return boost::random::uniform_01<double>()(random_); }

void PeerNetwork::Receive(PairEnd& end) {
  end.socket.async_receive_from(boost::asio::buffer(end.buffer), end.from,
                                [this, &end](error_code ec, std::size_t size) {
                                  if (ec == boost::asio::error::operation_aborted) return;
                                  if (!ec) OnDatagram(end, size);
                                  Receive(end);
                                });
}

void PeerNetwork::OnDatagram(const PairEnd& end, std::size_t size) {
  ++counts_.sent;
  if (size > kMaxDatagramBytes) {
    ++counts_.too_long;
    return;
  }
  const NetworkConditions& sender = conditions_[static_cast<std::size_t>(end.owner)];
  const NetworkConditions& receiver = conditions_[static_cast<std::size_t>(end.other)];
  const auto datagram = std::make_shared<const std::string>(end.buffer.data(), size);
  const auto draw = [&](double NetworkConditions::*rate) {
    return Uniform() < std::max(sender.*rate, receiver.*rate);
  };
  const int copies = draw(&NetworkConditions::duplication_rate) ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    if (draw(&NetworkConditions::loss_rate)) {
      ++counts_.lost;
      continue;
    }
    const Millis reordering = draw(&NetworkConditions::reordering_rate) ? Uniform() * kMaxReorderingDelay : 0;
    Transmit(end.owner, end.other, sender.delay + receiver.delay + reordering, datagram);
  }
}

void PeerNetwork::Transmit(int from, int to, Millis delay,
                           const std::shared_ptr<const std::string>& datagram) {
  if (delay <= 0) return Deliver(from, to, *datagram);
  const auto timer = std::make_shared<boost::asio::steady_timer>(io_, base::TimerDuration(delay));
  timer->async_wait([this, timer, from, to, datagram](error_code ec) {
    if (!ec) Deliver(from, to, *datagram);
  });
}

void PeerNetwork::Deliver(int from, int to, const std::string& datagram) {
  if (cuts_[Pair(from, to)] > 0) {
    ++counts_.lost;
    return;
  }
  ++counts_.delivered;
  error_code ignored;  // a gateway that is down receives nothing
  ends_[Pair(to, from)]->socket.send_to(boost::asio::buffer(datagram), ToUdp(addresses_.PeerListen(to)), 0,
                                        ignored);
}

}  // namespace gateway::lab
