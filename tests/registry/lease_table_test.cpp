// Leases and self-preservation in simulated time.
#include "registry/lease_table.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <string>

#include "registry/catalog.hpp"

namespace gateway::registry {
namespace {

using base::Millis;

constexpr Revision kInitialRevision = 100;

// A catalog and its leases with a tick every 200 ms, and members that renew.
struct LeaseSimulation {
  explicit LeaseSimulation(int members, LeaseOptions options = {}) : leases(options) {
    for (int i = 0; i < members; ++i) {
      Command c;
      c.member.id = "m" + std::to_string(i);
      c.member.zone = std::string(1, static_cast<char>('a' + i % 3));
      c.member.lease_duration = 10000;
      c.member.incarnation = 1;
      Apply(c);
    }
  }
  void Apply(const Command& c) {
    const CommandResult result = catalog.Apply(c);
    if (!result.ok()) return leases.OnProposalFailed(c);
    const Member* const member = catalog.Find(c.member.id);
    leases.OnMemberChanged(member != nullptr ? *member : catalog.history().back(), now);
  }
  // Members for which `renews` is true renew every 3.2 s, each at its own time.
  void Run(Millis time, const std::function<bool(int)>& renews) {
    for (const Millis until = now + time; now < until;) {
      now += 200;
      for (int i = 0; i < 200; ++i) {
        const std::string id = "m" + std::to_string(i);
        if (!catalog.Find(id) || !renews(i) || static_cast<int>(now / 200 + i) % 16 != 0) continue;
        if (leases.Renew(id, 1, now) == RenewalResult::kRecovered) {
          Command c;
          c.action = Action::kRecover;
          c.member.id = id;
          Apply(c);
        }
      }
      for (const Command& c : leases.Tick(now)) Apply(c);
      if (!leases.preserved_zones().empty()) ++preserved_ticks;
    }
  }
  int Suspects() const {
    int count = 0;
    for (const auto& [id, member] : catalog.members()) count += member.suspect;
    return count;
  }
  Catalog catalog{"e", kInitialRevision};
  LeaseTable leases;
  Millis now = 0;
  int preserved_ticks = 0;
};

TEST(LeaseTable, RemovesAFewDeadMembersAfterLeaseGraceAndTick) {
  LeaseSimulation simulation(60);
  const auto dead = [](int i) { return i == 4 || i == 20 || i == 51; };
  simulation.Run(20000, [](int) { return true; });
  simulation.Run(10200, [&](int i) { return !dead(i); });
  EXPECT_EQ(simulation.catalog.members().size(), 60u);
  EXPECT_EQ(simulation.Suspects(), 3);
  simulation.Run(5200, [&](int i) { return !dead(i); });
  EXPECT_EQ(simulation.catalog.members().size(), 57u);
  EXPECT_EQ(simulation.preserved_ticks, 0);
}

TEST(LeaseTable, RemovesNoMemberWhereManyLeasesLapseTogether) {
  LeaseSimulation simulation(60);
  const auto cut = [](int i) { return i % 5 < 3; };  // 36 of 60
  simulation.Run(20000, [](int) { return true; });
  simulation.Run(600000, [&](int i) { return !cut(i); });
  EXPECT_EQ(simulation.catalog.members().size(), 60u);
  EXPECT_EQ(simulation.leases.preserved_zones().size(), 4u);  // all, and each zone
  // It ends without help, and no member is removed for returning last.
  simulation.Run(20000, [](int) { return true; });
  EXPECT_EQ(simulation.catalog.members().size(), 60u);
  EXPECT_EQ(simulation.leases.preserved_zones().size(), 0u);
  EXPECT_EQ(simulation.Suspects(), 0);
}

// Leases that lapse one after another within the window count together: at most a quarter of a zone is
// removed.
TEST(LeaseTable, RemovesNoZoneGradually) {
  LeaseSimulation simulation(60);
  int dead = 0;
  for (int step = 0; step < 20; ++step, ++dead) {
    simulation.Run(2500, [&](int i) { return i % 3 != 0 || i / 3 >= dead; });
  }
  simulation.Run(10000, [&](int i) { return i % 3 != 0; });
  EXPECT_GE(simulation.catalog.members().size(), 60u - 6u);
  EXPECT_LT(simulation.catalog.members().size(), 60u);
}

TEST(LeaseTable, ExtendsAllLeasesAfterAPauseOfTheService) {
  LeaseSimulation simulation(60);
  simulation.Run(20000, [](int) { return true; });
  simulation.now += 60000;  // stopped
  simulation.Run(9800, [](int) { return false; });
  EXPECT_EQ(simulation.Suspects(), 0);
  EXPECT_EQ(simulation.leases.pauses(), 1);
  simulation.Run(30000, [](int) { return true; });
  EXPECT_EQ(simulation.catalog.members().size(), 60u);
}

TEST(LeaseTable, EndsSelfPreservationAfterItsMaximum) {
  LeaseOptions options;
  options.self_preservation.max_duration = 60000;
  LeaseSimulation simulation(60, options);
  simulation.Run(20000, [](int i) { return i % 2 == 0; });
  EXPECT_EQ(simulation.catalog.members().size(), 60u);
  simulation.Run(70000, [](int i) { return i % 2 == 0; });
  EXPECT_EQ(simulation.catalog.members().size(), 30u);
}

TEST(LeaseTable, RejectsRenewalsOnceTheExpiryIsProposed) {
  LeaseSimulation simulation(10);
  LeaseTable& leases = simulation.leases;
  Millis now = 0;
  std::vector<Command> proposals;
  for (; proposals.size() < 2 && now < 30000; now += 200) {
    for (int i = 1; i < 10; ++i) leases.Renew("m" + std::to_string(i), 1, now);
    for (const Command& c : leases.Tick(now)) proposals.push_back(c);
  }
  ASSERT_EQ(proposals.size(), 2u);
  EXPECT_EQ(proposals[1].action, Action::kExpire);
  EXPECT_EQ(leases.Renew("m0", 1, now), RenewalResult::kExpiring);
  EXPECT_EQ(leases.Renew("m1", 2, now), RenewalResult::kStaleIncarnation);
  EXPECT_EQ(leases.Renew("none", 1, now), RenewalResult::kUnknownMember);
  leases.OnProposalFailed(proposals[1]);  // not applied: the lease goes on
  EXPECT_EQ(leases.Renew("m0", 1, now), RenewalResult::kRecovered);
}

}  // namespace
}  // namespace gateway::registry
