// Tests of the times at which a gateway calls the list service: at the start and after failed calls.
#include "policy/list_polling.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <numeric>
#include <set>
#include <vector>

#include "fake_gateway.hpp"
#include "policy/random_source.hpp"

namespace gateway::policy::testing {
namespace {

TEST(ListPollingTest, RepeatsEachFailedCallOnce) {
  Settings settings = MakeSettings();
  settings.poll_endpoint_list = true;
  FakeGateway gateway(settings);
  const int first_calls = FakeGateway::CountActions<WatchEndpointList>(
      gateway.Handle(EndpointListEvent{EndpointListEvent::Kind::kSnapshot, {}}));
  EXPECT_EQ(first_calls, 1);
  for (int i = 0; i < 6; ++i) {
    gateway.Handle(EndpointListEvent{EndpointListEvent::Kind::kFailure, {}});
    const int calls = FakeGateway::CountActions<WatchEndpointList>(gateway.AdvanceTime(5000));
    EXPECT_EQ(calls, 1);
  }
}

// A pushed list comes from an agent on the gateway's machine, and its changes must take effect immediately. A
// failed watch must be restarted within 100 ms, regardless of the number of failures and gateways. The
// gateways must restart their watches at different times.
TEST(ListPollingTest, RestartsFailedWatchOfPushedListWithin100MsAtDifferentTimes) {
  Settings settings = MakeSettings();
  settings.gateway_count = 300;
  std::set<int> delays;
  for (settings.gateway_index = 0; settings.gateway_index < 40; ++settings.gateway_index) {
    FakeGateway gateway(settings, settings.gateway_index);
    gateway.AddEndpoints(3);
    EXPECT_EQ(FakeGateway::CountActions<WatchEndpointList>(gateway.AdvanceTime(5000)), 0);
    for (int failure = 0; failure < 6; ++failure) {
      gateway.Handle(EndpointListEvent{EndpointListEvent::Kind::kFailure, {}, failure < 3 ? 0.0 : 3500.0});
      int steps = 0;
      while (steps < 20 && FakeGateway::CountActions<WatchEndpointList>(gateway.AdvanceTime(10)) == 0) {
        ++steps;
      }
      EXPECT_LT(steps, 11) << "steps of 10 ms until the restart after failure " << failure;
      if (failure == 0) delays.insert(steps);
    }
  }
  EXPECT_GT(delays.size(), 7u);
}

// Changes of a polled list must take effect within 6 s, even if calls fail. Therefore the next call must
// start within 4.5 s of the start of the failed call, regardless of the number of failures and gateways.
TEST(ListPollingTest, RepeatsFailedCallWithin4500MsOfItsStart) {
  Settings settings = MakeSettings();
  settings.poll_endpoint_list = true;
  for (const Millis maximum_poll_interval : {5000.0, 10000.0, 60000.0}) {
    settings.maximum_poll_interval = maximum_poll_interval;
    for (settings.gateway_count = 1; settings.gateway_count <= 1000; settings.gateway_count *= 10) {
      for (const Millis call_duration : {0.0, 1000.0, 2000.0, 3500.0, 9000.0}) {
        FakeGateway gateway(settings, 7);
        gateway.AddEndpoints(3);
        EXPECT_LE(FakeGateway::CountActions<WatchEndpointList>(gateway.AdvanceTime(4510)), 1);
        for (int failure = 0; failure < 8; ++failure) {
          gateway.now += call_duration;
          gateway.Handle(EndpointListEvent{EndpointListEvent::Kind::kFailure, {}, call_duration});
          const int calls = FakeGateway::CountActions<WatchEndpointList>(
              gateway.AdvanceTime(std::max(0.0, 4500 - call_duration) + 20));
          EXPECT_EQ(calls, 1) << settings.gateway_count << " gateways, failure " << failure
                              << ", call duration " << call_duration << " ms";
        }
      }
    }
  }
}

// The calls of a hundred gateways fail at the same time, and the list service can serve about twenty calls
// per second. Therefore the repeated calls must be spread evenly. The first calls of gateways that start at
// the same time must be spread too, but over one second at most: the initial list of a gateway may be
// outdated, and each change must take effect within 6 s after it was made, even if it was made before the
// start.
TEST(ListPollingTest, SpreadsCallsOfGatewaysThatStartTogether) {
  Settings settings = MakeSettings();
  settings.poll_endpoint_list = true;
  settings.gateway_count = 100;
  // The number of calls of all gateways in each interval of 100 ms.
  std::vector<int> first_calls(10);
  std::vector<int> repeated_calls(100);
  int immediate_calls = 0;
  for (settings.gateway_index = 0; settings.gateway_index < settings.gateway_count;
       ++settings.gateway_index) {
    FakeGateway gateway(settings, settings.gateway_index);
    immediate_calls += FakeGateway::CountActions<WatchEndpointList>(
        gateway.Handle(EndpointListEvent{EndpointListEvent::Kind::kSnapshot, {MakeEndpoint("s0")}}));
    for (int& calls : first_calls) {
      calls += FakeGateway::CountActions<WatchEndpointList>(gateway.AdvanceTime(100));
    }
    gateway.Handle(EndpointListEvent{EndpointListEvent::Kind::kFailure, {}});
    for (int& calls : repeated_calls) {
      calls += FakeGateway::CountActions<WatchEndpointList>(gateway.AdvanceTime(100));
    }
  }
  EXPECT_LT(immediate_calls, 5);
  // Each gateway makes its first call within 1 s.
  EXPECT_EQ(immediate_calls + std::accumulate(first_calls.begin(), first_calls.end(), 0), 100);
  EXPECT_LE(*std::max_element(first_calls.begin(), first_calls.end()), 12);
  // Each gateway repeats its call once within 10 s.
  EXPECT_EQ(std::accumulate(repeated_calls.begin(), repeated_calls.end(), 0), 100);
  EXPECT_LT(*std::max_element(repeated_calls.begin(), repeated_calls.end()), 10);
  // A gateway without endpoints makes its first call immediately. So does a single gateway.
  FakeGateway without_endpoints(settings);
  EXPECT_EQ(FakeGateway::CountActions<WatchEndpointList>(
                without_endpoints.Handle(EndpointListEvent{EndpointListEvent::Kind::kSnapshot, {}})),
            1);
  settings.gateway_count = 1;
  FakeGateway single_gateway(settings);
  EXPECT_EQ(FakeGateway::CountActions<WatchEndpointList>(single_gateway.Handle(
                EndpointListEvent{EndpointListEvent::Kind::kSnapshot, {MakeEndpoint("s0")}})),
            1);
}

// A zone is down for 5 s. The list service removes the endpoints of the zone 1 s after the start of the
// outage. At the end of the outage, the gateways of the zone restart with an old list that still contains
// these endpoints. The removal must take effect within 6 s plus a grace period of 0.5 s. This time ends 2.5 s
// after the restart, and each gateway must have called the list service by then.
TEST(ListPollingTest, CallsListServiceWithinPropagationLimitAfterDowntime) {
  constexpr Millis kDowntimeMs = 5000;
  constexpr Millis kRemovedAtMs = 1000;
  constexpr Millis kMaximumPropagationMs = 6000;
  constexpr Millis kGracePeriodMs = 500;
  Settings settings = MakeSettings();
  settings.poll_endpoint_list = true;
  settings.gateway_count = 3100;
  for (settings.gateway_index = 0; settings.gateway_index < settings.gateway_count;
       settings.gateway_index += 31) {
    FakeGateway gateway(settings, settings.gateway_index);
    int calls = FakeGateway::CountActions<WatchEndpointList>(
        gateway.Handle(EndpointListEvent{EndpointListEvent::Kind::kSnapshot, {MakeEndpoint("lost")}}));
    calls += FakeGateway::CountActions<WatchEndpointList>(
        gateway.AdvanceTime(kRemovedAtMs + kMaximumPropagationMs + kGracePeriodMs - kDowntimeMs));
    EXPECT_EQ(calls, 1) << "gateway " << settings.gateway_index;
  }
}

TEST(ListPollingTest, DoublesBackoffUpToItsMaximum) {
  Settings settings = MakeSettings();
  settings.poll_endpoint_list = true;
  RandomSource random(1);
  ListPolling polling(settings, /*ring_position=*/0.5);
  Millis now = 1000;
  EXPECT_TRUE(polling.StartCallIfDue(/*list_known=*/true, now));
  polling.RecordFailure(0, now, random);
  EXPECT_TRUE(polling.StartCallIfDue(true, now + 100));
  for (const Millis backoff : {200, 400, 800, 1600, 2500, 2500}) {
    polling.RecordFailure(0, now, random);
    EXPECT_FALSE(polling.StartCallIfDue(true, now + 0.74 * backoff));
    now += backoff;
    EXPECT_TRUE(polling.StartCallIfDue(true, now));
  }
}

}  // namespace
}  // namespace gateway::policy::testing
