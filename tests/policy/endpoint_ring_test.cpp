// Compares the endpoint ring with a reference implementation that sorts all endpoints.
#include "policy/endpoint_ring.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "policy/endpoint.hpp"
#include "policy/hash.hpp"

namespace gateway::policy {
namespace {

// Returns all endpoints, sorted by their positions on the ring. endpoint_ring.hpp defines the positions.
std::vector<const Endpoint*> SortedByPosition(const std::vector<Endpoint*>& endpoints) {
  std::map<const MachineType*, std::vector<const Endpoint*>> types;
  for (const Endpoint* endpoint : endpoints) types[endpoint->machine_type].push_back(endpoint);
  std::vector<std::tuple<double, std::uint64_t, const Endpoint*>> by_position;
  for (auto& [type, members] : types) {
    std::ranges::sort(members, {},
                      [](const Endpoint* member) { return std::pair(member->hash >> 11, member->info.id); });
    for (std::size_t rank = 0; rank < members.size(); ++rank) {
      const double position = static_cast<double>(rank) / static_cast<double>(members.size());
      by_position.emplace_back(position, members[rank]->hash >> 11, members[rank]);
    }
  }
  std::ranges::sort(by_position);
  std::vector<const Endpoint*> sorted;
  sorted.reserve(by_position.size());
  for (const auto& [position, hash, endpoint] : by_position) sorted.push_back(endpoint);
  return sorted;
}

class EndpointRingTest : public testing::Test {
 protected:
  Endpoint& CreateEndpoint(int number, MachineType& type) {
    endpoints_.push_back(std::make_unique<Endpoint>());
    Endpoint& endpoint = *endpoints_.back();
    endpoint.info.id = "host-" + std::to_string(number);
    endpoint.hash = Hash(endpoint.info.id);
    endpoint.machine_type = &type;
    return endpoint;
  }
  void ExpectSortedWalk(const EndpointRing& ring, const std::vector<Endpoint*>& on_ring, std::size_t first) {
    const std::vector<const Endpoint*> sorted = SortedByPosition(on_ring);
    ASSERT_EQ(ring.size(), sorted.size());
    EndpointRing::Walk walk(ring, first);
    for (std::size_t i = 0; i < 2 * sorted.size() + 1; ++i) {
      ASSERT_EQ(&walk.Next(), sorted[(first + i) % sorted.size()])
          << "walk from index " << first << ", step " << i;
    }
  }

  std::vector<std::unique_ptr<Endpoint>> endpoints_;
};

TEST_F(EndpointRingTest, WalksInOrderOfPositionsAfterInsertionsAndErasures) {
  constexpr int kSeeds = 200;
  constexpr int kMaximumEndpoints = 60;
  constexpr int kMaximumMachineTypes = 9;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937 random(static_cast<std::mt19937::result_type>(seed));
    std::vector<MachineType> types(1 + random() % kMaximumMachineTypes);
    std::vector<Endpoint*> on_ring;
    EndpointRing ring;
    endpoints_.clear();
    const int endpoint_count = 1 + static_cast<int>(random() % kMaximumEndpoints);
    for (int number = 0; number < endpoint_count; ++number) {
      Endpoint& endpoint = CreateEndpoint(number, types[random() % types.size()]);
      ring.Insert(endpoint);
      on_ring.push_back(&endpoint);
      if (random() % 3 > 0) continue;
      const std::size_t erased = random() % on_ring.size();
      ring.Erase(*on_ring[erased]);
      on_ring.erase(on_ring.begin() + static_cast<std::ptrdiff_t>(erased));
    }
    for (std::size_t first = 0; first < on_ring.size(); ++first) ExpectSortedWalk(ring, on_ring, first);
    if (HasFatalFailure()) return;
  }
}

TEST_F(EndpointRingTest, IsEmptyAfterAllEndpointsAreErased) {
  MachineType type;
  EndpointRing ring;
  Endpoint& endpoint = CreateEndpoint(1, type);
  ring.Insert(endpoint);
  ring.Erase(endpoint);
  ring.Erase(endpoint);  // has no effect, since the endpoint is no longer on the ring
  EXPECT_EQ(ring.size(), 0u);
  const EndpointRing::Walk walk(ring, 0);  // a walk of an empty ring can be constructed
}

TEST_F(EndpointRingTest, OrdersEndpointsByHashWhenEachHasItsOwnMachineType) {
  std::vector<MachineType> types(910);
  std::vector<Endpoint*> on_ring;
  EndpointRing ring;
  for (std::size_t i = 0; i < types.size(); ++i) {
    on_ring.push_back(&CreateEndpoint(static_cast<int>(i), types[i]));
    ring.Insert(*on_ring.back());
  }
  ExpectSortedWalk(ring, on_ring, 0);
  ExpectSortedWalk(ring, on_ring, 500);
}

}  // namespace
}  // namespace gateway::policy
