#include "lab/peer_net.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/random/uniform_01.hpp>
#include <stdexcept>

#include "base/clock.hpp"

namespace gateway::lab {
namespace {

using boost::system::error_code;
using udp = boost::asio::ip::udp;

constexpr Millis kReordered = 20;  // how far a datagram falls behind those sent after it, at the most

udp::endpoint ToUdp(const Addresses::Endpoint& endpoint) { return {endpoint.address(), endpoint.port()}; }

}  // namespace

PeerNet::PeerNet(boost::asio::io_context& io, const Addresses& addresses, int gateways, std::uint64_t seed)
    : io_(io),
      addresses_(addresses),
      gateways_(gateways),
      random_(seed ^ 0x7065657273ULL),
      weather_(static_cast<std::size_t>(gateways)),
      cuts_(static_cast<std::size_t>(gateways) * static_cast<std::size_t>(gateways)),
      ends_(cuts_.size()) {
  for (int owner = 0; owner < gateways; ++owner) {
    for (int other = 0; other < gateways; ++other) {
      if (owner == other) continue;
      auto& end = ends_[Pair(owner, other)];
      end = std::make_unique<End>(io);
      end->owner = owner;
      end->other = other;
      const udp::endpoint at = ToUdp(addresses.Peer(owner, other));
      error_code ec;
      end->socket.open(at.protocol(), ec);
      if (!ec) end->socket.bind(at, ec);
      if (!ec) end->socket.non_blocking(true, ec);
      if (ec) throw std::runtime_error("no socket between gateways: " + ec.message());
      Receive(*end);
    }
  }
}

double PeerNet::Uniform() { return boost::random::uniform_01<double>()(random_); }

void PeerNet::Receive(End& end) {
  end.socket.async_receive_from(boost::asio::buffer(end.buffer), end.from,
                                [this, &end](error_code ec, std::size_t size) {
                                  if (ec == boost::asio::error::operation_aborted) return;
                                  if (!ec) Sent(end, size);
                                  Receive(end);
                                });
}

void PeerNet::Sent(const End& end, std::size_t size) {
  ++counts_.sent;
  if (size > kMost) {
    ++counts_.too_long;
    return;
  }
  const PeerWeather& there = weather_[static_cast<std::size_t>(end.owner)];
  const PeerWeather& here = weather_[static_cast<std::size_t>(end.other)];
  const auto datagram = std::make_shared<const std::string>(end.buffer.data(), size);
  const auto struck = [&](double PeerWeather::*kind) {
    return Uniform() < std::max(there.*kind, here.*kind);
  };
  const int copies = struck(&PeerWeather::repeat) ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    if (struck(&PeerWeather::loss)) {
      ++counts_.lost;
      continue;
    }
    const Millis behind = struck(&PeerWeather::reorder) ? Uniform() * kReordered : 0;
    Pass(end.owner, end.other, there.delay + here.delay + behind, datagram);
  }
}

void PeerNet::Pass(int from, int to, Millis after, const std::shared_ptr<const std::string>& datagram) {
  const auto arrive = [this, from, to, datagram] {
    if (cuts_[Pair(from, to)] > 0) {
      ++counts_.lost;
      return;
    }
    ++counts_.passed;
    error_code ignored;  // a gateway that is down hears nothing
    ends_[Pair(to, from)]->socket.send_to(boost::asio::buffer(*datagram), ToUdp(addresses_.PeerListen(to)), 0,
                                          ignored);
  };
  if (after <= 0) return arrive();
  const auto timer = std::make_shared<boost::asio::steady_timer>(io_, base::TimerDuration(after));
  timer->async_wait([timer, arrive](error_code ec) {
    if (!ec) arrive();
  });
}

}  // namespace gateway::lab
