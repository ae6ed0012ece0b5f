// Compatibility with the state folder that version 0.1.0 of the program wrote (fixtures/gateway-state-0.1.0).
// The current version must read each value in that folder exactly, and must serialize the state to the same
// bytes.
#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "proxy/restart/saved_state.hpp"
#include "storage/examination.hpp"

namespace gateway::proxy::testing {
namespace {

constexpr const char* kStateFolder = FIXTURES "/gateway-state-0.1.0";
constexpr const char* kOwner = "n1 at 127.0.0.1:18081";

class SavedStateCompatibility : public ::testing::Test {
 protected:
  void SetUp() override {
    auto loaded = LoadSavedState(kStateFolder, kOwner);
    ASSERT_TRUE(loaded);
    state = std::move(*loaded);
  }
  SavedState state;
};

void ExpectEndpoint(const ListedEndpoint& actual, const policy::EndpointInfo& expected, int port) {
  SCOPED_TRACE(expected.id);
  EXPECT_EQ(actual.info.id, expected.id);
  EXPECT_EQ(actual.info.zone, expected.zone);
  EXPECT_EQ(actual.info.machine_type, expected.machine_type);
  EXPECT_EQ(actual.info.cell, expected.cell);
  EXPECT_EQ(actual.info.state, expected.state);
  EXPECT_EQ(actual.info.weight, expected.weight);
  EXPECT_EQ(actual.info.started_at, expected.started_at);
  EXPECT_EQ(actual.address.address().to_string(), "127.0.0.1");
  EXPECT_EQ(actual.address.port(), port);
}

TEST_F(SavedStateCompatibility, ReadsTheListAndTheDrain) {
  EXPECT_TRUE(state.draining);
  EXPECT_EQ(state.list_valid_at, 1796285272906.8577);
  EXPECT_EQ(state.list.revision, 42);
  EXPECT_TRUE(state.list.complete);
  EXPECT_EQ(state.list.epoch, "c0ffee");
  EXPECT_EQ(state.list.confirmed_revision, 0);
  ASSERT_EQ(state.list.endpoints.size(), 5u);
  ExpectEndpoint(state.list.endpoints[0], {"h0", "a", "m2", "3", policy::EndpointState::kUp, 1, 0}, 18090);
  ExpectEndpoint(state.list.endpoints[1],
                 {"h1", "a", "m4", "\"north\"", policy::EndpointState::kUp, 2.5, 1764600000001}, 18091);
  ExpectEndpoint(state.list.endpoints[2], {"h2", "a", "m2", "3", policy::EndpointState::kUp, 0.5, 0}, 18092);
  ExpectEndpoint(state.list.endpoints[3], {"h3", "b", "m2", "null", policy::EndpointState::kDraining, 1, 0},
                 18093);
  ExpectEndpoint(state.list.endpoints[4], {"h4", "a", "m4", "3", policy::EndpointState::kUp, 1, 0}, 18094);
}

TEST_F(SavedStateCompatibility, ReadsTheLearnedStateOfAllTraffic) {
  ASSERT_TRUE(state.learned);
  const policy::LearnedState& learned = *state.learned;
  EXPECT_EQ(learned.exported_at, 1796285282945.4043);
  EXPECT_EQ(learned.gateway_count, 1);
  EXPECT_EQ(learned.rate, 4000.0);
  EXPECT_EQ(learned.sent_rate, 0.3514089762458524);
  EXPECT_EQ(learned.failure_rate, 0.0005652467290177246);
  EXPECT_EQ(learned.mean_latency, 50.79831683027548);
  EXPECT_EQ(learned.samples, 115);
}

TEST_F(SavedStateCompatibility, ReadsTheLearnedStateOfTrafficClasses) {
  struct Expected {
    const char* name;
    double latency;
    int samples;
    double longest_time_left;
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
    EXPECT_EQ(actual.longest_time_left, expected[i].longest_time_left);
  }
}

TEST_F(SavedStateCompatibility, ReadsTheLearnedStateOfMachineTypes) {
  ASSERT_TRUE(state.learned);
  ASSERT_EQ(state.learned->machine_types.size(), 2u);
  EXPECT_EQ(state.learned->machine_types[0].name, "m2");
  EXPECT_EQ(state.learned->machine_types[0].served, 54.362930430999334);
  EXPECT_EQ(state.learned->machine_types[0].endpoint_time, 6379.23170495333);
  EXPECT_EQ(state.learned->machine_types[1].name, "m4");
  EXPECT_EQ(state.learned->machine_types[1].served, 3.728104057523957);
  EXPECT_EQ(state.learned->machine_types[1].endpoint_time, 15905.6868880562);
}

TEST_F(SavedStateCompatibility, ReadsTheLearnedStateOfEndpoints) {
  struct Expected {
    const char* id;
    double latency, long_term_latency, base_latency, failure_rate, concurrency_limit;
    int samples;
    bool ejected, restart_suspected;
    double started_at, last_outcome_at;
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
  ASSERT_EQ(state.learned->endpoints.size(), expected.size());
  for (std::size_t i = 0; i < expected.size(); ++i) {
    const auto& actual = state.learned->endpoints[i];
    SCOPED_TRACE(expected[i].id);
    EXPECT_EQ(actual.id, expected[i].id);
    EXPECT_EQ(actual.latency, expected[i].latency);
    EXPECT_EQ(actual.long_term_latency, expected[i].long_term_latency);
    EXPECT_EQ(actual.base_latency, expected[i].base_latency);
    EXPECT_EQ(actual.failure_rate, expected[i].failure_rate);
    EXPECT_EQ(actual.concurrency_limit, expected[i].concurrency_limit);
    EXPECT_EQ(actual.samples, expected[i].samples);
    EXPECT_EQ(actual.ejected, expected[i].ejected);
    EXPECT_EQ(actual.restart_suspected, expected[i].restart_suspected);
    EXPECT_EQ(actual.started_at, expected[i].started_at);
    EXPECT_EQ(actual.last_outcome_at, expected[i].last_outcome_at);
  }
}

// Serializing the loaded state must produce the bytes that version 0.1.0 wrote.
TEST_F(SavedStateCompatibility, SerializesTheLoadedStateToTheSameBytes) {
  const auto files = storage::MakePosixFileSystem();
  storage::Examination found;
  ASSERT_TRUE(storage::Examine(*files, kStateFolder, kOwner, found).ok());
  EXPECT_EQ(found.condition, storage::StoreCondition::kComplete) << found.error;
  ASSERT_TRUE(found.manifest);
  EXPECT_EQ(found.manifest->owner, kOwner);
  EXPECT_EQ(found.manifest->program, "0.1.0");
  ASSERT_TRUE(found.snapshot);
  EXPECT_EQ(found.snapshot->version, 1);
  EXPECT_EQ(SerializeSavedState(state), found.snapshot->payload);
}

}  // namespace
}  // namespace gateway::proxy::testing
