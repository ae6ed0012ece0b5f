// The store: every crash that the model knows, every byte damaged, disks that fail, and the machine's own
// file system.
#include "storage/store.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <cstdio>
#include <filesystem>
#include <map>

#include "storage/memory_file_system.hpp"

namespace gateway::storage {
namespace {

using Call = FaultyFileSystem::Call;

const std::string kFolder = "state";
const StoreOptions kOptions{"site/n1", "0.1.0", 1200, 1 << 20, false};

std::string PayloadOf(Sequence sequence) {
  return "record " + std::to_string(sequence) +
         std::string(sequence % 41, static_cast<char>('a' + sequence % 26));
}

struct Opened {
  Status status;
  std::unique_ptr<Store> store;
  Examination found;
};
Opened Open(FileSystem& files, const StoreOptions& options = kOptions) {
  Opened opened;
  opened.status = Store::Open(files, kFolder, options, opened.store, opened.found);
  return opened;
}

// What is wrong with what was found, or nothing: all up to `acknowledged` is there, and nothing that was
// never written.
std::string Wrong(const Examination& found, Sequence acknowledged, Sequence written) {
  if (found.found == Found::kDamaged || found.found == Found::kForeign)
    return "held for damaged: " + found.why;
  if (found.last() < acknowledged) {
    return "has up to " + std::to_string(found.last()) + ", acknowledged are " + std::to_string(acknowledged);
  }
  if (found.last() > written) return "has more than was written";
  if (found.snapshot && found.snapshot->payload != "all up to " + std::to_string(found.snapshot->sequence)) {
    return "another snapshot";
  }
  Sequence wanted = found.snapshot ? found.snapshot->sequence : 0;
  for (const Record& record : found.records) {
    if (record.sequence != ++wanted || record.payload != PayloadOf(wanted))
      return "another record " + std::to_string(wanted);
  }
  return "";
}

// 200 records in groups, four snapshots, segments of 1,200 bytes. Before each call to the file system the
// world as it is then is handed to `look`.
struct Workload {
  Sequence acknowledged = 0, written = 0;
  template <typename Look>
  void Run(MemoryFileSystem& memory, FaultyFileSystem::Hook faults, Look look) {
    boost::random::mt19937_64 random(11);
    FaultyFileSystem files(memory, [&](Call call, const std::string& path) {
      look(memory);
      return faults ? faults(call, path) : FaultyFileSystem::Verdict{};
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

// All that a loss of power may leave at this moment, as far as the draws go.
std::vector<std::unique_ptr<MemoryFileSystem>> Crashes(const MemoryFileSystem& memory,
                                                       boost::random::mt19937_64& random) {
  const auto draw = [&random](std::size_t most) {
    return boost::random::uniform_int_distribution<std::size_t>(0, most)(random);
  };
  const std::vector<std::function<std::string(std::string)>> tails{
      {},
      [](std::string tail) { return tail; },
      [&](std::string tail) { return tail.substr(0, draw(tail.size())); },  // torn
      [&](std::string tail) {  // written out of order: parts of 16 bytes are there or not
        for (std::size_t at = 0; at < tail.size(); at += 16) {
          if (draw(1) == 0)
            std::fill(tail.begin() + static_cast<std::ptrdiff_t>(at),
                      tail.begin() + static_cast<std::ptrdiff_t>(std::min(tail.size(), at + 16)), '\0');
        }
        return tail;
      },
      [&](std::string tail) {  // the length is there, the bytes are what stood there before
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

struct Verdicts {
  std::size_t states = 0, wrong = 0;
  std::string first;
};

// Recovers from every state of the workload, twice, and goes on: what is acknowledged then outlives the next
// loss.
Verdicts PlayCrashes(const FaultyFileSystem::Hook& in_workload, const FaultyFileSystem::Hook& in_recovery) {
  Verdicts verdicts;
  boost::random::mt19937_64 random(23);
  MemoryFileSystem memory;
  Workload workload;
  workload.Run(memory, in_workload, [&](const MemoryFileSystem& now) {
    for (const auto& crashed : Crashes(now, random)) {
      ++verdicts.states;
      FaultyFileSystem files(*crashed, [&](Call call, const std::string& path) {
        return in_recovery ? in_recovery(call, path) : FaultyFileSystem::Verdict{};
      });
      auto first = Open(files);
      std::string wrong = first.status.ok() ? Wrong(first.found, workload.acknowledged, workload.written)
                                            : first.status.Text();
      if (wrong.empty()) {
        const Sequence last = first.found.last();
        Examination again;
        if (!Examine(*crashed, kFolder, kOptions.owner, again).ok() || again.last() != last)
          wrong = "recovers to another";
        // Two more, then the power goes at once.
        for (int i = 1; i <= 2; ++i) first.store->Append(7, 1, PayloadOf(last + static_cast<Sequence>(i)));
        if (!first.store->Commit().ok()) wrong = "can't go on";
        const auto later = crashed->AfterPowerLoss({});
        Examination after;
        if (!Examine(*later, kFolder, kOptions.owner, after).ok()) wrong = "can't be read";
        if (wrong.empty()) wrong = Wrong(after, last + 2, last + 2);
        if (!wrong.empty()) wrong = "after the next loss: " + wrong;
      }
      if (!wrong.empty() && verdicts.wrong++ == 0) verdicts.first = wrong;
    }
  });
  return verdicts;
}

TEST(Store, KeepsWhatItAcknowledgedThroughEveryLossOfPower) {
  const Verdicts verdicts = PlayCrashes(nullptr, nullptr);
  EXPECT_EQ(verdicts.wrong, 0U) << verdicts.first;
  EXPECT_GE(verdicts.states, 10000U);
  RecordProperty("states", static_cast<int>(verdicts.states));
  std::printf("%zu crash states\n", verdicts.states);
}

// Each sync that the code makes is needed: without it some crash loses what was acknowledged.
TEST(Store, NeedsEachOfItsSyncs) {
  struct Case {
    const char* what;
    Call call;
    const char* path;   // holds this
    const char* after;  // the last change before it was to a path that holds this
    bool in_recovery;   // left out in what opens a crashed state, and not in the workload
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
      FaultyFileSystem::Verdict verdict;
      verdict.skip =
          call == c.call && path.find(c.path) != std::string::npos && last.find(c.after) != std::string::npos;
      if (call == Call::kLock) skipped = false;  // another opening
      if (c.in_recovery && verdict.skip) verdict.skip = !std::exchange(skipped, true);
      if (call == Call::kCreate || call == Call::kAppend || call == Call::kRename || call == Call::kRemove)
        last = path;
      return verdict;
    };
    const Verdicts verdicts = PlayCrashes(c.in_recovery ? nullptr : skips, c.in_recovery ? skips : nullptr);
    EXPECT_GT(verdicts.wrong, 0U) << "nothing is lost without the sync " << c.what;
    std::printf("without the sync %s: %zu of %zu states wrong\n", c.what, verdicts.wrong, verdicts.states);
  }
}

// A folder as a good run leaves it: a snapshot, and three segments behind it.
std::unique_ptr<MemoryFileSystem> Filled() {
  auto memory = std::make_unique<MemoryFileSystem>();
  auto opened = Open(*memory);
  for (Sequence s = 1; s <= 90; ++s) {
    opened.store->Append(7, 1, PayloadOf(s));
    EXPECT_TRUE(s % 3 != 0 || opened.store->Commit().ok());
    EXPECT_TRUE(s != 30 || opened.store->TakeSnapshot(2, "all up to 30").ok());
  }
  return memory;
}

// Every byte of every file flipped in turn: never believed, and what stands before it in the same log still
// is.
TEST(Store, BelievesNoFlippedBit) {
  const auto good = Filled();
  std::vector<std::string> names;
  ASSERT_TRUE(good->List(kFolder, false, names).ok());
  std::size_t flips = 0, damaged = 0;
  for (const std::string& name : names) {
    const std::size_t size = good->Bytes(kFolder + "/" + name)->size();
    for (std::size_t at = 0; at < size; ++at) {
      const auto bad = good->AfterProcessDeath();
      (*bad->Bytes(kFolder + "/" + name))[at] ^= static_cast<char>(1 << (at % 8));
      Examination found;
      ASSERT_TRUE(Examine(*bad, kFolder, kOptions.owner, found).ok());
      ++flips;
      damaged += found.found == Found::kDamaged;
      if (found.found == Found::kForeign) continue;  // not to be touched
      Sequence wanted = found.snapshot ? found.snapshot->sequence : 0;
      EXPECT_TRUE(!found.snapshot || found.snapshot->payload == "all up to 30");
      for (const Record& record : found.records) {
        ASSERT_EQ(record.sequence, ++wanted);
        ASSERT_EQ(record.payload, PayloadOf(wanted)) << name << " byte " << at;
      }
      // Unnoticed is only what can't be told from a last record that was never synced.
      EXPECT_TRUE(found.found != Found::kWhole || found.last() >= 87) << name << " byte " << at;
      StoreOptions anyway = kOptions;
      anyway.begin_after_damage = true;
      auto opened = Open(*bad, anyway);
      ASSERT_TRUE(opened.status.ok()) << opened.status.Text();
      ASSERT_GT(opened.store->Append(7, 1, "on"), 0U);
      ASSERT_TRUE(opened.store->Commit().ok());
      opened.store.reset();
      ASSERT_TRUE(Examine(*bad, kFolder, kOptions.owner, found).ok());
      EXPECT_EQ(found.found, Found::kWhole) << found.why << ", " << name << " byte " << at;
      EXPECT_EQ(found.records.empty() ? "" : found.records.back().payload, "on");
    }
  }
  std::printf("%zu flips, %zu reported as damage\n", flips, damaged);
  EXPECT_GT(damaged, flips * 9 / 10);
}

TEST(Store, StopsAtTheFirstErrorAndSaysIt) {
  struct Case {
    Call call;
    std::errc error;
  };
  for (const Case& c :
       {Case{Call::kAppend, std::errc::no_space_on_device}, Case{Call::kSync, std::errc::io_error}}) {
    MemoryFileSystem memory;
    bool failing = false;
    FaultyFileSystem files(memory, [&](Call call, const std::string&) {
      FaultyFileSystem::Verdict verdict;
      if (failing && call == c.call) verdict = {std::make_error_code(c.error), false, 13};
      return verdict;
    });
    auto opened = Open(files);
    opened.store->Append(7, 1, PayloadOf(1));
    ASSERT_TRUE(opened.store->Commit().ok());
    failing = true;
    opened.store->Append(7, 1, PayloadOf(2));
    EXPECT_EQ(opened.store->Commit().code, std::make_error_code(c.error));
    failing = false;  // the disk is well again; what it has lost is not known
    EXPECT_TRUE(opened.store->read_only());
    EXPECT_EQ(opened.store->Append(7, 1, "x"), 0U);
    EXPECT_FALSE(opened.store->Commit().ok());
    EXPECT_EQ(opened.store->durable(), 1U);
    opened.store.reset();
    const auto after = memory.AfterPowerLoss({});
    auto again = Open(*after);
    ASSERT_TRUE(again.status.ok()) << again.status.Text();
    EXPECT_EQ(again.found.last(), 1U);
  }
}

TEST(Store, IsOneOwnersAndOneProcesss) {
  const auto memory = Filled();
  auto first = Open(*memory);
  ASSERT_TRUE(first.status.ok());
  EXPECT_NE(Open(*memory).status.Text().find("held by another"), std::string::npos);
  first.store.reset();
  StoreOptions other = kOptions;
  other.owner = "site/n2";
  const auto before = memory->AfterProcessDeath();
  EXPECT_NE(Open(*memory, other).status.Text().find("belongs to 'site/n1', not to 'site/n2'"),
            std::string::npos);
  // A newer program's state is left as it is.
  std::string newer = "elderhead-state 2\nwhatever it says\n";
  char crc[32];
  std::snprintf(crc, sizeof crc, "crc32c %08x\n", Crc32c(newer));
  *memory->Bytes(kFolder + "/MANIFEST") = newer + crc;
  const auto untouched = memory->AfterProcessDeath();
  const auto opened = Open(*memory);
  EXPECT_NE(opened.status.Text().find("format 2"), std::string::npos) << opened.status.Text();
  std::vector<std::string> names;
  ASSERT_TRUE(untouched->List(kFolder, false, names).ok());
  for (const std::string& name : names) {
    EXPECT_EQ(*memory->Bytes(kFolder + "/" + name), *untouched->Bytes(kFolder + "/" + name)) << name;
  }
}

TEST(Store, BoundsWhatItTakesOfTheDisk) {
  MemoryFileSystem memory;
  StoreOptions small = kOptions;
  small.most_bytes = 5000;
  auto opened = Open(memory, small);
  int taken = 0;
  while (opened.store->Append(7, 1, std::string(100, 'x')) != 0) {
    ASSERT_TRUE(opened.store->Commit().ok());
    ASSERT_LT(++taken, 100);
  }
  EXPECT_GT(taken, 30);
  EXPECT_LE(opened.store->log_bytes(), 5000U);
  ASSERT_TRUE(opened.store->TakeSnapshot(1, "short").ok());
  EXPECT_NE(opened.store->Append(7, 1, std::string(100, 'x')), 0U);
  std::vector<std::string> names;
  ASSERT_TRUE(memory.List(kFolder, false, names).ok());
  EXPECT_EQ(names.size(), 2U);  // the manifest and the snapshot
}

// The same on the machine's own disk, with a process that is gone in between.
TEST(Store, WorksOnThisMachinesDisk) {
  const std::string folder = ::testing::TempDir() + "store-" + std::to_string(getpid());
  std::filesystem::remove_all(folder);
  const auto files = MakePosixFileSystem();
  for (Sequence round = 0; round < 5; ++round) {
    std::unique_ptr<Store> store;
    Examination found;
    const Status status = Store::Open(*files, folder, kOptions, store, found);
    ASSERT_TRUE(status.ok()) << status.Text();
    EXPECT_EQ(found.last(), round * 20);
    EXPECT_EQ(Wrong(found, round * 20, round * 20), "");
    for (Sequence i = 1; i <= 20; ++i)
      ASSERT_EQ(store->Append(7, 1, PayloadOf(round * 20 + i)), round * 20 + i);
    ASSERT_TRUE(store->Commit().ok());
    ASSERT_TRUE(round != 2 || store->TakeSnapshot(2, "all up to 60").ok());
    std::unique_ptr<Store> second;
    EXPECT_FALSE(Store::Open(*files, folder, kOptions, second, found).ok());
  }
  std::filesystem::remove_all(folder);
  Examination found;
  EXPECT_FALSE(Examine(*files, folder, "", found).ok());  // nothing there, and nothing made
  EXPECT_FALSE(std::filesystem::exists(folder));
}

}  // namespace
}  // namespace gateway::storage
