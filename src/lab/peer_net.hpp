// The network between gateways: datagrams pass through the lab, which loses, repeats, reorders and delays
// them.
#ifndef GATEWAY_LAB_PEER_NET_HPP_
#define GATEWAY_LAB_PEER_NET_HPP_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "lab/addresses.hpp"
#include "lab/experiment.hpp"

namespace gateway::lab {

// Gateway g reaches gateway p at a port of g's own address and hears it from there, so each pair has a socket
// at either end. A datagram of over 256 bytes is not passed on and counted (PROTOCOL, "Between gateways").
class PeerNet {
 public:
  PeerNet(boost::asio::io_context& io, const Addresses& addresses, int gateways, std::uint64_t seed);

  // Of every datagram that the gateway sends or is sent.
  void SetWeather(int gateway, const PeerWeather& weather) {
    weather_[static_cast<std::size_t>(gateway)] = weather;
  }
  // One way. Counted, so that two faults may cut the same pair.
  void Cut(int from, int to, bool cut) { cuts_[Pair(from, to)] += cut ? 1 : -1; }

  struct Counts {
    std::uint64_t sent = 0, passed = 0, lost = 0, too_long = 0;
  };
  const Counts& counts() const { return counts_; }

 private:
  static constexpr std::size_t kMost = 256;
  struct End {  // of the pair, on the first one's address
    explicit End(boost::asio::io_context& io) : socket(io) {}
    int owner = 0, other = 0;
    boost::asio::ip::udp::socket socket;
    boost::asio::ip::udp::endpoint from;
    std::array<char, 2048> buffer;
  };
  std::size_t Pair(int from, int to) const {
    return static_cast<std::size_t>(from) * static_cast<std::size_t>(gateways_) +
           static_cast<std::size_t>(to);
  }
  void Receive(End& end);
  void Sent(const End& end, std::size_t size);
  void Pass(int from, int to, Millis after, const std::shared_ptr<const std::string>& datagram);
  double Uniform();

  boost::asio::io_context& io_;
  const Addresses& addresses_;
  const int gateways_;
  boost::random::mt19937_64 random_;
  std::vector<PeerWeather> weather_;
  std::vector<int> cuts_;
  std::vector<std::unique_ptr<End>> ends_;  // by Pair(); none from a gateway to itself
  Counts counts_;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_PEER_NET_HPP_
