// Recovery of a store after every crash that the memory file system simulates.
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

// Writes 200 records in batches and four snapshots, with segments of 1,200 bytes. `look` gets the file system
// as it is before each call to it.
struct Workload {
  Sequence acknowledged = 0;
  Sequence written = 0;

  template <typename Look>
  void Run(MemoryFileSystem& memory, FaultyFileSystem::Hook faults, Look look) {
    boost::random::mt19937_64 random(11);
    FaultyFileSystem files(memory, [&](Call call, const std::string& path) {
      look(memory);
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
    look(memory);
  }

 private:
  Sequence snapshots_ = 0;
};

// States that a loss of power or the death of the process may leave now.
std::vector<std::unique_ptr<MemoryFileSystem>> Crashes(const MemoryFileSystem& memory,
                                                       boost::random::mt19937_64& random) {
  const auto draw = [&random](std::size_t most) {
    return boost::random::uniform_int_distribution<std::size_t>(0, most)(random);
  };
  const std::vector<std::function<std::string(std::string)>> tails{
      {},
      [](std::string tail) { return tail; },
      [&](std::string tail) { return tail.substr(0, draw(tail.size())); },  // torn
      [&](std::string tail) {  // written out of order: blocks of 16 bytes are there or not
        for (std::size_t at = 0; at < tail.size(); at += 16) {
          if (draw(1) == 0)
            std::fill(tail.begin() + static_cast<std::ptrdiff_t>(at),
                      tail.begin() + static_cast<std::ptrdiff_t>(std::min(tail.size(), at + 16)), '\0');
        }
        return tail;
      },
      [&](std::string tail) {  // the length was written, the bytes were not
        for (char& c : tail) c = static_cast<char>(draw(255));
        return tail;
      }};
  const std::vector<std::function<bool(std::size_t)>> names{{},
                                                            [](std::size_t) { return true; },
                                                            [&](std::size_t) { return draw(1) == 0; },
                                                            [&](std::size_t) { return draw(3) > 0; }};
  std::vector<std::unique_ptr<MemoryFileSystem>> all;
  for (const auto& tail : tails) {
    for (const auto& keeps : names) all.push_back(memory.AfterPowerLoss({keeps, tail}));
  }
  for (int i = 0; i < 24; ++i) all.push_back(memory.AfterPowerLoss({names[2 + i % 2], tails[2 + draw(2)]}));
  all.push_back(memory.AfterProcessDeath());
  return all;
}

struct CrashResults {
  std::size_t states = 0;
  std::size_t wrong = 0;
  std::string first_error;
};

// Recovers a crashed folder, twice, and continues it until the next loss of power. Returns what is wrong, or
// an empty string.
std::string CheckRecovery(MemoryFileSystem& crashed, const FaultyFileSystem::Hook& in_recovery,
                          const Workload& workload) {
  FaultyFileSystem files(crashed, [&](Call call, const std::string& path) {
    return in_recovery ? in_recovery(call, path) : FaultyFileSystem::Fault{};
  });
  auto opened = Open(files);
  if (!opened.status.ok()) return opened.status.Text();
  std::string error = ErrorIn(opened.found, workload.acknowledged, workload.written);
  if (!error.empty()) return error;
  const Sequence last = opened.found.last();
  Examination again;
  if (!Examine(crashed, kFolder, kOptions.owner, again).ok() || again.last() != last) {
    error = "recovers to another";
  }
  // Two records are acknowledged, then the power is lost at once.
  for (Sequence next = last + 1; next <= last + 2; ++next) opened.store->Append(7, 1, PayloadOf(next));
  if (!opened.store->Commit().ok()) error = "can't go on";
  const auto later = crashed.AfterPowerLoss({});
  Examination after;
  if (!Examine(*later, kFolder, kOptions.owner, after).ok()) error = "can't be read";
  if (error.empty()) error = ErrorIn(after, last + 2, last + 2);
  return error.empty() ? error : "after the next loss: " + error;
}

// Recovers from every crash state of the workload.
CrashResults RunCrashes(const FaultyFileSystem::Hook& in_workload,
                        const FaultyFileSystem::Hook& in_recovery) {
  CrashResults results;
  boost::random::mt19937_64 random(23);
  MemoryFileSystem memory;
  Workload workload;
  workload.Run(memory, in_workload, [&](const MemoryFileSystem& now) {
    for (const auto& crashed : Crashes(now, random)) {
      ++results.states;
      const std::string error = CheckRecovery(*crashed, in_recovery, workload);
      if (!error.empty() && results.wrong++ == 0) results.first_error = error;
    }
  });
  return results;
}

TEST(CrashRecovery, RecoversAcknowledgedRecordsAfterEveryCrash) {
  const CrashResults results = RunCrashes(nullptr, nullptr);
  EXPECT_EQ(results.wrong, 0U) << results.first_error;
  EXPECT_GE(results.states, 10000U);
  RecordProperty("states", static_cast<int>(results.states));
  std::printf("%zu crash states\n", results.states);
}

// Each sync is needed: without it some crash loses an acknowledged record.
TEST(CrashRecovery, NeedsEachOfItsSyncs) {
  struct Case {
    const char* what;
    Call call;
    const char* path;   // skips syncs of paths that contain this
    const char* after;  // and whose last change before was to a path that contains this
    bool in_recovery;   // skips during the recovery of a crashed folder, and not in the workload
  };
  for (const Case& c :
       {Case{"of a segment at a commit", Call::kSync, "/log-", "", false},
        Case{"of the folder for a new segment", Call::kSyncFolder, "state", "/log-", false},
        Case{"of a snapshot", Call::kSync, "/snapshot-", "", false},
        Case{"of the folder for a snapshot", Call::kSyncFolder, "state", "/snapshot-", false},
        Case{"of the manifest", Call::kSync, "/MANIFEST", "", false},
        Case{"of the folder for the manifest", Call::kSyncFolder, "state", "/MANIFEST", false},
        Case{"of a segment written anew in recovery", Call::kSync, "/log-", ".new", true},
        Case{"of the folder in recovery", Call::kSyncFolder, "state", ".new", true}}) {
    std::string last;
    bool skipped = false;
    const FaultyFileSystem::Hook skips = [&](Call call, const std::string& path) {
      FaultyFileSystem::Fault fault;
      fault.skip =
          call == c.call && path.find(c.path) != std::string::npos && last.find(c.after) != std::string::npos;
      if (call == Call::kLock) skipped = false;  // a store is being opened
      if (c.in_recovery && fault.skip) fault.skip = !std::exchange(skipped, true);
      if (call == Call::kCreate || call == Call::kAppend || call == Call::kRename || call == Call::kRemove)
        last = path;
      return fault;
    };
    const CrashResults results = RunCrashes(c.in_recovery ? nullptr : skips, c.in_recovery ? skips : nullptr);
    EXPECT_GT(results.wrong, 0U) << "nothing is lost without the sync " << c.what;
    std::printf("without the sync %s: %zu of %zu states wrong\n", c.what, results.wrong, results.states);
  }
}

}  // namespace
}  // namespace gateway::storage
