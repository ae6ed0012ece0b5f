// Tests of the policy host: its replies to batches of the simulator, and the lines that it rejects.
#include "simulator/policy_host.hpp"

#include <gtest/gtest.h>

namespace gateway::simulator {
namespace {

std::string Process(PolicyHost& host, std::initializer_list<const char*> lines) {
  for (const char* line : lines) host.ProcessLine(line);
  return host.TakeReply();
}

constexpr const char* kCreate =
    "CREATE 5 categories.count=1 categories.0.name=view categories.0.sloMs=500.0 "
    "categories.0.deadlineMs=1000.0 categories.0.importance=2.0 categories.0.idempotency=pure "
    "limits.maxAttempts=4 membershipMode=push new.key.of.later=1";

TEST(PolicyHost, EmptyBatchGetsAReplyWithoutActions) {
  PolicyHost host;
  EXPECT_EQ(Process(host, {"TURN 1.5", "EOF_BATCH"}), "OK\n");
}

TEST(PolicyHost, RequestIsSentToAnEndpointListedInTheSameBatch) {
  PolicyHost host;
  const std::string reply =
      Process(host, {"TURN 10", "INSTANCE 3", kCreate, "SNAPSHOT_ROWS 0 1", "ENTRY h1 z k 0 up 1 -",
                     "REGISTRY 0 1 C", "KNOCK t/1 view - - 400.0 - 0 extra", "EOF_BATCH"});
  EXPECT_NE(reply.find("CONTEXT 3\n"), std::string::npos);
  EXPECT_NE(reply.find("PASS_ON t/1 h1 400.000\n"), std::string::npos) << reply;
}

// Two instances use the same list number in one batch. If the numbers were resolved only at the end of the
// batch, both instances would get the second list.
TEST(PolicyHost, ListNumberReusedWithinABatchGivesEachInstanceItsOwnList) {
  PolicyHost host;
  const std::string reply =
      Process(host, {"TURN 10", "INSTANCE 1", kCreate, "SNAPSHOT_ROWS 0 1", "ENTRY h1 z k 0 up 1 -",
                     "REGISTRY 0 1 C", "INSTANCE 2", kCreate, "SNAPSHOT_ROWS 0 1", "ENTRY h2 z k 0 up 1 -",
                     "REGISTRY 0 1 C", "INSTANCE 1", "KNOCK t/1 view - - 400 - 0", "INSTANCE 2",
                     "KNOCK t/2 view - - 400 - 0", "EOF_BATCH"});
  EXPECT_NE(reply.find("PASS_ON t/1 h1"), std::string::npos) << reply;
  EXPECT_NE(reply.find("PASS_ON t/2 h2"), std::string::npos) << reply;
}

// An instance is destroyed and created again in one batch. The new instance must not know the endpoints of
// the destroyed instance.
TEST(PolicyHost, InstanceRecreatedInOneBatchStartsWithoutEndpoints) {
  PolicyHost host;
  Process(host, {"TURN 10", "INSTANCE 1", kCreate, "SNAPSHOT_ROWS 0 1", "ENTRY h1 z k 0 up 1 -",
                 "REGISTRY 0 1 C", "EOF_BATCH"});
  const std::string reply = Process(host, {"TURN 20", "INSTANCE 1", "CRASH_NOW", kCreate, "SNAPSHOT_ROWS 1 0",
                                           "REGISTRY 1 1 C", "KNOCK t/1 view - - 400 - 0", "EOF_BATCH"});
  EXPECT_EQ(reply.find("PASS_ON"), std::string::npos) << reply;
}

// Returns the reply lines of instance 0 to `batches` batches. The host runs `other_instances` instances in
// addition to instance 0.
std::string RepliesOfInstanceZero(int other_instances, int batches) {
  PolicyHost host;
  std::string replies;
  for (int batch = 0; batch < batches; ++batch) {
    host.ProcessLine("TURN " + std::to_string(10 * batch));
    for (int i = 0; i <= other_instances; ++i) {
      // Each batch ends with instance 0, so other instances run directly before it and, in the next batch,
      // directly after it.
      host.ProcessLine("INSTANCE " + std::to_string((i + 1) % (other_instances + 1)));
      if (batch == 0) {
        for (const char* line : {kCreate, "SNAPSHOT_ROWS 0 3", "ENTRY h1 z k 0 up 1 -",
                                 "ENTRY h2 z k 0 up 1 -", "ENTRY h3 z k 0 up 1 -", "REGISTRY 0 1 C"}) {
          host.ProcessLine(line);
        }
      }
      const std::string request = "t/" + std::to_string(batch);
      host.ProcessLine("KNOCK " + request + " view - - 400 - 0");
      if (batch % 3 != 0) host.ProcessLine("FIRED sweep");
    }
    host.ProcessLine("EOF_BATCH");
    const std::string reply = host.TakeReply();
    bool is_instance_zero = false;
    std::size_t start = 0;
    for (std::size_t end; (end = reply.find('\n', start)) != std::string::npos; start = end + 1) {
      const std::string line = reply.substr(start, end - start);
      if (line.starts_with("CONTEXT ")) {
        is_instance_zero = line == "CONTEXT 0";
      } else if (is_instance_zero && line != "OK") {
        replies += line + "\n";
      }
    }
  }
  return replies;
}

TEST(PolicyHost, RepliesOfAnInstanceDoNotDependOnOtherInstances) {
  const std::string replies_without_others = RepliesOfInstanceZero(0, 60);
  EXPECT_NE(replies_without_others.find("PASS_ON t/0 "), std::string::npos) << replies_without_others;
  EXPECT_EQ(replies_without_others, RepliesOfInstanceZero(2, 60));
}

// An instance is destroyed while an attempt is in flight, and then created again. The new instance must not
// act on events for the old attempt.
TEST(PolicyHost, RecreatedInstanceIgnoresEventsForOldAttempts) {
  PolicyHost host;
  Process(host, {"TURN 10", "INSTANCE 1", kCreate, "SNAPSHOT_ROWS 0 1", "ENTRY h1 z k 0 up 1 -",
                 "REGISTRY 0 1 C", "KNOCK t/1 view - - 400 - 0", "EOF_BATCH"});
  const std::string reply = Process(
      host, {"TURN 20", "INSTANCE 1", "CRASH_NOW", kCreate, "SNAPSHOT_ROWS 0 1", "ENTRY h1 z k 0 up 1 -",
             "REGISTRY 0 1 C", "COMPLETED t/1 0 h1 10 1 5.0 -", "EXPIRED t/1", "EOF_BATCH"});
  EXPECT_EQ(reply.find("t/1"), std::string::npos) << reply;
}

// The parameter is a line that is malformed, or that is not allowed inside a batch when instance 1 is
// selected and no endpoint list has begun.
class InvalidLine : public ::testing::TestWithParam<const char*> {};

TEST_P(InvalidLine, ThrowsWireError) {
  PolicyHost host;
  Process(host, {"TURN 10", "INSTANCE 1", kCreate, "EOF_BATCH"});
  host.ProcessLine("TURN 11");
  host.ProcessLine("INSTANCE 1");
  EXPECT_THROW(host.ProcessLine(GetParam()), WireError) << GetParam();
}

INSTANTIATE_TEST_SUITE_P(Lines, InvalidLine,
                         ::testing::Values("BOGUS 1", "TURN x", "TURN 12", "KNOCK t/1 view - - abc - 0",
                                           "KNOCK t/1", "COMPLETED t/1 0 h 99 1 5.0 -",
                                           "COMPLETED t/1 0 h 10 maybe 5.0 -", "ENTRY h z k 0 up 1 -",
                                           "SNAPSHOT_ROWS 16 0", "REGISTRY 0 1 Q", "INSTANCE one",
                                           "CREATE notanumber", "CREATE 5 novalue", "CREATE 5 zone=a",
                                           "KNOCK t/1 view - - nan - 0", ""));

TEST(PolicyHost, EventForAnUnknownInstanceThrowsWireError) {
  PolicyHost host;
  host.ProcessLine("TURN 1");
  host.ProcessLine("INSTANCE 9");
  EXPECT_THROW(host.ProcessLine("FIRED sweep"), WireError);
}

}  // namespace
}  // namespace gateway::simulator
