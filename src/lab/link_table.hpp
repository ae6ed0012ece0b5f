// The links of one run, from each gateway to each host and to the list service.
#ifndef GATEWAY_LAB_LINK_TABLE_HPP_
#define GATEWAY_LAB_LINK_TABLE_HPP_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "lab/link.hpp"

namespace gateway::lab {

// Gateways and hosts are numbered from 0. The table owns the links.
class LinkTable {
 public:
  LinkTable(boost::asio::io_context& io, int gateways, int hosts, std::uint64_t seed)
      : hosts_(static_cast<std::size_t>(hosts)) {
    for (int gateway = 0; gateway < gateways; ++gateway) {
      list_service_links_.push_back(std::make_unique<Link>(io));
      for (int host = 0; host < hosts; ++host) {
        const int number = gateway * kSeedsPerGateway + host;
        host_links_.push_back(std::make_unique<Link>(io, seed + static_cast<std::uint64_t>(number)));
      }
    }
  }

  Link& LinkToHost(int gateway, int host) {
    return *host_links_[static_cast<std::size_t>(gateway) * hosts_ + static_cast<std::size_t>(host)];
  }
  Link& LinkToListService(int gateway) { return *list_service_links_[static_cast<std::size_t>(gateway)]; }

 private:
  static constexpr int kSeedsPerGateway = 1000;

  const std::size_t hosts_;
  std::vector<std::unique_ptr<Link>> host_links_;          // links to the hosts, by gateway, then host
  std::vector<std::unique_ptr<Link>> list_service_links_;  // links to the list service, by gateway
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_LINK_TABLE_HPP_
