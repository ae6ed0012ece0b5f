// Tests that corrupt files of a store are detected.
#include <gtest/gtest.h>

#include <cstdio>
#include <string>
#include <vector>

#include "store_fixture.hpp"

namespace gateway::storage {
namespace {

// Flips one bit in each byte of each file in turn. The corrupt file or record must never be used, while the
// records before it in the log must still be recovered.
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
      Examination found;
      ASSERT_TRUE(Examine(*corrupted, kFolder, kOptions.owner, found).ok());
      ++flips;
      detected += found.condition == StoreCondition::kCorrupt;
      if (found.is_foreign()) continue;  // a foreign store must not be opened, since that would modify it
      Sequence expected = found.snapshot ? found.snapshot->sequence : 0;
      EXPECT_TRUE(!found.snapshot || found.snapshot->payload == "all up to 30");
      for (const Record& record : found.records) {
        ASSERT_EQ(record.sequence, ++expected);
        ASSERT_EQ(record.payload, PayloadOf(expected)) << name << " byte " << offset;
      }
      // A flipped bit may go unnoticed only if the corrupt record looks like an unsynced record at the end.
      EXPECT_TRUE(found.condition != StoreCondition::kComplete || found.last() >= 87)
          << name << " byte " << offset;
      StoreOptions open_corrupt = kOptions;
      open_corrupt.open_corrupt = true;
      auto opened = Open(*corrupted, open_corrupt);
      ASSERT_TRUE(opened.status.ok()) << opened.status.Text();
      ASSERT_GT(opened.store->Append(7, 1, "on"), 0U);
      ASSERT_TRUE(opened.store->Commit().ok());
      opened.store.reset();
      ASSERT_TRUE(Examine(*corrupted, kFolder, kOptions.owner, found).ok());
      EXPECT_EQ(found.condition, StoreCondition::kComplete)
          << found.error << ", " << name << " byte " << offset;
      EXPECT_EQ(found.records.empty() ? "" : found.records.back().payload, "on");
    }
  }
  std::printf("%zu flips, %zu reported as corrupt\n", flips, detected);
  EXPECT_GT(detected, flips * 9 / 10);
}

}  // namespace
}  // namespace gateway::storage
