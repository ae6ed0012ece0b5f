// The ring of servers against a plain reference that sorts all of them anew.
#include "policy/server_ring.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include "policy/state.hpp"

namespace gateway::policy {
namespace {

// Positions of all servers as ServerRing defines them, worked out from the whole list.
std::vector<const Backend*> SortedByPosition(const std::vector<Backend*>& servers) {
  std::map<const Kind*, std::vector<const Backend*>> kinds;
  for (const Backend* server : servers) kinds[server->kind].push_back(server);
  std::vector<std::tuple<double, std::uint64_t, const Backend*>> placed;
  for (auto& [kind, members] : kinds) {
    std::ranges::sort(members, {}, [](const Backend* b) { return std::pair(b->hash >> 11, b->info.id); });
    for (std::size_t rank = 0; rank < members.size(); ++rank) {
      const double position = static_cast<double>(rank) / static_cast<double>(members.size());
      placed.emplace_back(position, members[rank]->hash >> 11, members[rank]);
    }
  }
  std::ranges::sort(placed);
  std::vector<const Backend*> sorted;
  for (const auto& [position, hash, server] : placed) sorted.push_back(server);
  return sorted;
}

class ServerRingTest : public testing::Test {
 protected:
  Backend& Add(int number, Kind& kind) {
    servers_.push_back(std::make_unique<Backend>());
    Backend& server = *servers_.back();
    server.info.id = "host-" + std::to_string(number);
    server.hash = Hash(server.info.id);
    server.kind = &kind;
    return server;
  }
  void ExpectWalksAsSorted(const ServerRing& ring, const std::vector<Backend*>& on_ring, std::size_t first) {
    const std::vector<const Backend*> sorted = SortedByPosition(on_ring);
    ASSERT_EQ(ring.size(), sorted.size());
    ServerRing::Walk walk(ring, first);
    for (std::size_t i = 0; i < 2 * sorted.size() + 1; ++i) {
      ASSERT_EQ(&walk.Next(), sorted[(first + i) % sorted.size()]) << "from " << first << ", step " << i;
    }
  }

  std::vector<std::unique_ptr<Backend>> servers_;
};

TEST_F(ServerRingTest, WalksInTheOrderOfPositionsWhateverCameAndWent) {
  constexpr int kSeeds = 200, kMostServers = 60, kMostKinds = 9;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937 random(static_cast<std::mt19937::result_type>(seed));
    std::vector<Kind> kinds(1 + random() % kMostKinds);
    std::vector<Backend*> on_ring;
    ServerRing ring;
    servers_.clear();
    const int all = 1 + static_cast<int>(random() % kMostServers);
    for (int number = 0; number < all; ++number) {
      Backend& server = Add(number, kinds[random() % kinds.size()]);
      ring.Insert(server);
      on_ring.push_back(&server);
      if (random() % 3 > 0) continue;
      const std::size_t leaving = random() % on_ring.size();
      ring.Erase(*on_ring[leaving]);
      on_ring.erase(on_ring.begin() + static_cast<std::ptrdiff_t>(leaving));
    }
    for (std::size_t first = 0; first < on_ring.size(); ++first) ExpectWalksAsSorted(ring, on_ring, first);
    if (HasFatalFailure()) return;
  }
}

TEST_F(ServerRingTest, HoldsNothingOnceAllHaveLeft) {
  Kind kind;
  ServerRing ring;
  Backend& server = Add(1, kind);
  ring.Insert(server);
  ring.Erase(server);
  ring.Erase(server);  // not on the ring: nothing happens
  EXPECT_EQ(ring.size(), 0u);
  const ServerRing::Walk walk(ring, 0);  // of an empty ring: may be made, has no next server
}

TEST_F(ServerRingTest, ManyKindsOfOneServerEachKeepTheirOrderByHash) {
  std::vector<Kind> kinds(910);
  std::vector<Backend*> on_ring;
  ServerRing ring;
  for (std::size_t i = 0; i < kinds.size(); ++i) {
    on_ring.push_back(&Add(static_cast<int>(i), kinds[i]));
    ring.Insert(*on_ring.back());
  }
  ExpectWalksAsSorted(ring, on_ring, 0);
  ExpectWalksAsSorted(ring, on_ring, 500);
}

}  // namespace
}  // namespace gateway::policy
