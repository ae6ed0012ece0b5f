// Membership in simulated time: joins, loss, crashes, pauses, partitions, and updates in any order.
#include "membership/membership.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdio>
#include <functional>
#include <memory>
#include <set>

namespace gateway::membership {
namespace {

using base::Millis;

constexpr Millis kStep = 10;
constexpr Millis kTickEvery = 50;

// Members on a network that loses and delays as the site's does (1.1 to 17 ms), in steps of 10 ms.
struct SimulatedNetwork {
  explicit SimulatedNetwork(int members, double loss = 0, std::uint64_t seed = 1) : loss(loss), random(seed) {
    for (int i = 0; i < members; ++i) Start(i, 1000);
  }
  static std::string Name(int i) { return "n" + std::to_string(i); }
  static Address At(int i) { return {0x0a000000U + static_cast<std::uint32_t>(i), 7946}; }

  void Start(int i, std::uint64_t started) {
    const auto at = static_cast<std::size_t>(i);
    if (all.size() <= at) all.resize(at + 1), up.resize(at + 1), stopped.resize(at + 1);
    all[at] = std::make_unique<Membership>(MembershipOptions{}, Name(i), At(i), started, random());
    for (int s = 0; s < 3; ++s) all[at]->AddSeedAddress(At(s));
    up[at] = true;
    stopped[at] = false;
  }
  double Draw() { return static_cast<double>(random() >> 11) / 9007199254740992.0; }

  void Deliver(int i, ProtocolOutput& out) {
    for (auto& datagram : out.datagrams) {
      ++messages;
      bytes += datagram.bytes.size();
      EXPECT_LE(datagram.bytes.size(), kMaxDatagramBytes);
      const int to = static_cast<int>(datagram.to.ip - 0x0a000000U);
      if (Draw() < loss || (cut && cut(i) != cut(to))) continue;
      const auto due = static_cast<std::size_t>((1.1 + 15.9 * Draw()) / kStep + 1);
      in_flight[(step + due) % in_flight.size()].push_back({i, to, std::move(datagram.bytes)});
    }
    for (auto& change : out.status_changes) changes.push_back({now, i, std::move(change)});
    const std::optional<Address> with = out.sync_with;
    out = {};
    if (with) Sync(i, static_cast<int>(with->ip - 0x0a000000U));
  }

  // Over a connection: nothing is lost, and it comes about or not at all.
  void Sync(int one, int other) {
    const auto a = static_cast<std::size_t>(one), b = static_cast<std::size_t>(other);
    if (b >= all.size() || !up[b] || stopped[b] || (cut && cut(one) != cut(other))) return;
    const std::string theirs = all[b]->State(), ours = all[a]->State();
    synced += theirs.size() + ours.size();
    ProtocolOutput out;
    EXPECT_TRUE(all[b]->MergeState(now, ours, out));
    Deliver(other, out);
    EXPECT_TRUE(all[a]->MergeState(now, theirs, out));
    Deliver(one, out);
  }

  void Run(Millis time) {
    ProtocolOutput out;
    for (const Millis until = now + time; now < until;) {
      now += kStep;
      ++step;
      for (auto& datagram : std::exchange(in_flight[step % in_flight.size()], {})) {
        const auto to = static_cast<std::size_t>(datagram.to);
        if (to >= all.size() || !up[to]) continue;
        if (stopped[to]) {  // it waits in the socket
          in_flight[(step + 1) % in_flight.size()].push_back(std::move(datagram));
          continue;
        }
        all[to]->Receive(now, At(datagram.from), datagram.bytes, out);
        Deliver(datagram.to, out);
      }
      for (std::size_t i = 0; i < all.size(); ++i) {
        if (!up[i] || stopped[i] || (step + i) % static_cast<std::size_t>(kTickEvery / kStep) != 0) continue;
        all[i]->Tick(now, out);
        Deliver(static_cast<int>(i), out);
      }
    }
  }

  // Whether each running member counts exactly the running members as alive, suspects included.
  bool Agreed() const {
    for (std::size_t i = 0; i < all.size(); ++i) {
      if (!up[i]) continue;
      for (std::size_t other = 0; other < all.size(); ++other) {
        const auto found = all[i]->members().find(Name(static_cast<int>(other)));
        const bool alive = found != all[i]->members().end() && found->second.status <= MemberStatus::kSuspect;
        if (alive != up[other]) return false;
      }
    }
    return true;
  }
  // Until they agree; how long it took, or -1.
  Millis Settle(Millis most) {
    const Millis begun = now;
    while (!Agreed() && now < begun + most) Run(100);
    return Agreed() ? now - begun : -1;
  }
  // Number of times that a member declared a running member dead.
  int FalseDeaths() const {
    int count = 0;
    for (const auto& t : changes) {
      const int about = std::atoi(t.change.name.c_str() + 1);
      count += t.change.status == MemberStatus::kDead && up[static_cast<std::size_t>(about)];
    }
    return count;
  }

