// A gateway's state folder that program 0.1.0 wrote (fixtures/gateway-state-0.1.0): this program reads it to
// the last figure, and would write the same bytes.
#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "gateway/state_keeper.hpp"
#include "store/store.hpp"

namespace opalswitch::testing {
namespace {

constexpr const char* kFixture = FIXTURES "/gateway-state-0.1.0";
constexpr const char* kOwner = "n1 at 127.0.0.1:18081";

class SavedStateCompatibility : public ::testing::Test {
 protected:
  void SetUp() override {
    auto loaded = gateway::LoadState(kFixture, kOwner);
    ASSERT_TRUE(loaded);
    state = std::move(*loaded);
  }
  gateway::KeptState state;
};

void ExpectHost(const gateway::Host& host, const Server& expected, int port) {
  SCOPED_TRACE(expected.id);
  EXPECT_EQ(host.server.id, expected.id);
  EXPECT_EQ(host.server.zone, expected.zone);
  EXPECT_EQ(host.server.kind, expected.kind);
  EXPECT_EQ(host.server.cell, expected.cell);
  EXPECT_EQ(host.server.state, expected.state);
  EXPECT_EQ(host.server.weight, expected.weight);
  EXPECT_EQ(host.server.started_at, expected.started_at);
  EXPECT_EQ(host.address.address().to_string(), "127.0.0.1");
  EXPECT_EQ(host.address.port(), port);
}

TEST_F(SavedStateCompatibility, ReadsTheListAndTheDrain) {
  EXPECT_TRUE(state.draining);
  EXPECT_EQ(state.kept_at, 1796285272906.8577);
  EXPECT_EQ(state.list.revision, 42);
  EXPECT_TRUE(state.list.complete);
  EXPECT_EQ(state.list.epoch, "c0ffee");
  EXPECT_EQ(state.list.confirmed, 0);
  ASSERT_EQ(state.list.hosts.size(), 5u);
  ExpectHost(state.list.hosts[0], {"h0", "a", "m2", "3", ServerState::kUp, 1, 0}, 18090);
  ExpectHost(state.list.hosts[1], {"h1", "a", "m4", "\"north\"", ServerState::kUp, 2.5, 1764600000001},
             18091);
  ExpectHost(state.list.hosts[2], {"h2", "a", "m2", "3", ServerState::kUp, 0.5, 0}, 18092);
  ExpectHost(state.list.hosts[3], {"h3", "b", "m2", "null", ServerState::kDraining, 1, 0}, 18093);
  ExpectHost(state.list.hosts[4], {"h4", "a", "m4", "3", ServerState::kUp, 1, 0}, 18094);
}

TEST_F(SavedStateCompatibility, ReadsWhatWasLearnedOfTheWhole) {
  ASSERT_TRUE(state.learned);
  const Learned& learned = *state.learned;
  EXPECT_EQ(learned.at, 1796285282945.4043);
  EXPECT_EQ(learned.gateways, 1);
  EXPECT_EQ(learned.rate, 4000.0);
  EXPECT_EQ(learned.spent, 0.3514089762458524);
  EXPECT_EQ(learned.failing, 0.0005652467290177246);
  EXPECT_EQ(learned.mean_latency, 50.79831683027548);
  EXPECT_EQ(learned.samples, 115);
}

TEST_F(SavedStateCompatibility, ReadsWhatWasLearnedOfClasses) {
  struct Expected {
    const char* name;
    double latency;
    int samples;
    double most_left;
  };
  const std::vector<Expected> expected{{"view", 51.527016087582226, 76, 2989.992431640625},
                                       {"key", 50.55111083984375, 20, 2989.98828125},
                                       {"pay", 48.10530170641448, 19, 2989.993408203125}};
  ASSERT_TRUE(state.learned);
  ASSERT_EQ(state.learned->classes.size(), expected.size());
  for (std::size_t i = 0; i < expected.size(); ++i) {
    const auto& actual = state.learned->classes[i];
    SCOPED_TRACE(expected[i].name);
    EXPECT_EQ(actual.name, expected[i].name);
    EXPECT_EQ(actual.latency, expected[i].latency);
    EXPECT_EQ(actual.samples, expected[i].samples);
    EXPECT_EQ(actual.most_left, expected[i].most_left);
  }
}

TEST_F(SavedStateCompatibility, ReadsWhatWasLearnedOfKindsOfHosts) {
  ASSERT_TRUE(state.learned);
  ASSERT_EQ(state.learned->kinds.size(), 2u);
  EXPECT_EQ(state.learned->kinds[0].name, "m2");
  EXPECT_EQ(state.learned->kinds[0].warm_served, 54.362930430999334);
  EXPECT_EQ(state.learned->kinds[0].warm_time, 6379.23170495333);
  EXPECT_EQ(state.learned->kinds[1].name, "m4");
  EXPECT_EQ(state.learned->kinds[1].warm_served, 3.728104057523957);
  EXPECT_EQ(state.learned->kinds[1].warm_time, 15905.6868880562);
}

TEST_F(SavedStateCompatibility, ReadsWhatWasLearnedOfHosts) {
  struct Expected {
    const char* id;
    double latency, steady, base, failing, limit;
    int samples;
    bool suspect, lost;
    double cold_since, heard_at;
  };
  const std::vector<Expected> expected{
      {"h0", 51.37062743237437, 50.48174796974768, 48.40962537417385, 0.0, 2.200995885282997, 106, false,
       false, -1e+15, 1796285278946.1042},
      {"h1", 53.361417231612386, 53.361417231612386, 51.885325970262855, 0.0, 2.494974746830583, 9, false,
       false, 1764600000001.0, 1796285274954.0864},
      {"h2", 22.628510694876976, 0.0, 0.0, 0.7378560000000001, 2.0, 2, true, false, -1e+15,
       1796285277439.0752},
      {"h4", 0.12841796875, 0.0, 0.0, 0.7378560000000001, 2.0, 1, true, true, -1e+15, 1796285277282.6587}};
  ASSERT_TRUE(state.learned);
  ASSERT_EQ(state.learned->servers.size(), expected.size());
  for (std::size_t i = 0; i < expected.size(); ++i) {
    const auto& actual = state.learned->servers[i];
    SCOPED_TRACE(expected[i].id);
    EXPECT_EQ(actual.id, expected[i].id);
    EXPECT_EQ(actual.latency, expected[i].latency);
    EXPECT_EQ(actual.steady, expected[i].steady);
    EXPECT_EQ(actual.base, expected[i].base);
    EXPECT_EQ(actual.failing, expected[i].failing);
    EXPECT_EQ(actual.limit, expected[i].limit);
    EXPECT_EQ(actual.samples, expected[i].samples);
    EXPECT_EQ(actual.suspect, expected[i].suspect);
    EXPECT_EQ(actual.lost, expected[i].lost);
    EXPECT_EQ(actual.cold_since, expected[i].cold_since);
    EXPECT_EQ(actual.heard_at, expected[i].heard_at);
  }
}

// Reading and writing again gives the bytes that the older program wrote.
TEST_F(SavedStateCompatibility, IsWrittenInTheSameForm) {
  const auto files = elderhead::store::MakePosixFileSystem();
  elderhead::store::Examination found;
  ASSERT_TRUE(elderhead::store::Examine(*files, kFixture, kOwner, found).ok());
  EXPECT_EQ(found.found, elderhead::store::Found::kWhole) << found.why;
  ASSERT_TRUE(found.manifest);
  EXPECT_EQ(found.manifest->owner, kOwner);
  EXPECT_EQ(found.manifest->program, "0.1.0");
  ASSERT_TRUE(found.snapshot);
  EXPECT_EQ(found.snapshot->version, 1);
  EXPECT_EQ(ToText(state), found.snapshot->payload);
}

}  // namespace
}  // namespace opalswitch::testing
