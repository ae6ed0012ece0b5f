// The emulated network between gateways: the lab forwards their datagrams and drops, duplicates, reorders and
// delays them.
#ifndef GATEWAY_LAB_PEER_NETWORK_HPP_
#define GATEWAY_LAB_PEER_NETWORK_HPP_

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

// For each ordered pair of gateways A and B, the lab opens a UDP socket. The socket has the IP address of
// gateway A and a port that stands for gateway B (see Addresses::Peer). Gateway A sends its datagrams for B
// to this socket. The lab forwards the datagrams of B to gateway A from the same socket. Gateways are
// numbered from 0. Must be used in the thread of the io_context.
class PeerNetwork {
 public:
  // `addresses` must outlive the network. Throws std::runtime_error if a socket can't be opened.
  PeerNetwork(boost::asio::io_context& io, const Addresses& addresses, int gateways, std::uint64_t seed);

  // Sets the conditions for every datagram that the gateway sends or receives. If both gateways of a pair
  // have conditions, the higher rate applies, and the delays add up.
  void SetConditions(int gateway, const NetworkConditions& conditions) {
    conditions_[static_cast<std::size_t>(gateway)] = conditions;
  }

  // Cuts or heals one direction of a pair. Cuts are counted, so that several faults can cut the same pair.
  void SetCut(int from, int to, bool cut) { cuts_[PairIndex(from, to)] += cut ? 1 : -1; }

  // Numbers of datagrams.
  struct Counts {
    std::uint64_t sent = 0;       // by gateways
    std::uint64_t delivered = 0;  // to gateways, including duplicates
    std::uint64_t lost = 0;       // dropped because of the conditions or a cut
    std::uint64_t too_long = 0;   // dropped because they are above the protocol's size limit
  };
  const Counts& counts() const { return counts_; }

 private:
  static constexpr std::size_t kMaxDatagramBytes = 256;  // PROTOCOL, "Between gateways"
  static constexpr std::size_t kBufferBytes = 2048;

  // The lab's socket for one pair. The gateway `owner` sends its datagrams for the gateway `other` to it.
  struct PeerSocket {
    explicit PeerSocket(boost::asio::io_context& io) : socket(io) {}
    int owner = 0;
    int other = 0;
    boost::asio::ip::udp::socket socket;
    boost::asio::ip::udp::endpoint from;
    std::array<char, kBufferBytes> buffer;
  };
  std::size_t PairIndex(int from, int to) const {
    return static_cast<std::size_t>(from) * static_cast<std::size_t>(gateways_) +
           static_cast<std::size_t>(to);
  }
  void Open(int owner, int other);
  void Receive(PeerSocket& peer_socket);
  void OnDatagram(const PeerSocket& peer_socket, std::size_t size);
  void Transmit(int from, int to, Millis delay, const std::shared_ptr<const std::string>& datagram);
  void Deliver(int from, int to, const std::string& datagram);
  double Uniform();

  boost::asio::io_context& io_;
  const Addresses& addresses_;
  const int gateways_;
  boost::random::mt19937_64 random_;
  std::vector<NetworkConditions> conditions_;         // by gateway
  std::vector<int> cuts_;                             // by PairIndex()
  std::vector<std::unique_ptr<PeerSocket>> sockets_;  // by PairIndex(); null if owner and other are equal
  Counts counts_;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_PEER_NETWORK_HPP_
