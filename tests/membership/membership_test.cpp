// Tests of the membership protocol in simulated time: joins, datagram loss, crashes, pauses, partitions and
// the merging of states.
#include "membership/membership.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <cstdio>
#include <functional>
#include <memory>
#include <ostream>
#include <set>

namespace gateway::membership {
namespace {

using base::Millis;

constexpr Millis kStep = 10;
constexpr Millis kTickInterval = 50;
constexpr int kSeedCount = 3;
constexpr std::uint32_t kFirstIp = 0x0a000000U;

// Members on a simulated network. The network drops datagrams at `loss_rate` and delays the others by 1.1 to
// 17 ms, like the network within a site. Time advances in steps of 10 ms.
struct SimulatedNetwork {
  explicit SimulatedNetwork(int member_count, double loss_rate = 0, std::uint64_t seed = 1)
      : loss_rate(loss_rate), random(seed) {
    for (int member = 0; member < member_count; ++member) Start(member, 1000);
  }
  static std::string NameOf(int member) { return "n" + std::to_string(member); }
  static Address AddressOf(int member) { return {kFirstIp + static_cast<std::uint32_t>(member), 7946}; }
  static int MemberAt(const Address& address) { return static_cast<int>(address.ip - kFirstIp); }

  void Start(int member, std::uint64_t process_start) {
    const auto index = static_cast<std::size_t>(member);
    if (nodes.size() <= index) {
      nodes.resize(index + 1), running.resize(index + 1), paused.resize(index + 1);
    }
    nodes[index] = std::make_unique<Membership>(MembershipOptions{}, NameOf(member), AddressOf(member),
                                                process_start, random());
    for (int seed = 0; seed < kSeedCount; ++seed) nodes[index]->AddSeedAddress(AddressOf(seed));
    running[index] = true;
    paused[index] = false;
  }
  double NextFraction() { return static_cast<double>(random() >> 11) / 9007199254740992.0; }

  // Sends the datagrams of a member, records its status changes and performs its sync.
  void HandleOutput(int member, ProtocolOutput& out) {
    for (auto& datagram : out.datagrams) {
      ++messages;
      bytes += datagram.bytes.size();
      EXPECT_LE(datagram.bytes.size(), kMaxDatagramBytes);
      const int to = MemberAt(datagram.to);
      if (NextFraction() < loss_rate || (partition_side && partition_side(member) != partition_side(to))) {
        continue;
      }
      const auto delay_steps = static_cast<std::size_t>((1.1 + 15.9 * NextFraction()) / kStep + 1);
      in_flight[(step + delay_steps) % in_flight.size()].push_back({member, to, std::move(datagram.bytes)});
    }
    for (auto& change : out.status_changes) changes.push_back({now, member, std::move(change)});
    const std::optional<Address> sync_with = out.sync_with;
    out = {};
    if (sync_with) Sync(member, MemberAt(*sync_with));
  }

  // Exchanges the states of two members over a connection, which loses no data. Does nothing if the second
  // member is stopped, paused or on the other side of a partition.
  void Sync(int first, int second) {
    const auto first_index = static_cast<std::size_t>(first);
    const auto second_index = static_cast<std::size_t>(second);
    if (second_index >= nodes.size() || !running[second_index] || paused[second_index] ||
        (partition_side && partition_side(first) != partition_side(second))) {
      return;
    }
    const std::string second_state = nodes[second_index]->State();
    const std::string first_state = nodes[first_index]->State();
    sync_bytes += second_state.size() + first_state.size();
    ProtocolOutput out;
    EXPECT_TRUE(nodes[second_index]->MergeState(now, first_state, out));
    HandleOutput(second, out);
    EXPECT_TRUE(nodes[first_index]->MergeState(now, second_state, out));
    HandleOutput(first, out);
  }

  void Run(Millis duration) {
    ProtocolOutput out;
    for (const Millis until = now + duration; now < until;) {
      now += kStep;
      ++step;
      for (auto& datagram : std::exchange(in_flight[step % in_flight.size()], {})) {
        const auto to = static_cast<std::size_t>(datagram.to);
        if (to >= nodes.size() || !running[to]) continue;
        if (paused[to]) {  // the datagram waits in the socket's buffer
          in_flight[(step + 1) % in_flight.size()].push_back(std::move(datagram));
          continue;
        }
        nodes[to]->Receive(now, AddressOf(datagram.from), datagram.bytes, out);
        HandleOutput(datagram.to, out);
      }
      for (std::size_t i = 0; i < nodes.size(); ++i) {
        if (!running[i] || paused[i] || (step + i) % static_cast<std::size_t>(kTickInterval / kStep) != 0) {
          continue;
        }
        nodes[i]->Tick(now, out);
        HandleOutput(static_cast<int>(i), out);
      }
    }
  }

