// Tests of DrainState in simulated time. All times are in milliseconds.
#include "proxy/client/drain_state.hpp"

#include <gtest/gtest.h>

namespace gateway::proxy::testing {
namespace {

// Idle connections are closed 500 ms after the start of the drain. Incomplete requests are rejected 1,700 ms
// after the start.
TEST(DrainState, ClosesIdleConnectionsBeforeItRejectsIncompleteRequests) {
  DrainState drain;
  EXPECT_FALSE(drain.active());
  drain.Begin(1000);
  drain.Begin(1400);  // the drain is already active, so this has no effect
  EXPECT_EQ(drain.IdleCloseTime(/*idle_since=*/0), 1500);
  EXPECT_FALSE(drain.RejectsIncompleteRequests(2700));
  EXPECT_TRUE(drain.RejectsIncompleteRequests(2701));
  drain.End();
  EXPECT_FALSE(drain.active());
}

// A connection whose response ends during the drain stays open for 300 ms, in which the next request may
// arrive. Close to the time at which the drain must be complete, 3,900 ms after its start, it stays open for
// less, but never for less than 10 ms.
TEST(DrainState, ClosesConnectionsOfLateResponsesBeforeTheDrainMustBeComplete) {
  DrainState drain;
  drain.Begin(0);
  EXPECT_EQ(drain.IdleCloseTime(1000), 1300);
  EXPECT_EQ(drain.IdleCloseTime(3599), 3899);
  EXPECT_EQ(drain.IdleCloseTime(3700), 3900);
  EXPECT_EQ(drain.IdleCloseTime(3895), 3905);
  EXPECT_EQ(drain.IdleCloseTime(9000), 9010);
  EXPECT_EQ(drain.UnusedCloseTime(9000), 9300);  // a new connection gets its time to send a request
}

// A request that could still be open when the drain must be complete, and is younger than 2 s then, would
// make operators cut it off.
TEST(DrainState, RefusesRequestsThatMayOutlastTheDrain) {
  DrainState drain;
  EXPECT_TRUE(drain.AcceptsRequest(0, 20000));
  drain.Begin(0);
  EXPECT_TRUE(drain.AcceptsRequest(1900, 20000));
  EXPECT_FALSE(drain.AcceptsRequest(1901, 2000));
  EXPECT_TRUE(drain.AcceptsRequest(1901, 1999));
  EXPECT_FALSE(drain.AcceptsRequest(9000, 10));
  EXPECT_FALSE(drain.AcceptsForwardedRequest(3800, 2000));
  EXPECT_TRUE(drain.AcceptsForwardedRequest(3901, 2000));
  drain.End();
  EXPECT_TRUE(drain.AcceptsRequest(9000, 20000));
}

// SIGKILL may follow soon after the stop's last responses, so later requests are refused unless they end
// before. Long uploads that hosts have a part of are ended by the stop itself.
TEST(DrainState, RefusesRequestsThatMayOutlastTheStop) {
  DrainState drain;
  drain.BeginStop({.accept_until = 700, .respond_by = 1050});
  EXPECT_TRUE(drain.AcceptsRequest(700, 750));
  EXPECT_FALSE(drain.AcceptsRequest(701, 750));
  EXPECT_TRUE(drain.AcceptsRequest(900, 150));
  EXPECT_FALSE(drain.AcceptsRequest(1051, 0));
  EXPECT_TRUE(drain.AcceptsForwardedRequest(1000, 750));
  drain.Begin(0);
  EXPECT_FALSE(drain.AcceptsRequest(701, 750));
}

}  // namespace
}  // namespace gateway::proxy::testing
