#include "policy/server_ring.hpp"

#include <algorithm>
#include <boost/multi_index/identity.hpp>
#include <boost/multi_index/ranked_index.hpp>
#include <boost/multi_index_container.hpp>
#include <cmath>
#include <tuple>
#include <utility>

#include "policy/state.hpp"

namespace gateway::policy {
namespace {

constexpr int kHashBits = 53;  // of a hash that count: as many as a double holds exactly

std::uint64_t OrderingHash(const Backend& server) { return server.hash >> (64 - kHashBits); }

}  // namespace

// Servers by hash; the id decides between equal ones, so that all gateways agree.
struct ServerRing::Order {
  struct ByHash {
    bool operator()(const Backend* a, const Backend* b) const {
      const std::uint64_t left = OrderingHash(*a), right = OrderingHash(*b);
      return left != right ? left < right : a->info.id < b->info.id;
    }
  };
  using Servers =
      boost::multi_index_container<Backend*, boost::multi_index::indexed_by<boost::multi_index::ranked_unique<
                                                 boost::multi_index::identity<Backend*>, ByHash>>>;
  Servers servers;

  double Position(std::size_t rank) const {
    return static_cast<double>(rank) / static_cast<double>(servers.size());
  }
  // How many of these servers lie before `position`.
  std::size_t CountBefore(double position) const {
    const std::size_t all = servers.size();
    const double wanted = std::ceil(position * static_cast<double>(all));
    auto count = static_cast<std::size_t>(std::clamp(wanted, 0.0, static_cast<double>(all)));
    while (count > 0 && Position(count - 1) >= position) --count;  // the product was rounded
    while (count < all && Position(count) < position) ++count;
    return count;
  }
};

ServerRing::ServerRing() = default;
ServerRing::~ServerRing() = default;
ServerRing::ServerRing(ServerRing&&) noexcept = default;
ServerRing& ServerRing::operator=(ServerRing&&) noexcept = default;

void ServerRing::Insert(Backend& server) {
  std::unique_ptr<Order>& order = kinds_[server.kind];
  if (!order) order = std::make_unique<Order>();
  size_ += order->servers.insert(&server).second;
}

void ServerRing::Erase(Backend& server) {
  const auto found = kinds_.find(server.kind);
  if (found == kinds_.end()) return;
  size_ -= found->second->servers.erase(&server);
  if (found->second->servers.empty()) kinds_.erase(found);
}

struct ServerRing::Walk::Cursor {
  const Order* order;
  Order::Servers::const_iterator at;
  std::size_t rank;
  int lap = 0;  // how often the walk has come round

  void Advance() {
    ++at;
    ++rank;
    Wrap();
  }
  void Wrap() {
    if (rank < order->servers.size()) return;
    at = order->servers.begin();
    rank = 0;
    ++lap;
  }
  // Whether another server comes first. Kinds whose servers share a position take turns by hash.
  bool operator<(const Cursor& other) const { return Key() > other.Key(); }

 private:
  std::tuple<int, double, std::uint64_t> Key() const {
    return {lap, order->Position(rank), OrderingHash(**at)};
  }
};

ServerRing::Walk::Walk(const ServerRing& ring, std::size_t first) : ring_(ring) {
  // Before a position each kind has less than one server beyond its even part; one more for rounding.
  const double kinds = static_cast<double>(ring.kinds_.size()), all = static_cast<double>(ring.size_);
  std::size_t passed = BeginAt((static_cast<double>(first) - kinds - 1) / all);
  for (; passed < first; ++passed) Next();
}

ServerRing::Walk::~Walk() = default;

std::size_t ServerRing::Walk::BeginAt(double position) {
  std::size_t passed = 0;
  for (const auto& [kind, order] : ring_.kinds_) {
    const std::size_t rank = order->CountBefore(position);
    passed += rank;
    heap_.push_back({order.get(), order->servers.nth(rank), rank});
    heap_.back().Wrap();
  }
  std::make_heap(heap_.begin(), heap_.end());
  return passed;
}

Backend& ServerRing::Walk::Next() {
  std::pop_heap(heap_.begin(), heap_.end());
  Backend& server = **heap_.back().at;
  heap_.back().Advance();
  std::push_heap(heap_.begin(), heap_.end());
  return server;
}

}  // namespace gateway::policy
