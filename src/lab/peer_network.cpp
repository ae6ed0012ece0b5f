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

constexpr Millis kMaxReorderingDelay = 20;  // limit on the additional random delay of a reordered datagram
// Gives the network a random sequence that differs from those of other components with the same seed.
constexpr std::uint64_t kSeedMask = 0x7065657273ULL;

udp::endpoint ToUdp(const Addresses::Endpoint& endpoint) { return {endpoint.address(), endpoint.port()}; }

}  // namespace

PeerNetwork::PeerNetwork(boost::asio::io_context& io, const Addresses& addresses, int gateways,
                         std::uint64_t seed)
    : io_(io),
      addresses_(addresses),
      gateways_(gateways),
      random_(seed ^ kSeedMask),
      conditions_(static_cast<std::size_t>(gateways)),
      cuts_(static_cast<std::size_t>(gateways) * static_cast<std::size_t>(gateways)),
      sockets_(cuts_.size()) {
  for (int owner = 0; owner < gateways; ++owner) {
    for (int other = 0; other < gateways; ++other) {
      if (owner != other) Open(owner, other);
    }
  }
}

void PeerNetwork::Open(int owner, int other) {
  auto& peer_socket = sockets_[PairIndex(owner, other)];
  peer_socket = std::make_unique<PeerSocket>(io_);
  peer_socket->owner = owner;
  peer_socket->other = other;
  const udp::endpoint address = ToUdp(addresses_.Peer(owner, other));
  error_code ec;
  peer_socket->socket.open(address.protocol(), ec);
  if (!ec) peer_socket->socket.bind(address, ec);
  if (!ec) peer_socket->socket.non_blocking(true, ec);
  if (ec) {
    throw std::runtime_error("can't open a UDP socket for datagrams between gateways at " +
                             Addresses::Text(addresses_.Peer(owner, other)) + ": " + ec.message());
  }
  Receive(*peer_socket);
}

double PeerNetwork::Uniform() { return boost::random::uniform_01<double>()(random_); }

void PeerNetwork::Receive(PeerSocket& peer_socket) {
  peer_socket.socket.async_receive_from(boost::asio::buffer(peer_socket.buffer), peer_socket.from,
                                        [this, &peer_socket](error_code ec, std::size_t size) {
                                          if (ec == boost::asio::error::operation_aborted) return;
                                          if (!ec) OnDatagram(peer_socket, size);
                                          Receive(peer_socket);
                                        });
}

void PeerNetwork::OnDatagram(const PeerSocket& peer_socket, std::size_t size) {
  ++counts_.sent;
  if (size > kMaxDatagramBytes) {
    ++counts_.too_long;
    return;
  }
  const NetworkConditions& sender = conditions_[static_cast<std::size_t>(peer_socket.owner)];
  const NetworkConditions& receiver = conditions_[static_cast<std::size_t>(peer_socket.other)];
  const auto datagram = std::make_shared<const std::string>(peer_socket.buffer.data(), size);
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
    Transmit(peer_socket.owner, peer_socket.other, sender.delay + receiver.delay + reordering, datagram);
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
  if (cuts_[PairIndex(from, to)] > 0) {
    ++counts_.lost;
    return;
  }
  ++counts_.delivered;
  error_code ignored;  // a gateway that is not running receives nothing
  sockets_[PairIndex(to, from)]->socket.send_to(boost::asio::buffer(datagram),
                                                ToUdp(addresses_.PeerListen(to)), 0, ignored);
}

}  // namespace gateway::lab
