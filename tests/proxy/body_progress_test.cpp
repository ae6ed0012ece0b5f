// Tests of BodyProgress in simulated time. All times are in milliseconds.
#include "proxy/client/body_progress.hpp"

#include <gtest/gtest.h>

namespace gateway::proxy::testing {
namespace {

// The head has used its timeout completely, so the grace period is kBodyGraceMs (700 ms).
TEST(BodyProgress, TimeoutCountsOnlyTheTimeSpentWaitingForTheClient) {
  BodyProgress progress;
  progress.Start(/*request_started_at=*/0, /*now=*/2700);
  // Before BeginWait is called, the gateway does not wait for the client.
  EXPECT_FALSE(progress.TimedOut(100000));
  progress.BeginWait(100000);
  EXPECT_FALSE(progress.TimedOut(100700));
  EXPECT_TRUE(progress.TimedOut(100701));
  progress.EndWait(100600, /*received_bytes=*/3200);  // 3,200 bytes take 100 ms at the minimum rate
  progress.BeginWait(200000);
  EXPECT_FALSE(progress.TimedOut(200200));
  EXPECT_TRUE(progress.TimedOut(200201));
}

// The head has used 1,000 ms of its timeout of 2,700 ms, so the grace period is 1,700 ms.
TEST(BodyProgress, GracePeriodIsAtLeastTheUnusedPartOfTheHeadTimeout) {
  BodyProgress progress;
  progress.Start(/*request_started_at=*/0, /*now=*/1000);
  progress.BeginWait(1000);
  EXPECT_FALSE(progress.TimedOut(2700));
  EXPECT_TRUE(progress.TimedOut(2701));
}

// The limit on one pause (kBodyPauseTimeoutMs, 2,000 ms) holds even if the client has sent data much faster
// than the minimum rate.
TEST(BodyProgress, TimesOutAfterALongPauseOfAFastClient) {
  BodyProgress progress;
  progress.Start(0, 0);
  progress.BeginWait(0);
  progress.EndWait(1, /*received_bytes=*/1 << 20);
  progress.BeginWait(1);
  EXPECT_FALSE(progress.TimedOut(2001));
  EXPECT_TRUE(progress.TimedOut(2002));
}

}  // namespace
}  // namespace gateway::proxy::testing