  struct Datagram {
    int from, to;
    std::string bytes;
  };
  struct ReportedChange {
    Millis at;
    int by;
    StatusChange change;
  };
  double loss;
  std::mt19937_64 random;
  std::vector<std::unique_ptr<Membership>> all;
  std::vector<bool> up, stopped;
  std::function<bool(int)> cut;  // which side of a cut a member is on
  std::vector<std::vector<Datagram>> in_flight{8};
  std::vector<ReportedChange> changes;
  std::uint64_t messages = 0, bytes = 0, synced = 0;
  std::size_t step = 0;
  Millis now = 0;
};

struct Row {
  int members;
  double loss;
  Millis max_detection;      // of one crash, until a member suspects it
  Millis max_dissemination;  // until all members know it
  int max_false_deaths;
};

class MembershipAtSize : public ::testing::TestWithParam<Row> {};

// SWIM: detection by anyone takes 1.6 periods on average whatever the size, and load a member is flat.
// Printed, so that a change shows; bounds are wide, rules and not speeds.
TEST_P(MembershipAtSize, DetectsACrashWithoutFalseDeaths) {
  const Row row = GetParam();
  for (std::uint64_t seed = 1; seed <= 1; ++seed) {
    SimulatedNetwork net(row.members, row.loss, seed);
    const Millis joined = net.Settle(120000);
    ASSERT_GE(joined, 0) << "seed " << seed;
    net.messages = net.bytes = net.synced = 0;
    net.changes.clear();
    constexpr Millis kCalm = 600000;
    net.Run(row.members > 100 ? kCalm / 5 : kCalm);
    const double seconds = (row.members > 100 ? kCalm / 5 : kCalm) / 1000;
    const int wrong = net.FalseDeaths();
    const double each = seconds * row.members;
    net.changes.clear();
    const Millis died = net.now;
    net.up[5] = false;
    const Millis known = net.Settle(300000);
    Millis doubted = -1;
    for (const auto& t : net.changes) {
      if (t.change.name == "n5" && doubted < 0) doubted = t.at - died;
    }
    std::printf(
        "%4d members, loss %2.0f%%, seed %llu: joined %.1f s; %.2f messages, %.0f bytes and %.0f of syncs a "
        "member a second; "
        "false deaths %d in %.0f s; a crash doubted after %.1f s, known to all after %.1f s\n",
        row.members, 100 * row.loss, static_cast<unsigned long long>(seed), joined / 1000,
        static_cast<double>(net.messages) / each, static_cast<double>(net.bytes) / each,
        static_cast<double>(net.synced) / each, wrong, seconds, doubted / 1000, known / 1000);
    EXPECT_LE(wrong, row.max_false_deaths) << "seed " << seed;
    EXPECT_GE(doubted, 0);
    EXPECT_LE(doubted, row.max_detection) << "seed " << seed;
    EXPECT_GE(known, 0) << "seed " << seed;
    EXPECT_LE(known, row.max_dissemination) << "seed " << seed;
    EXPECT_LT(net.messages / each, 6);
  }
}
INSTANTIATE_TEST_SUITE_P(Sizes, MembershipAtSize,
                         ::testing::Values(Row{10, 0, 10000, 60000, 0}, Row{100, 0, 10000, 90000, 0},
                                           Row{300, 0, 10000, 90000, 0}, Row{100, 0.1, 10000, 200000, 0}));

TEST(Membership, PartitionedHalvesMergeAgain) {
  SimulatedNetwork net(40);
  ASSERT_GE(net.Settle(60000), 0);
  net.cut = [](int i) { return i < 20; };
  net.Run(200000);  // each half has declared the other dead and forgotten it
  EXPECT_EQ(net.all[0]->alive_count(), 20u);
  EXPECT_EQ(net.all[39]->alive_count(), 20u);
  net.cut = nullptr;
  const Millis healed = net.Settle(120000);
  std::printf("40 members agree %.1f s after a cut of 200 s was healed\n", healed / 1000);
  EXPECT_GE(healed, 0);
}

// A member that was paused resumes with old updates and suspects no other for it.
TEST(Membership, APausedMemberSuspectsNoOther) {
  SimulatedNetwork net(30);
  ASSERT_GE(net.Settle(60000), 0);
  net.changes.clear();
  net.stopped[7] = true;
  net.Run(20000);
  net.stopped[7] = false;
  net.Run(60000);
  EXPECT_TRUE(net.Agreed());
  for (const auto& t : net.changes) {
    EXPECT_FALSE(t.change.status >= MemberStatus::kSuspect && t.change.name != "n7")
        << "n" << t.by << " considered " << t.change.name << " for ill at " << t.at;
  }
}

// A member whose link loses most datagrams may be suspected; its own suspicions kill no other.
TEST(Membership, AMemberWithABadLinkDeclaresNoOtherDead) {
  SimulatedNetwork net(30);
  ASSERT_GE(net.Settle(60000), 0);
  net.changes.clear();
  for (int round = 0; round < 1200; ++round) {  // open a fifth of the time
    net.cut = round % 5 == 0 ? std::function<bool(int)>() : [](int i) { return i == 3; };
    net.Run(100);
  }
  net.cut = nullptr;
  for (const auto& t : net.changes) {
    EXPECT_FALSE(t.change.status == MemberStatus::kDead && t.change.name != "n3" && t.by != 3)
        << "n" << t.by << " considered " << t.change.name << " for dead at " << t.at;
  }
  EXPECT_GE(net.Settle(120000), 0);
}

// A restarted process under an old name, also where its clock is behind that of the old one.
TEST(Membership, ARestartGetsAHigherIncarnation) {
  for (const std::uint64_t started : {2000, 500}) {
    SimulatedNetwork net(10);
    ASSERT_GE(net.Settle(60000), 0);
    const Incarnation old = net.all[0]->members().at("n4").incarnation;
    net.Start(4, started);
    net.Run(30000);
    EXPECT_TRUE(net.Agreed());
    EXPECT_GT(net.all[0]->members().at("n4").incarnation, old) << started;
    EXPECT_EQ(net.all[0]->members().at("n4").incarnation, net.all[4]->self().incarnation);
  }
}

TEST(Membership, ALeavingMemberIsNotSuspected) {
  SimulatedNetwork net(20);
  ASSERT_GE(net.Settle(60000), 0);
  net.changes.clear();
  ProtocolOutput out;
  net.all[9]->Leave(out);
  net.Deliver(9, out);
  net.Run(100);
  net.up[9] = false;
  EXPECT_GE(net.Settle(20000), 0);
  for (const auto& t : net.changes) EXPECT_EQ(t.change.status, MemberStatus::kLeft) << t.change.name;
}

TEST(Membership, DropsMalformedDatagramsAndToleratesRepetition) {
  SimulatedNetwork net(3);
  ASSERT_GE(net.Settle(60000), 0);
  Membership& one = *net.all[1];
  ProtocolOutput out;
  net.all[0]->Tick(net.now + 5000, out);
  net.all[0]->Tick(net.now + 5900, out);
  ASSERT_FALSE(out.datagrams.empty());
  const std::string bytes = out.datagrams.front().bytes;
  ProtocolOutput ignored;
  const std::string before = one.State();
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    std::string future = bytes;
    future[0] = 2;
    one.Receive(net.now, SimulatedNetwork::At(0), future, ignored);
    std::string hurt = bytes.substr(0, size);
    one.Receive(net.now, SimulatedNetwork::At(0), hurt, ignored);
  }
  EXPECT_GE(one.malformed(), bytes.size());
  EXPECT_EQ(one.State(), before);
  for (int i = 0; i < 100; ++i) one.Receive(net.now, SimulatedNetwork::At(0), bytes, ignored);
  EXPECT_EQ(one.alive_count(), 3u);
  EXPECT_FALSE(one.MergeState(net.now, one.State() + "x", ignored));
  EXPECT_THROW(Membership({}, "", {}, 1, 1), std::invalid_argument);
}

// States of one update each, of few members, incarnations and suspectors, so that they concern the same ones.
rc::Gen<std::vector<std::string>> AnyStates() {
  return rc::gen::container<std::vector<std::string>>(rc::gen::apply(
      [](int name, int incarnation, int status, int accuser, int port) {
        std::string bytes(1, 1);
        const std::string who = "m" + std::to_string(name), by = "a" + std::to_string(accuser);
        const auto put = [&](std::uint64_t value, int size) {
          for (int i = 0; i < size; ++i) bytes.push_back(static_cast<char>(value >> (8 * i)));
        };
        put(static_cast<std::uint64_t>(status), 1);
        put(who.size(), 1);
        bytes += who;
        put(0x0a000001, 4);
        put(static_cast<std::uint64_t>(port), 2);
        put(static_cast<std::uint64_t>(incarnation), 8);
        put(status == 1 ? by.size() : 0, 1);
        if (status == 1) bytes += by;
        return bytes;
      },
      rc::gen::inRange(0, 3), rc::gen::inRange(1, 4), rc::gen::inRange(0, 4), rc::gen::inRange(0, 7),
      rc::gen::inRange(1, 3)));
}

std::string MergeAll(const std::vector<std::string>& states) {
  Membership one({}, "self", {1, 1}, 1, 1);
  ProtocolOutput out;
  for (const std::string& state : states) RC_ASSERT(one.MergeState(0, state, out));
  return one.State();
}

// Merging is commutative, associative and idempotent.
RC_GTEST_PROP(Membership, MergesTheSameInAnyOrder, ()) {
  const auto states = *AnyStates();
  auto shuffled = states;
  std::mt19937 random(*rc::gen::arbitrary<unsigned>());
  std::shuffle(shuffled.begin(), shuffled.end(), random);
  const std::string once = MergeAll(states);
  RC_ASSERT(MergeAll(shuffled) == once);
  shuffled.insert(shuffled.end(), states.begin(), states.end());
  RC_ASSERT(MergeAll(shuffled) == once);
  const auto half = states.begin() + static_cast<std::ptrdiff_t>(states.size() / 2);
  RC_ASSERT(MergeAll({MergeAll({states.begin(), half}), MergeAll({half, states.end()})}) == once);
}

}  // namespace
}  // namespace gateway::membership
