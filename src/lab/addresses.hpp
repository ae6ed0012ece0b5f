// Who is where: each run has a block 127.A.B.0/24 to itself, and in it each gateway an address at which it is
// reached and at which it alone reaches all others, so that any pair can be cut.
#ifndef GATEWAY_LAB_ADDRESSES_HPP_
#define GATEWAY_LAB_ADDRESSES_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <stdexcept>
#include <string>

namespace gateway::lab {

class Addresses {
 public:
  using Endpoint = boost::asio::ip::tcp::endpoint;

  // Takes the first block that no other run holds; holds it until the end of this. Throws if all are taken.
  explicit Addresses(boost::asio::io_context& io) : lock_(io) {
    for (unsigned block = 0; block < kBlocks; ++block) {
      base_ = (127U << 24) | ((kFirst + block / 256) << 16) | ((block % 256) << 8);
      boost::system::error_code ec;
      lock_.open(boost::asio::ip::tcp::v4(), ec);
      if (!ec) lock_.bind(At(254, 9), ec);
      if (!ec) lock_.listen(1, ec);
      if (!ec) return;
      lock_.close(ec);
    }
    throw std::runtime_error("no block of loopback addresses is free: too many runs at the same time");
  }

  Endpoint Gateway(int gateway) const { return At(gateway + 1, 3000); }
  Endpoint Management(int gateway, int generation) const {
    return At(gateway + 1, static_cast<std::uint16_t>(3001 + generation % 900));
  }
  Endpoint List(int gateway) const { return At(gateway + 1, 8500); }
  Endpoint Host(int gateway, int host) const {
    return At(gateway + 1, static_cast<std::uint16_t>(10000 + host));
  }

  // The list service itself, where it is a process.
  Endpoint Registry() const { return At(253, 8500); }

  // Where the gateway reaches the other one, and hears it from; and where it listens for all of them.
  Endpoint Peer(int gateway, int other) const {
    return At(gateway + 1, static_cast<std::uint16_t>(20000 + other));
  }
  Endpoint PeerListen(int gateway) const { return At(gateway + 1, 7946); }

  static std::string Text(const Endpoint& endpoint) {
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
  }

 private:
  static constexpr unsigned kFirst = 77, kBlocks = 64 * 256;

  Endpoint At(int last, std::uint16_t port) const {
    return {boost::asio::ip::address_v4(base_ | static_cast<unsigned>(last)), port};
  }

  boost::asio::ip::tcp::acceptor lock_;
  unsigned base_ = 0;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_ADDRESSES_HPP_
