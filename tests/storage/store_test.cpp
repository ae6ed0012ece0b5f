// Tests of the store: disk errors, owners, size limits, and the POSIX file system.
#include "storage/store.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <filesystem>

#include "storage/checksum.hpp"
#include "storage/faulty_file_system.hpp"
#include "store_fixture.hpp"

namespace gateway::storage {
namespace {

using Call = FaultyFileSystem::Call;

// After a failed write or sync, it is unknown which data is durable. Later writes must not be acknowledged.
TEST(Store, IsReadOnlyAfterTheFirstError) {
  struct FailingCall {
    Call call;
    std::errc error;
  };
  for (const FailingCall& failing_call : {FailingCall{Call::kAppend, std::errc::no_space_on_device},
                                          FailingCall{Call::kSync, std::errc::io_error}}) {
    MemoryFileSystem memory;
    bool failing = false;
    FaultyFileSystem files(memory, [&](Call call, const std::string&) {
      FaultyFileSystem::Fault fault;
      if (failing && call == failing_call.call) {
        fault = {std::make_error_code(failing_call.error), false, 13};
      }
      return fault;
    });
    auto opened = Open(files);
    opened.store->Append(7, 1, PayloadOf(1));
    ASSERT_TRUE(opened.store->Commit().ok());
    failing = true;
    opened.store->Append(7, 1, PayloadOf(2));
    EXPECT_EQ(opened.store->Commit().code, std::make_error_code(failing_call.error));
    failing = false;  // the disk works again, but it is unknown which data it lost
    EXPECT_TRUE(opened.store->read_only());
    EXPECT_EQ(opened.store->Append(7, 1, "x"), 0U);
    EXPECT_FALSE(opened.store->Commit().ok());
    EXPECT_EQ(opened.store->durable_sequence(), 1U);
    opened.store.reset();
    const auto after_power_loss = memory.AfterPowerLoss({});
    auto reopened = Open(*after_power_loss);
    ASSERT_TRUE(reopened.status.ok()) << reopened.status.Text();
    EXPECT_EQ(reopened.examination.last_sequence(), 1U);
  }
}

// If two processes or two owners wrote to the same folder, they would corrupt the store. If an older program
// wrote to a store with a newer format, it would corrupt the store too.
TEST(Store, RejectsOtherProcessesOtherOwnersAndNewerFormats) {
  const auto memory = MakeFilledFolder();
  auto first = Open(*memory);
  ASSERT_TRUE(first.status.ok());
  EXPECT_NE(Open(*memory).status.Text().find("locked by another"), std::string::npos);
  first.store.reset();
  StoreOptions other_owner = kOptions;
  other_owner.owner = "site/n2";
  const auto before = memory->AfterProcessDeath();
  EXPECT_NE(Open(*memory, other_owner).status.Text().find("belongs to 'site/n1', not to 'site/n2'"),
            std::string::npos);
  // A store with a newer format must not be modified.
  std::string newer = "elderhead-state 2\nlines of a newer format\n";
  char crc[32];
  std::snprintf(crc, sizeof crc, "crc32c %08x\n", Crc32c(newer));
  *memory->Content(kFolder + "/MANIFEST") = newer + crc;
  const auto untouched = memory->AfterProcessDeath();
  const auto opened = Open(*memory);
  EXPECT_NE(opened.status.Text().find("format 2"), std::string::npos) << opened.status.Text();
  std::vector<std::string> names;
  ASSERT_TRUE(untouched->List(kFolder, false, names).ok());
  for (const std::string& name : names) {
    EXPECT_EQ(*memory->Content(kFolder + "/" + name), *untouched->Content(kFolder + "/" + name)) << name;
  }
}

// The log must not grow without limit if no snapshot is taken. A snapshot makes room for new records.
TEST(Store, RejectsRecordsWhenLogIsFullUntilSnapshot) {
  MemoryFileSystem memory;
  StoreOptions small_log = kOptions;
  small_log.max_log_bytes = 5000;
  auto opened = Open(memory, small_log);
  int accepted = 0;
  while (opened.store->Append(7, 1, std::string(100, 'x')) != 0) {
    ASSERT_TRUE(opened.store->Commit().ok());
    ASSERT_LT(++accepted, 100);
  }
  EXPECT_GT(accepted, 30);
  EXPECT_LE(opened.store->log_bytes(), 5000U);
  ASSERT_TRUE(opened.store->TakeSnapshot(1, "short").ok());
  EXPECT_NE(opened.store->Append(7, 1, std::string(100, 'x')), 0U);
  std::vector<std::string> names;
  ASSERT_TRUE(memory.List(kFolder, false, names).ok());
  EXPECT_EQ(names.size(), 2U);  // the manifest and the snapshot
}

// Reopens the store in each round. This detects errors in the use of real files, folders and locks.
TEST(Store, RecoversOnPosixFileSystem) {
  const std::string folder = ::testing::TempDir() + "store-" + std::to_string(getpid());
  std::filesystem::remove_all(folder);
  const auto files = MakePosixFileSystem();
  for (Sequence round = 0; round < 5; ++round) {
    std::unique_ptr<Store> store;
    Examination examination;
    const Status status = Store::Open(*files, folder, kOptions, store, examination);
    ASSERT_TRUE(status.ok()) << status.Text();
    EXPECT_EQ(examination.last_sequence(), round * 20);
    EXPECT_EQ(FindRecoveryError(examination, round * 20, round * 20), "");
    for (Sequence i = 1; i <= 20; ++i)
      ASSERT_EQ(store->Append(7, 1, PayloadOf(round * 20 + i)), round * 20 + i);
    ASSERT_TRUE(store->Commit().ok());
    ASSERT_TRUE(round != 2 || store->TakeSnapshot(2, "all up to 60").ok());
    std::unique_ptr<Store> second;
    EXPECT_FALSE(Store::Open(*files, folder, kOptions, second, examination).ok());
  }
  std::filesystem::remove_all(folder);
  Examination examination;
  // The folder does not exist. Examine() must not create it.
  EXPECT_FALSE(Examine(*files, folder, "", examination).ok());
  EXPECT_FALSE(std::filesystem::exists(folder));
}

}  // namespace
}  // namespace gateway::storage
