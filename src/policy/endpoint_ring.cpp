#include "policy/endpoint_ring.hpp"

#include <algorithm>
#include <boost/multi_index/identity.hpp>
#include <boost/multi_index/ranked_index.hpp>
#include <boost/multi_index_container.hpp>
#include <cmath>
#include <tuple>
#include <utility>

#include "policy/endpoint.hpp"

namespace gateway::policy {
namespace {

constexpr int kHashBits = 53;  // the highest 53 bits of a hash, since a double represents them exactly

std::uint64_t OrderingHash(const Endpoint& endpoint) { return endpoint.hash >> (64 - kHashBits); }

}  // namespace

// The endpoints of one machine type, ordered by hash. Endpoints with equal hashes are ordered by id, so that
// all gateways use the same order.
struct EndpointRing::Order {
  struct ByHash {
    bool operator()(const Endpoint* a, const Endpoint* b) const {
      const std::uint64_t left = OrderingHash(*a);
      const std::uint64_t right = OrderingHash(*b);
      return left != right ? left < right : a->info.id < b->info.id;
    }
  };
  using Endpoints = boost::multi_index_container<
      Endpoint*, boost::multi_index::indexed_by<
                     boost::multi_index::ranked_unique<boost::multi_index::identity<Endpoint*>, ByHash>>>;
  Endpoints endpoints;

  double Position(std::size_t rank) const {
    return static_cast<double>(rank) / static_cast<double>(endpoints.size());
  }
  // Returns the number of endpoints of this machine type before `position`.
  std::size_t CountBefore(double position) const {
    const std::size_t total = endpoints.size();
    const double estimate = std::ceil(position * static_cast<double>(total));
    auto count = static_cast<std::size_t>(std::clamp(estimate, 0.0, static_cast<double>(total)));
    while (count > 0 && Position(count - 1) >= position) --count;  // corrects a rounding error of `estimate`
    while (count < total && Position(count) < position) ++count;
    return count;
  }
};

EndpointRing::EndpointRing() = default;
EndpointRing::~EndpointRing() = default;
EndpointRing::EndpointRing(EndpointRing&&) noexcept = default;
EndpointRing& EndpointRing::operator=(EndpointRing&&) noexcept = default;

void EndpointRing::Insert(Endpoint& endpoint) {
  std::unique_ptr<Order>& order = orders_[endpoint.machine_type];
  if (!order) order = std::make_unique<Order>();
  size_ += order->endpoints.insert(&endpoint).second;
}

void EndpointRing::Erase(Endpoint& endpoint) {
  const auto found = orders_.find(endpoint.machine_type);
  if (found == orders_.end()) return;
  size_ -= found->second->endpoints.erase(&endpoint);
  if (found->second->endpoints.empty()) orders_.erase(found);
}

struct EndpointRing::Walk::Cursor {
  const Order* order;
  Order::Endpoints::const_iterator iterator;
  std::size_t rank;
  int lap = 0;  // number of completed laps around the ring

  void Advance() {
    ++iterator;
    ++rank;
    Wrap();
  }
  void Wrap() {
    if (rank < order->endpoints.size()) return;
    iterator = order->endpoints.begin();
    rank = 0;
    ++lap;
  }
  // Returns whether `other` precedes this cursor on the ring. The order is reversed because std::push_heap
  // builds a max-heap. Endpoints of different types with the same position are ordered by hash.
  bool operator<(const Cursor& other) const { return Key() > other.Key(); }

 private:
  std::tuple<int, double, std::uint64_t> Key() const {
    return {lap, order->Position(rank), OrderingHash(**iterator)};
  }
};

EndpointRing::Walk::Walk(const EndpointRing& ring, std::size_t first) : ring_(ring) {
  // Before any position, a machine type has at most one endpoint more than its proportional share. Therefore
  // the walk begins `types` + 1 endpoints before `first`, where the 1 allows for rounding, and then skips the
  // endpoints up to `first`.
  const double types = static_cast<double>(ring.orders_.size());
  const double total = static_cast<double>(ring.size_);
  std::size_t skipped = BeginAt((static_cast<double>(first) - types - 1) / total);
  for (; skipped < first; ++skipped) Next();
}

EndpointRing::Walk::~Walk() = default;

std::size_t EndpointRing::Walk::BeginAt(double position) {
  std::size_t skipped = 0;
  for (const auto& [type, order] : ring_.orders_) {
    const std::size_t rank = order->CountBefore(position);
    skipped += rank;
    heap_.push_back({order.get(), order->endpoints.nth(rank), rank});
    heap_.back().Wrap();
  }
  std::make_heap(heap_.begin(), heap_.end());
  return skipped;
}

Endpoint& EndpointRing::Walk::Next() {
  std::pop_heap(heap_.begin(), heap_.end());
  Endpoint& endpoint = **heap_.back().iterator;
  heap_.back().Advance();
  std::push_heap(heap_.begin(), heap_.end());
  return endpoint;
}

}  // namespace gateway::policy
