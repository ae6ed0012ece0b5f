// Tests of the bound on the time at which a client has sent the last byte of a body.
#include "proxy/client/body_arrival.hpp"

#include <gtest/gtest.h>

namespace gateway::proxy {
namespace {

constexpr std::uint64_t kLengthBytes = 3 * kMaxClientSendBufferBytes;

// If the gateway observes nothing more, the client may have sent everything at the start.
TEST(BodyArrival, CountsFromTheStartIfNothingElseIsKnown) {
  BodyArrival arrival;
  arrival.Start(100, 200000);
  arrival.RecordArrived(900, 150000);
  EXPECT_EQ(arrival.earliest_completion(), 100);
}

// A slow client has sent its last byte after the gateway last waited for it, but not before an earlier bound.
TEST(BodyArrival, CountsFromTheLastWaitForTheClient) {
  BodyArrival arrival;
  arrival.Start(100, 200000);
  arrival.RecordWait(400);
  arrival.RecordWait(300);
  EXPECT_EQ(arrival.earliest_completion(), 400);
}

// A client whose missing bytes fit into no send buffer still waits to send them.
TEST(BodyArrival, CountsFromTheLastTimeAtWhichMoreWasMissingThanASendBufferHolds) {
  BodyArrival arrival;
  arrival.Start(100, kLengthBytes);
  arrival.RecordArrived(200, kLengthBytes - kMaxClientSendBufferBytes - 1);
  EXPECT_EQ(arrival.earliest_completion(), 200);
  arrival.RecordArrived(300, kLengthBytes - kMaxClientSendBufferBytes);
  arrival.RecordArrived(400, kLengthBytes);
  EXPECT_EQ(arrival.earliest_completion(), 200);
}

// The length of a chunked body is unknown. If more bytes arrive than a send buffer holds, the body was
// incomplete before.
TEST(BodyArrival, CountsAChunkedBodyFromTheTimeBeforeMoreArrivedThanASendBufferHolds) {
  BodyArrival arrival;
  arrival.Start(100, std::nullopt);
  arrival.RecordArrived(200, kMaxClientSendBufferBytes);
  EXPECT_EQ(arrival.earliest_completion(), 100);
  arrival.RecordArrived(300, kMaxClientSendBufferBytes + 1);
  EXPECT_EQ(arrival.earliest_completion(), 100);
  arrival.RecordArrived(400, 2 * kMaxClientSendBufferBytes + 1);
  EXPECT_EQ(arrival.earliest_completion(), 100);
  arrival.RecordArrived(500, 2 * kMaxClientSendBufferBytes + 2);
  EXPECT_EQ(arrival.earliest_completion(), 300);
}

// A connection serves several requests. The bytes of one body must not count for the next one.
TEST(BodyArrival, StartsAnewForTheNextBody) {
  BodyArrival arrival;
  arrival.Start(100, std::nullopt);
  arrival.RecordWait(900);
  arrival.RecordArrived(900, kLengthBytes);
  arrival.Start(950, std::nullopt);
  arrival.RecordArrived(960, 1);
  EXPECT_EQ(arrival.earliest_completion(), 950);
}

}  // namespace
}  // namespace gateway::proxy
