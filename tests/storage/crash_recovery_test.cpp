// Tests that a store recovers from every crash that the in-memory file system can simulate.
#include <gtest/gtest.h>

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <cstdio>
#include <functional>
#include <utility>
#include <vector>

#include "storage/faulty_file_system.hpp"
#include "store_fixture.hpp"

namespace gateway::storage {
namespace {

using Call = FaultyFileSystem::Call;

// Writes 200 records in batches, and takes four snapshots. Segments have about 1,200 bytes. Calls
// `observe(memory)` before each call to the file system.
struct Workload {
  Sequence acknowledged = 0;
  Sequence written = 0;

  template <typename Observer>
  void Run(MemoryFileSystem& memory, FaultyFileSystem::Hook faults, Observer observe) {
    boost::random::mt19937_64 random(11);
    FaultyFileSystem files(memory, [&](Call call, const std::string& path) {
      observe(memory);
      return faults ? faults(call, path) : FaultyFileSystem::Fault{};
    });
    auto opened = Open(files);
    ASSERT_TRUE(opened.status.ok()) << opened.status.Text();
    while (written < 200) {
      for (int i = boost::random::uniform_int_distribution<int>(0, 3)(random); i >= 0; --i) {
        ++written;
        ASSERT_EQ(opened.store->Append(7, 1, PayloadOf(written)), written);
      }
      ASSERT_TRUE(opened.store->Commit().ok());
      acknowledged = written;
      if (written / 45 > snapshots_) {
        ++snapshots_;
        ASSERT_TRUE(opened.store->TakeSnapshot(2, "all up to " + std::to_string(written)).ok());
      }
    }
    observe(memory);
  }

