// Tests that corrupt files of a store are detected.
#include <gtest/gtest.h>

#include <cstdio>
#include <string>
#include <vector>

#include "store_fixture.hpp"

namespace gateway::storage {
namespace {

// Flips one bit of one byte, and repeats this for each byte of each file. The corrupt file or record must
// never be used. The log records before the corrupt record must still be recovered.
TEST(Corruption, DetectsEveryFlippedBit) {
  const auto intact = MakeFilledFolder();
  std::vector<std::string> names;
  ASSERT_TRUE(intact->List(kFolder, false, names).ok());
  std::size_t flips = 0, detected = 0;
  for (const std::string& name : names) {
    const std::size_t size = intact->Content(kFolder + "/" + name)->size();
    for (std::size_t offset = 0; offset < size; ++offset) {
      const auto corrupted = intact->AfterProcessDeath();
      (*corrupted->Content(kFolder + "/" + name))[offset] ^= static_cast<char>(1 << (offset % 8));
      Examination examination;
      ASSERT_TRUE(Examine(*corrupted, kFolder, kOptions.owner, examination).ok());
      ++flips;
      detected += examination.condition == StoreCondition::kCorrupt;
      // A store of another owner or of a newer format must not be modified, so it is not opened here.
      if (examination.must_not_be_modified()) continue;
      Sequence expected = examination.snapshot ? examination.snapshot->sequence : 0;
      EXPECT_TRUE(!examination.snapshot || examination.snapshot->payload == "all up to 30");
      for (const Record& record : examination.records) {
        ASSERT_EQ(record.sequence, ++expected);
        ASSERT_EQ(record.payload, PayloadOf(expected)) << name << " byte " << offset;
      }
      // A flipped bit may go undetected only in the last commit (records 88 to 90). There, a corrupt record
      // looks like a record that was not synced before a crash.
      EXPECT_TRUE(examination.condition != StoreCondition::kComplete || examination.last_sequence() >= 87)
          << name << " byte " << offset;
      StoreOptions open_corrupt = kOptions;
      open_corrupt.open_corrupt = true;
      auto opened = Open(*corrupted, open_corrupt);
      ASSERT_TRUE(opened.status.ok()) << opened.status.Text();
      ASSERT_GT(opened.store->Append(7, 1, "on"), 0U);
      ASSERT_TRUE(opened.store->Commit().ok());
      opened.store.reset();
      ASSERT_TRUE(Examine(*corrupted, kFolder, kOptions.owner, examination).ok());
      EXPECT_EQ(examination.condition, StoreCondition::kComplete)
          << examination.error << ", " << name << " byte " << offset;
      EXPECT_EQ(examination.records.empty() ? "" : examination.records.back().payload, "on");
    }
  }
  std::printf("%zu bits flipped, %zu of them reported as corrupt\n", flips, detected);
  EXPECT_GT(detected, flips * 9 / 10);
}

}  // namespace
}  // namespace gateway::storage
