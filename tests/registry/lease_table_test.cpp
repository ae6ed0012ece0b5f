// Tests of leases and self-preservation in simulated time.
#include "registry/lease_table.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <string>

#include "registry/catalog.hpp"

namespace gateway::registry {
namespace {

using base::Millis;

constexpr Revision kInitialRevision = 100;

// Simulates a catalog, its lease table with a tick every 200 ms, and members that renew their leases.
struct LeaseSimulation {
  explicit LeaseSimulation(int member_count, LeaseOptions options = {}) : leases(options) {
    for (int i = 0; i < member_count; ++i) {
      Command command;
      command.member.id = "m" + std::to_string(i);
      command.member.zone = std::string(1, static_cast<char>('a' + i % 3));
      command.member.lease_duration = 10000;
      command.member.incarnation = 1;
      Apply(command);
    }
  }
  void Apply(const Command& command) {
    const CommandResult result = catalog.Apply(command);
    if (!result.ok()) return leases.OnProposalFailed(command);
    const Member* const member = catalog.Find(command.member.id);
    leases.OnMemberChanged(member != nullptr ? *member : catalog.history().back(), now);
  }
  // Advances the simulated time by `duration`. Each member for which `renews` returns true renews its lease
  // every 3.2 s. The members renew at different times.
  void Run(Millis duration, const std::function<bool(int)>& renews) {
    for (const Millis until = now + duration; now < until;) {
      now += 200;
      for (int i = 0; i < 200; ++i) {
        const std::string id = "m" + std::to_string(i);
        if (!catalog.Find(id) || !renews(i) || static_cast<int>(now / 200 + i) % 16 != 0) continue;
        if (leases.Renew(id, 1, now) == RenewalResult::kRecovered) {
          Command recover;
          recover.action = Action::kRecover;
          recover.member.id = id;
          Apply(recover);
        }
      }
      for (const Command& proposal : leases.Tick(now)) Apply(proposal);
      if (!leases.zones_in_self_preservation().empty()) ++ticks_in_self_preservation;
    }
  }
  int CountSuspects() const {
    int count = 0;
    for (const auto& [id, member] : catalog.members()) count += member.suspect;
    return count;
  }
  Catalog catalog{"e", kInitialRevision};
  LeaseTable leases;
  Millis now = 0;
  int ticks_in_self_preservation = 0;
};

// If only a few members are dead, self-preservation must not start. The dead members must be removed after
// the lease duration, the removal grace period and one tick.
TEST(LeaseTable, RemovesAFewDeadMembersAfterLeaseAndGracePeriod) {
  LeaseSimulation simulation(60);
  const auto dead = [](int i) { return i == 4 || i == 20 || i == 51; };
  simulation.Run(20000, [](int) { return true; });
  simulation.Run(10200, [&](int i) { return !dead(i); });
  EXPECT_EQ(simulation.catalog.members().size(), 60u);
  EXPECT_EQ(simulation.CountSuspects(), 3);
  simulation.Run(5200, [&](int i) { return !dead(i); });
  EXPECT_EQ(simulation.catalog.members().size(), 57u);
  EXPECT_EQ(simulation.ticks_in_self_preservation, 0);
}

// A network failure between the members and the registry must not empty the list.
TEST(LeaseTable, RemovesNoMemberIfManyLeasesExpireTogether) {
  LeaseSimulation simulation(60);
  const auto disconnected = [](int i) { return i % 5 < 3; };  // 36 of 60 members
  simulation.Run(20000, [](int) { return true; });
  simulation.Run(600000, [&](int i) { return !disconnected(i); });
  EXPECT_EQ(simulation.catalog.members().size(), 60u);
  // The result contains zones a, b and c, and the entry for all zones together.
  EXPECT_EQ(simulation.leases.zones_in_self_preservation().size(), 4u);
  // When the members renew again, self-preservation ends. Members that resume their renewals later than
  // others must not be removed.
  simulation.Run(20000, [](int) { return true; });
  EXPECT_EQ(simulation.catalog.members().size(), 60u);
  EXPECT_EQ(simulation.leases.zones_in_self_preservation().size(), 0u);
  EXPECT_EQ(simulation.CountSuspects(), 0);
}

// All leases that expire within the self-preservation window must be counted together, even if the leases
// expire one after another. Otherwise self-preservation would never start, and all members of the zone would
// be removed one by one. At most about a quarter of the members of the zone may be removed.
TEST(LeaseTable, RemovesOnlyPartOfAZoneThatFailsGradually) {
  LeaseSimulation simulation(60);
  int dead = 0;
  for (int step = 0; step < 20; ++step, ++dead) {
    simulation.Run(2500, [&](int i) { return i % 3 != 0 || i / 3 >= dead; });
  }
  simulation.Run(10000, [&](int i) { return i % 3 != 0; });
  EXPECT_GE(simulation.catalog.members().size(), 60u - 6u);
  EXPECT_LT(simulation.catalog.members().size(), 60u);
}

// A suspended service misses renewals. When it resumes, it must not suspect members whose renewals it missed.
TEST(LeaseTable, ExtendsAllLeasesAfterAPauseOfTheService) {
  LeaseSimulation simulation(60);
  simulation.Run(20000, [](int) { return true; });
  simulation.now += 60000;  // the service is suspended
  simulation.Run(9800, [](int) { return false; });
  EXPECT_EQ(simulation.CountSuspects(), 0);
  EXPECT_EQ(simulation.leases.pauses(), 1);
  simulation.Run(30000, [](int) { return true; });
  EXPECT_EQ(simulation.catalog.members().size(), 60u);
}

// Self-preservation must not keep dead members in the list forever, even if many members are dead.
TEST(LeaseTable, EndsSelfPreservationAfterItsMaximumDuration) {
  LeaseOptions options;
  options.self_preservation.max_duration = 60000;
  LeaseSimulation simulation(60, options);
  simulation.Run(20000, [](int i) { return i % 2 == 0; });
  EXPECT_EQ(simulation.catalog.members().size(), 60u);
  simulation.Run(70000, [](int i) { return i % 2 == 0; });
  EXPECT_EQ(simulation.catalog.members().size(), 30u);
}

// Once the removal of a member is proposed, its renewals must be rejected. If a renewal succeeded, the member
// would not register again, although it is about to be removed from the list.
TEST(LeaseTable, RejectsRenewalsOnceRemovalIsProposed) {
  LeaseSimulation simulation(10);
  LeaseTable& leases = simulation.leases;
  Millis now = 0;
  std::vector<Command> proposals;
  for (; proposals.size() < 2 && now < 30000; now += 200) {
    for (int i = 1; i < 10; ++i) leases.Renew("m" + std::to_string(i), 1, now);
    for (const Command& proposal : leases.Tick(now)) proposals.push_back(proposal);
  }
  ASSERT_EQ(proposals.size(), 2u);
  EXPECT_EQ(proposals[1].action, Action::kExpire);
  EXPECT_EQ(leases.Renew("m0", 1, now), RenewalResult::kExpiring);
  EXPECT_EQ(leases.Renew("m1", 2, now), RenewalResult::kStaleIncarnation);
  EXPECT_EQ(leases.Renew("none", 1, now), RenewalResult::kUnknownMember);
  leases.OnProposalFailed(proposals[1]);  // the removal was not applied, so the lease continues
  EXPECT_EQ(leases.Renew("m0", 1, now), RenewalResult::kRecovered);
}

}  // namespace
}  // namespace gateway::registry