 private:
  Sequence snapshots_ = 0;
};

// Returns one copy of the file system for each state that a crash at this moment may leave. Covers power loss
// and the death of the process.
std::vector<std::unique_ptr<MemoryFileSystem>> SimulateCrashes(const MemoryFileSystem& memory,
                                                               boost::random::mt19937_64& random) {
  const auto draw = [&random](std::size_t max) {
    return boost::random::uniform_int_distribution<std::size_t>(0, max)(random);
  };
  const std::vector<std::function<std::string(std::string)>> tails{
      {},
      [](std::string tail) { return tail; },
      [&](std::string tail) {  // torn write: only a prefix was written
        return tail.substr(0, draw(tail.size()));
      },
      [&](std::string tail) {  // written out of order: some blocks of 16 bytes are missing
        for (std::size_t block = 0; block < tail.size(); block += 16) {
          if (draw(1) == 0)
            std::fill(tail.begin() + static_cast<std::ptrdiff_t>(block),
                      tail.begin() + static_cast<std::ptrdiff_t>(std::min(tail.size(), block + 16)), '\0');
        }
        return tail;
      },
      [&](std::string tail) {  // the length is durable, but the bytes are arbitrary
        for (char& byte : tail) byte = static_cast<char>(draw(255));
        return tail;
      }};
  const std::vector<std::function<bool(std::size_t)>> name_changes{{},
                                                                   [](std::size_t) { return true; },
                                                                   [&](std::size_t) { return draw(1) == 0; },
                                                                   [&](std::size_t) { return draw(3) > 0; }};
  std::vector<std::unique_ptr<MemoryFileSystem>> crashed;
  for (const auto& tail : tails) {
    for (const auto& keeps_change : name_changes)
      crashed.push_back(memory.AfterPowerLoss({keeps_change, tail}));
  }
  for (int i = 0; i < 24; ++i) {
    crashed.push_back(memory.AfterPowerLoss({name_changes[2 + i % 2], tails[2 + draw(2)]}));
  }
  crashed.push_back(memory.AfterProcessDeath());
  return crashed;
}

struct CrashResults {
  std::size_t states = 0;
  std::size_t failures = 0;
  std::string first_error;
};

// Recovers the folder after a crash and checks that a second recovery would find the same records. Then
// appends records until the next power loss, and checks them. Returns an error message, or an empty string if
// all checks pass.
std::string CheckRecovery(MemoryFileSystem& crashed, const FaultyFileSystem::Hook& recovery_faults,
                          const Workload& workload) {
  FaultyFileSystem files(crashed, [&](Call call, const std::string& path) {
    return recovery_faults ? recovery_faults(call, path) : FaultyFileSystem::Fault{};
  });
  auto opened = Open(files);
  if (!opened.status.ok()) return opened.status.Text();
  std::string error = FindRecoveryError(opened.examination, workload.acknowledged, workload.written);
  if (!error.empty()) return error;
  const Sequence last = opened.examination.last_sequence();
  Examination second_examination;
  if (!Examine(crashed, kFolder, kOptions.owner, second_examination).ok() ||
      second_examination.last_sequence() != last) {
    error = "a second examination does not find the same last record";
  }
  // Two more records are acknowledged immediately before the next power loss.
  for (Sequence next = last + 1; next <= last + 2; ++next) opened.store->Append(7, 1, PayloadOf(next));
  if (!opened.store->Commit().ok()) error = "cannot commit records after the recovery";
  const auto crashed_again = crashed.AfterPowerLoss({});
  Examination last_examination;
  if (!Examine(*crashed_again, kFolder, kOptions.owner, last_examination).ok())
    error = "cannot examine the folder";
  if (error.empty()) error = FindRecoveryError(last_examination, last + 2, last + 2);
  return error.empty() ? error : "after the next power loss: " + error;
}

// Simulates crashes throughout the workload, and checks the recovery from each crash state.
CrashResults RunCrashes(const FaultyFileSystem::Hook& workload_faults,
                        const FaultyFileSystem::Hook& recovery_faults) {
  CrashResults results;
  boost::random::mt19937_64 random(23);
  MemoryFileSystem memory;
  Workload workload;
  workload.Run(memory, workload_faults, [&](const MemoryFileSystem& now) {
    for (const auto& crashed : SimulateCrashes(now, random)) {
      ++results.states;
      const std::string error = CheckRecovery(*crashed, recovery_faults, workload);
      if (!error.empty() && results.failures++ == 0) results.first_error = error;
    }
  });
  return results;
}

// A crash at any call to the file system must not lose an acknowledged record.
TEST(CrashRecovery, RecoversAcknowledgedRecordsAfterEveryCrash) {
  const CrashResults results = RunCrashes(nullptr, nullptr);
  EXPECT_EQ(results.failures, 0U) << results.first_error;
  EXPECT_GE(results.states, 10000U);
  RecordProperty("states", static_cast<int>(results.states));
  std::printf("%zu crash states\n", results.states);
}

// Skips one kind of sync in each round. In each round, at least one simulated crash must lose an acknowledged
// record. Otherwise the skipped kind of sync would be superfluous, or the simulated crashes would not cover
// it.
TEST(CrashRecovery, LosesRecordsIfAnyKindOfSyncIsSkipped) {
  struct SkippedSync {
    const char* description;
    Call call;
    const char* path;          // skips syncs of paths that contain this text
    const char* last_changed;  // skips only if the path that was changed last contains this text
    bool in_recovery;          // skips syncs in the recovery after a crash instead of in the workload
  };
  for (const SkippedSync& skipped_sync :
       {SkippedSync{"of a segment at a commit", Call::kSync, "/log-", "", false},
        SkippedSync{"of the folder for a new segment", Call::kSyncFolder, "state", "/log-", false},
        SkippedSync{"of a snapshot", Call::kSync, "/snapshot-", "", false},
        SkippedSync{"of the folder for a snapshot", Call::kSyncFolder, "state", "/snapshot-", false},
        SkippedSync{"of the manifest", Call::kSync, "/MANIFEST", "", false},
        SkippedSync{"of the folder for the manifest", Call::kSyncFolder, "state", "/MANIFEST", false},
        SkippedSync{"of a segment rewritten in recovery", Call::kSync, "/log-", ".new", true},
        SkippedSync{"of the folder in recovery", Call::kSyncFolder, "state", ".new", true}}) {
    std::string last_changed;
    bool skipped_once = false;
    const FaultyFileSystem::Hook skip_sync = [&](Call call, const std::string& path) {
      FaultyFileSystem::Fault fault;
      fault.skip = call == skipped_sync.call && path.find(skipped_sync.path) != std::string::npos &&
                   last_changed.find(skipped_sync.last_changed) != std::string::npos;
      if (call == Call::kLock) skipped_once = false;  // a store is being opened
      if (skipped_sync.in_recovery && fault.skip) fault.skip = !std::exchange(skipped_once, true);
      if (call == Call::kCreate || call == Call::kAppend || call == Call::kRename || call == Call::kRemove)
        last_changed = path;
      return fault;
    };
    const CrashResults results = RunCrashes(skipped_sync.in_recovery ? nullptr : skip_sync,
                                            skipped_sync.in_recovery ? skip_sync : nullptr);
    EXPECT_GT(results.failures, 0U) << "no crash lost a record although this sync was skipped: sync "
                                    << skipped_sync.description;
    std::printf("without the sync %s: %zu of %zu crash states failed\n", skipped_sync.description,
                results.failures, results.states);
  }
}

}  // namespace
}  // namespace gateway::storage