  // Returns whether all running members agree that exactly the running members are alive. Suspects count as
  // alive.
  bool HasConverged() const {
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      if (!running[i]) continue;
      for (std::size_t other = 0; other < nodes.size(); ++other) {
        const auto found = nodes[i]->members().find(NameOf(static_cast<int>(other)));
        const bool alive =
            found != nodes[i]->members().end() && found->second.status <= MemberStatus::kSuspect;
        if (alive != running[other]) return false;
      }
    }
    return true;
  }
  // Runs until HasConverged(). Returns the elapsed time, or -1 if the members have not converged within
  // `timeout`.
  Millis RunUntilConverged(Millis timeout) {
    const Millis start = now;
    while (!HasConverged() && now < start + timeout) Run(100);
    return HasConverged() ? now - start : -1;
  }
  // Returns how often any member declared a running member dead.
  int CountFalseDeaths() const {
    int count = 0;
    for (const auto& reported : changes) {
      const int subject = std::atoi(reported.change.name.c_str() + 1);
      count += reported.change.status == MemberStatus::kDead && running[static_cast<std::size_t>(subject)];
    }
    return count;
  }

  struct Datagram {
    int from, to;
    std::string bytes;
  };
  struct ReportedChange {
    Millis time;
    int reporter;
    StatusChange change;
  };
  double loss_rate;
  std::mt19937_64 random;
  std::vector<std::unique_ptr<Membership>> nodes;
  std::vector<bool> running, paused;
  std::function<bool(int)> partition_side;  // the partition side of a member; empty if there is no partition
  std::vector<std::vector<Datagram>> in_flight{8};
  std::vector<ReportedChange> changes;
  std::uint64_t messages = 0, bytes = 0, sync_bytes = 0;
  std::size_t step = 0;
  Millis now = 0;
};

struct GroupCase {
  int members;
  double loss_rate;
  Millis max_detection;      // time from a crash until a member suspects the crashed member
  Millis max_dissemination;  // time from a crash until all members consider the crashed member dead
  int max_false_deaths;
};

void PrintTo(const GroupCase& group, std::ostream* out) {
  *out << group.members << " members, loss rate " << group.loss_rate;
}

// Returns a test name such as "100MembersWith10PercentLoss".
std::string NameOfGroupCase(const ::testing::TestParamInfo<GroupCase>& info) {
  return std::to_string(info.param.members) + "MembersWith" +
         std::to_string(std::lround(100 * info.param.loss_rate)) + "PercentLoss";
}

class MembershipAtSize : public ::testing::TestWithParam<GroupCase> {};

// In SWIM, a crash is first detected after 1.6 protocol periods on average, and each member sends a constant
// number of messages. Neither value depends on the size of the group. The limits of this test check this
// property. They are wide, because the test does not check performance. The test prints its measurements, so
// that changes can be seen.
TEST_P(MembershipAtSize, DetectsACrashWithoutFalseDeaths) {
  const GroupCase group = GetParam();
  for (std::uint64_t seed = 1; seed <= 1; ++seed) {
    SimulatedNetwork net(group.members, group.loss_rate, seed);
    const Millis join_time = net.RunUntilConverged(120000);
    ASSERT_GE(join_time, 0) << "seed " << seed;
    net.messages = net.bytes = net.sync_bytes = 0;
    net.changes.clear();
    constexpr Millis kQuietPeriod = 600000;
    net.Run(group.members > 100 ? kQuietPeriod / 5 : kQuietPeriod);
    const double seconds = (group.members > 100 ? kQuietPeriod / 5 : kQuietPeriod) / 1000;
    const int false_deaths = net.CountFalseDeaths();
    const double member_seconds = seconds * group.members;
    net.changes.clear();
    const Millis crash_time = net.now;
    net.running[5] = false;
    const Millis dissemination_time = net.RunUntilConverged(300000);
    Millis detection_time = -1;
    for (const auto& reported : net.changes) {
      if (reported.change.name == "n5" && detection_time < 0) detection_time = reported.time - crash_time;
    }
    std::printf(
        "%4d members, loss %2.0f%%, seed %llu: joined after %.1f s; %.2f messages, %.0f bytes and %.0f sync "
        "bytes "
        "per member and second; "
        "%d false deaths in %.0f s; crash suspected after %.1f s, known to all members after %.1f s\n",
        group.members, 100 * group.loss_rate, static_cast<unsigned long long>(seed), join_time / 1000,
        static_cast<double>(net.messages) / member_seconds, static_cast<double>(net.bytes) / member_seconds,
        static_cast<double>(net.sync_bytes) / member_seconds, false_deaths, seconds, detection_time / 1000,
        dissemination_time / 1000);
    EXPECT_LE(false_deaths, group.max_false_deaths) << "seed " << seed;
    EXPECT_GE(detection_time, 0);
    EXPECT_LE(detection_time, group.max_detection) << "seed " << seed;
    EXPECT_GE(dissemination_time, 0) << "seed " << seed;
    EXPECT_LE(dissemination_time, group.max_dissemination) << "seed " << seed;
    EXPECT_LT(net.messages / member_seconds, 6);
  }
}
INSTANTIATE_TEST_SUITE_P(Sizes, MembershipAtSize,
                         ::testing::Values(GroupCase{10, 0, 10000, 60000, 0},
                                           GroupCase{100, 0, 10000, 90000, 0},
                                           GroupCase{300, 0, 10000, 90000, 0},
                                           GroupCase{100, 0.1, 10000, 200000, 0}),
                         NameOfGroupCase);

// During a partition, the members of each half declare the members of the other half dead and remove them.
// Therefore the halves can find each other again only through the seed addresses.
TEST(Membership, PartitionedHalvesMergeAfterThePartitionEnds) {
  SimulatedNetwork net(40);
  ASSERT_GE(net.RunUntilConverged(60000), 0);
  net.partition_side = [](int member) { return member < 20; };
  net.Run(200000);  // long enough for each half to remove the members of the other half
  EXPECT_EQ(net.nodes[0]->alive_count(), 20u);
  EXPECT_EQ(net.nodes[39]->alive_count(), 20u);
  net.partition_side = nullptr;
  const Millis merge_time = net.RunUntilConverged(120000);
  std::printf("40 members converged %.1f s after the end of a partition of 200 s\n", merge_time / 1000);
  EXPECT_GE(merge_time, 0);
}

// When a paused member resumes, all of its timeouts have elapsed. It must not suspect other members, although
// it has missed their messages.
TEST(Membership, PausedMemberDoesNotSuspectOthers) {
  SimulatedNetwork net(30);
  ASSERT_GE(net.RunUntilConverged(60000), 0);
  net.changes.clear();
  net.paused[7] = true;
  net.Run(20000);
  net.paused[7] = false;
  net.Run(60000);
  EXPECT_TRUE(net.HasConverged());
  for (const auto& reported : net.changes) {
    EXPECT_FALSE(reported.change.status >= MemberStatus::kSuspect && reported.change.name != "n7")
        << "n" << reported.reporter << " suspected " << reported.change.name << " at " << reported.time;
  }
}

// A member whose link loses most datagrams may be suspected. It must not cause the other members to declare
// each other dead.
TEST(Membership, MemberWithLossyLinkDoesNotGetOthersDeclaredDead) {
  SimulatedNetwork net(30);
  ASSERT_GE(net.RunUntilConverged(60000), 0);
  net.changes.clear();
  for (int round = 0; round < 1200; ++round) {  // the link works for a fifth of the time
    net.partition_side = round % 5 == 0 ? std::function<bool(int)>() : [](int member) { return member == 3; };
    net.Run(100);
  }
  net.partition_side = nullptr;
  for (const auto& reported : net.changes) {
    EXPECT_FALSE(reported.change.status == MemberStatus::kDead && reported.change.name != "n3" &&
                 reported.reporter != 3)
        << "n" << reported.reporter << " declared " << reported.change.name << " dead at " << reported.time;
  }
  EXPECT_GE(net.RunUntilConverged(120000), 0);
}

// A restarted process must replace the earlier process with the same name. This must also work if the clock
// was set back since the start of the earlier process.
TEST(Membership, RestartedMemberGetsAHigherIncarnation) {
  for (const std::uint64_t process_start : {2000, 500}) {
    SimulatedNetwork net(10);
    ASSERT_GE(net.RunUntilConverged(60000), 0);
    const Incarnation old_incarnation = net.nodes[0]->members().at("n4").incarnation;
    net.Start(4, process_start);
    net.Run(30000);
    EXPECT_TRUE(net.HasConverged());
    EXPECT_GT(net.nodes[0]->members().at("n4").incarnation, old_incarnation) << process_start;
    EXPECT_EQ(net.nodes[0]->members().at("n4").incarnation, net.nodes[4]->self().incarnation);
  }
}

// A member announces its shutdown, so that other members mark it as left. Without the announcement, they
// would first suspect it and then declare it dead.
TEST(Membership, LeavingMemberIsNotSuspected) {
  SimulatedNetwork net(20);
  ASSERT_GE(net.RunUntilConverged(60000), 0);
  net.changes.clear();
  ProtocolOutput out;
  net.nodes[9]->Leave(out);
  net.HandleOutput(9, out);
  net.Run(100);
  net.running[9] = false;
  EXPECT_GE(net.RunUntilConverged(20000), 0);
  for (const auto& reported : net.changes) {
    EXPECT_EQ(reported.change.status, MemberStatus::kLeft) << reported.change.name;
  }
}

// Truncated datagrams and datagrams with a newer protocol version must not change the state. Duplicate
// datagrams must not change which members are alive.
TEST(Membership, DropsMalformedDatagramsAndToleratesDuplicates) {
  SimulatedNetwork net(3);
  ASSERT_GE(net.RunUntilConverged(60000), 0);
  Membership& receiver = *net.nodes[1];
  ProtocolOutput out;
  net.nodes[0]->Tick(net.now + 5000, out);
  net.nodes[0]->Tick(net.now + 5900, out);
  ASSERT_FALSE(out.datagrams.empty());
  const std::string bytes = out.datagrams.front().bytes;
  ProtocolOutput ignored;
  const std::string state_before = receiver.State();
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    std::string newer_version = bytes;
    newer_version[0] = 2;
    receiver.Receive(net.now, SimulatedNetwork::AddressOf(0), newer_version, ignored);
    std::string truncated = bytes.substr(0, size);
    receiver.Receive(net.now, SimulatedNetwork::AddressOf(0), truncated, ignored);
  }
  EXPECT_GE(receiver.malformed(), bytes.size());
  EXPECT_EQ(receiver.State(), state_before);
  for (int i = 0; i < 100; ++i) {
    receiver.Receive(net.now, SimulatedNetwork::AddressOf(0), bytes, ignored);
  }
  EXPECT_EQ(receiver.alive_count(), 3u);
  EXPECT_FALSE(receiver.MergeState(net.now, receiver.State() + "x", ignored));
  EXPECT_THROW(Membership({}, "", {}, 1, 1), std::invalid_argument);
}

