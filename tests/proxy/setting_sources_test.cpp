// Tests of the precedence of the sources of a setting, and of the failover between the sources of the address
// of discovery.
#include "proxy/setting_sources.hpp"

#include <gtest/gtest.h>

#include "peers.hpp"
#include "proxy/discovery/source_selection.hpp"
#include "proxy/restart/saved_state.hpp"
#include "proxy/restart/transferred_state.hpp"

namespace gateway::proxy::testing {
namespace {

using Services = std::vector<tcp::endpoint>;

// Returns the sources and services of the candidates, in order.
std::vector<std::pair<SettingSource, Services>> Order(const DiscoverySources& sources) {
  std::vector<std::pair<SettingSource, Services>> order;
  for (const DiscoveryCandidate& candidate : OrderDiscoverySources(sources)) {
    order.emplace_back(candidate.source, candidate.services);
  }
  return order;
}

TEST(SettingSources, OrdersDiscoveryByFileRunningProcessAndEnvironment) {
  const tcp::endpoint a = Loopback(1), b = Loopback(2), c = Loopback(3);
  using Expected = std::vector<std::pair<SettingSource, Services>>;
  EXPECT_EQ(Order({.file = a, .running_process = b, .environment = c}),
            (Expected{{SettingSource::kFile, {a}},
                      {SettingSource::kRunningProcess, {b}},
                      {SettingSource::kEnvironment, {c}}}));
  EXPECT_EQ(Order({.running_process = b, .environment = c}),
            (Expected{{SettingSource::kRunningProcess, {b}}, {SettingSource::kEnvironment, {c}}}));
  EXPECT_EQ(Order({.file_services = {b, c}, .file = a, .running_process = c, .environment = b}),
            (Expected{{SettingSource::kFile, {b, c}}, {SettingSource::kFile, {a}}}));
  EXPECT_EQ(Order({.file = a, .running_process = a, .environment = a}),
            (Expected{{SettingSource::kFile, {a}}}));
}

TEST(SettingSources, PrefersTheEnvironmentForSettingsThatIdentifyTheProcess) {
  const std::vector<SourcedText> both = OrderProcessSetting("127.0.0.1:1", "127.0.0.1:2");
  EXPECT_EQ(both.front(), (SourcedText{SettingSource::kEnvironment, "127.0.0.1:1"}));
  EXPECT_EQ(FindConflict("listen", both).others,
            (std::vector<SourcedText>{{SettingSource::kFile, "127.0.0.1:2"}}));
  EXPECT_EQ(OrderProcessSetting(std::nullopt, "n1").front(), (SourcedText{SettingSource::kFile, "n1"}));
  EXPECT_TRUE(FindConflict("name", OrderProcessSetting("n1", "n1")).others.empty());
}

// Returns a list with one endpoint.
EndpointList ListOf(std::int64_t revision) {
  EndpointList list;
  list.revision = revision;
  list.endpoints.push_back({});
  return list;
}

TEST(SettingSources, PrefersTheListOfThePredecessorThenTheNewerOneOfSavedStateAndFile) {
  const TransferredState transferred{ListOf(5), {}};
  const auto saved = [](std::int64_t revision) {
    return std::optional<SavedState>(SavedState{ListOf(revision), true, 0, std::nullopt});
  };
  const EndpointList file = ListOf(7);
  EXPECT_EQ(ChooseInitialList(file, transferred, saved(9)).list.revision, 5);
  EXPECT_EQ(ChooseInitialList(file, std::nullopt, saved(9)).source, SettingSource::kSavedState);
  EXPECT_FALSE(ChooseInitialList(file, std::nullopt, saved(9)).position_is_current);
  EXPECT_EQ(ChooseInitialList(file, std::nullopt, saved(7)).source, SettingSource::kFile);
  EXPECT_EQ(ChooseInitialList(file, std::nullopt, std::nullopt).source, SettingSource::kFile);
  EXPECT_FALSE(ChooseInitialDrain(transferred, saved(9)));
  EXPECT_TRUE(ChooseInitialDrain(std::nullopt, saved(9)));

  const InitialList chosen = ChooseInitialList(file, transferred, saved(9));
  EXPECT_EQ(FindConflict(chosen, file, transferred, saved(9)).others,
            (std::vector<SourcedText>{{SettingSource::kSavedState, "revision 9"},
                                      {SettingSource::kFile, "revision 7"}}));
}

// The address is optional in the transferred state, because earlier versions do not send it. A malformed
// address must not prevent the transfer of the rest.
TEST(TransferredState, ContainsTheAddressOfDiscoveryIfThePredecessorSendsIt) {
  TransferredState state{ListOf(5), {}, Loopback(8500)};
  state.list.endpoints.clear();
  const std::string text = SerializeTransferredState(state);
  ASSERT_TRUE(ParseTransferredState(text));
  EXPECT_EQ(ParseTransferredState(text)->discovery, Loopback(8500));
  state.discovery.reset();
  EXPECT_EQ(ParseTransferredState(SerializeTransferredState(state))->discovery, std::nullopt);
  nlohmann::json malformed = nlohmann::json::parse(text);
  for (const nlohmann::json& value : {nlohmann::json("nowhere"), nlohmann::json(8500), nlohmann::json()}) {
    malformed["discovery"] = value;
    ASSERT_TRUE(ParseTransferredState(malformed.dump())) << value;
    EXPECT_EQ(ParseTransferredState(malformed.dump())->discovery, std::nullopt) << value;
  }
}

// The SourceSelection tests call the state machine directly and pass simulated times in ms.
constexpr Millis kCatchUp = SourceSelection::kCatchUpTimeoutMs;

TEST(SourceSelection, IsSettledIfThereIsOneCandidate) {
  SourceSelection selection(1, {41, ""});
  EXPECT_TRUE(selection.settled());
  selection.RecordFailure(0);
  EXPECT_TRUE(selection.settled());
  EXPECT_EQ(selection.Target(0), std::nullopt);
}

// The address of an old source may refuse connections, or respond with an error to every call.
TEST(SourceSelection, LeavesACandidateThatNeverRespondedAfterOneFailure) {
  SourceSelection selection(3, {41, ""});
  selection.RecordProbe(1, std::nullopt, 0);
  selection.RecordProbe(2, WatchPosition{41, ""}, 0);
  EXPECT_EQ(selection.Target(0), std::nullopt);
  selection.RecordFailure(10);
  EXPECT_EQ(selection.Target(10), 2u);
  selection.SwitchTo(2);
  EXPECT_EQ(selection.Target(10), std::nullopt);
}

// A single failed call of a service that responds is no reason to watch another one.
TEST(SourceSelection, LeavesACandidateThatRespondedAfterTwoFailuresInARow) {
  SourceSelection selection(2, {41, ""});
  selection.RecordList({41, ""});
  selection.RecordProbe(1, WatchPosition{41, ""}, 0);
  selection.RecordFailure(10);
  EXPECT_EQ(selection.Target(10), std::nullopt);
  selection.RecordList({41, ""});
  selection.RecordFailure(20);
  EXPECT_EQ(selection.Target(20), std::nullopt);
  selection.RecordFailure(30);
  EXPECT_EQ(selection.Target(30), 1u);
}

// Another service may use the address that discovery has left, and respond with a list that never changes.
TEST(SourceSelection, LeavesACandidateThatMissesARevisionUnlessItCatchesUp) {
  SourceSelection selection(2, {41, ""});
  selection.RecordList({41, ""});
  selection.RecordProbe(1, WatchPosition{42, ""}, 100);
  EXPECT_TRUE(selection.HasNewerProbe());
  EXPECT_EQ(selection.Target(100 + kCatchUp - 1), std::nullopt);
  EXPECT_EQ(selection.Target(100 + kCatchUp), 1u);
  selection.RecordList({42, ""});
  EXPECT_EQ(selection.Target(100 + kCatchUp), std::nullopt);
}

TEST(SourceSelection, SettlesWhenTheWatchHasReceivedAChange) {
  SourceSelection selection(2, {41, ""});
  selection.RecordList({45, ""});  // the list may have changed before the address was left
  EXPECT_FALSE(selection.settled());
  selection.RecordList({45, ""});
  EXPECT_FALSE(selection.settled());
  selection.RecordList({46, ""});
  EXPECT_TRUE(selection.settled());
  selection.RecordFailure(0);
  EXPECT_FALSE(selection.settled());
  selection.RecordList({46, ""});
  EXPECT_FALSE(selection.settled());
  selection.RecordList({47, ""});
  EXPECT_TRUE(selection.settled());
}

TEST(SourceSelection, DoesNotSwitchToAnOlderList) {
  SourceSelection selection(2, {41, ""});
  selection.RecordProbe(1, WatchPosition{40, ""}, 0);
  selection.RecordFailure(10);
  EXPECT_EQ(selection.Target(10), std::nullopt);
  // After a reload, the service in force may have restarted its revision count. A former service that still
  // responds is not ahead because of that.
  selection.RecordList({7, ""});
  selection.RecordProbe(1, WatchPosition{40, ""}, 20);
  EXPECT_EQ(selection.Target(20 + kCatchUp), std::nullopt);
}

// Lists of different epochs can't be compared. The order of the sources decides between them.
TEST(SourceSelection, ReturnsToACandidateThatTakesPrecedenceIfTheEpochsDiffer) {
  SourceSelection selection(2, {41, "e1"});
  selection.RecordFailure(0);
  selection.RecordProbe(1, WatchPosition{7, "e2"}, 0);
  ASSERT_EQ(selection.Target(0), 1u);
  selection.SwitchTo(1);
  selection.RecordList({7, "e2"});
  selection.RecordList({8, "e2"});
  EXPECT_FALSE(selection.settled());
  selection.RecordProbe(0, WatchPosition{41, "e1"}, 29999);
  EXPECT_EQ(selection.Target(29999), std::nullopt);
  EXPECT_EQ(selection.Target(30000), 0u);
}

}  // namespace
}  // namespace gateway::proxy::testing
