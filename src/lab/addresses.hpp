// The socket addresses of one run. Each run reserves a block 127.A.B.0/24, and each gateway has an address of
// its own in the block. Clients reach the gateway at this address. The lab listens at other ports of the same
// address on behalf of each host, the list service and each other gateway. The gateway connects to these
// ports, so the lab can cut the network between the gateway and each of them.
#ifndef GATEWAY_LAB_ADDRESSES_HPP_
#define GATEWAY_LAB_ADDRESSES_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <stdexcept>
#include <string>

#include "base/socket_address.hpp"

namespace gateway::lab {

class Addresses {
 public:
  using Endpoint = boost::asio::ip::tcp::endpoint;

  // Reserves the first free block until this object is destroyed. Throws std::runtime_error if no block is
  // free.
  explicit Addresses(boost::asio::io_context& io) : lock_(io) {
    for (unsigned block = 0; block < kBlocks; ++block) {
      base_ = (127U << 24) | ((kFirstSecondOctet + block / 256) << 16) | ((block % 256) << 8);
      boost::system::error_code ec;
      lock_.open(boost::asio::ip::tcp::v4(), ec);
      if (!ec) lock_.bind(MakeEndpoint(kLockAddress, kLockPort), ec);
      if (!ec) lock_.listen(1, ec);
      if (!ec) return;
      lock_.close(ec);
    }
    throw std::runtime_error(
        "no block 127.A.B.0/24 of loopback addresses is free: too many runs at the same time");
  }

  // Gateways and hosts are numbered from 0.

  // The address at which clients reach the gateway.
  Endpoint Gateway(int gateway) const { return MakeEndpoint(gateway + 1, 3000); }
  // The management address of a gateway process. `start` is the number of earlier starts of the gateway. It
  // gives the old and the new process different addresses while the gateway is replaced.
  Endpoint Management(int gateway, int start) const {
    return MakeEndpoint(gateway + 1, static_cast<std::uint16_t>(3001 + start % kManagementPorts));
  }
  // The address at which the gateway reaches the list service.
  Endpoint List(int gateway) const { return MakeEndpoint(gateway + 1, 8500); }
  // The address at which the gateway reaches the host.
  Endpoint Host(int gateway, int host) const {
    return MakeEndpoint(gateway + 1, static_cast<std::uint16_t>(10000 + host));
  }

  // The address of the project's list service, if the experiment runs its process.
  Endpoint Registry() const { return MakeEndpoint(kRegistryAddress, 8500); }

  // The address at which `gateway` reaches `other`, and from which it receives the datagrams of `other`.
  Endpoint Peer(int gateway, int other) const {
    return MakeEndpoint(gateway + 1, static_cast<std::uint16_t>(20000 + other));
  }
  // The address at which the gateway listens for datagrams of all other gateways.
  Endpoint PeerListen(int gateway) const { return MakeEndpoint(gateway + 1, 7946); }

  static std::string Text(const Endpoint& endpoint) { return base::FormatSocketAddress(endpoint); }

 private:
  static constexpr unsigned kFirstSecondOctet = 77;
  static constexpr unsigned kBlocks = 64 * 256;
  static constexpr int kLockAddress = 254;
  static constexpr std::uint16_t kLockPort = 9;
  static constexpr int kRegistryAddress = 253;
  static constexpr int kManagementPorts = 900;

  Endpoint MakeEndpoint(int last_octet, std::uint16_t port) const {
    return {boost::asio::ip::address_v4(base_ | static_cast<unsigned>(last_octet)), port};
  }

  boost::asio::ip::tcp::acceptor lock_;  // reserves the block by listening at one of its addresses
  unsigned base_ = 0;                    // the first address of the block
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_ADDRESSES_HPP_