// Generates encoded states with one update each. Draws from a few members, incarnations and suspectors, so
// that several updates affect the same member.
rc::Gen<std::vector<std::string>> AnyStates() {
  return rc::gen::container<std::vector<std::string>>(rc::gen::apply(
      [](int name, int incarnation, int status, int suspector, int port) {
        std::string bytes(1, 1);
        const std::string member_name = "m" + std::to_string(name);
        const std::string suspector_name = "a" + std::to_string(suspector);
        const auto put_number = [&](std::uint64_t value, int size) {
          for (int i = 0; i < size; ++i) bytes.push_back(static_cast<char>(value >> (8 * i)));
        };
        put_number(static_cast<std::uint64_t>(status), 1);
        put_number(member_name.size(), 1);
        bytes += member_name;
        put_number(0x0a000001, 4);
        put_number(static_cast<std::uint64_t>(port), 2);
        put_number(static_cast<std::uint64_t>(incarnation), 8);
        put_number(status == 1 ? suspector_name.size() : 0, 1);
        if (status == 1) bytes += suspector_name;
        return bytes;
      },
      rc::gen::inRange(0, 3), rc::gen::inRange(1, 4), rc::gen::inRange(0, 4), rc::gen::inRange(0, 7),
      rc::gen::inRange(1, 3)));
}

std::string MergeAll(const std::vector<std::string>& states) {
  Membership membership({}, "self", {1, 1}, 1, 1);
  ProtocolOutput out;
  for (const std::string& state : states) RC_ASSERT(membership.MergeState(0, state, out));
  return membership.State();
}

// Merging must be commutative, associative and idempotent. Otherwise members that receive the same updates in
// different orders would never agree.
RC_GTEST_PROP(Membership, MergeDoesNotDependOnOrder, ()) {
  const auto states = *AnyStates();
  auto shuffled = states;
  std::mt19937 random(*rc::gen::arbitrary<unsigned>());
  std::shuffle(shuffled.begin(), shuffled.end(), random);
  const std::string merged = MergeAll(states);
  RC_ASSERT(MergeAll(shuffled) == merged);
  shuffled.insert(shuffled.end(), states.begin(), states.end());
  RC_ASSERT(MergeAll(shuffled) == merged);
  const auto middle = states.begin() + static_cast<std::ptrdiff_t>(states.size() / 2);
  RC_ASSERT(MergeAll({MergeAll({states.begin(), middle}), MergeAll({middle, states.end()})}) == merged);
}

}  // namespace
}  // namespace gateway::membership
