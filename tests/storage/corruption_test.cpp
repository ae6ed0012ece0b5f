// Detection of corrupt files.
#include <gtest/gtest.h>

#include <cstdio>
#include <string>
#include <vector>

#include "store_fixture.hpp"

namespace gateway::storage {
namespace {

// A bit of each byte of each file is flipped in turn: what it belongs to is never used, and what precedes it
// in the log still is.
TEST(Corruption, DetectsEveryFlippedBit) {
  const auto good = FilledFolder();
  std::vector<std::string> names;
  ASSERT_TRUE(good->List(kFolder, false, names).ok());
  std::size_t flips = 0, damaged = 0;
  for (const std::string& name : names) {
    const std::size_t size = good->Content(kFolder + "/" + name)->size();
    for (std::size_t at = 0; at < size; ++at) {
      const auto bad = good->AfterProcessDeath();
      (*bad->Content(kFolder + "/" + name))[at] ^= static_cast<char>(1 << (at % 8));
      Examination found;
      ASSERT_TRUE(Examine(*bad, kFolder, kOptions.owner, found).ok());
      ++flips;
      damaged += found.condition == StoreCondition::kCorrupt;
      if (found.is_foreign()) continue;  // is not to be changed
      Sequence expected = found.snapshot ? found.snapshot->sequence : 0;
      EXPECT_TRUE(!found.snapshot || found.snapshot->payload == "all up to 30");
      for (const Record& record : found.records) {
        ASSERT_EQ(record.sequence, ++expected);
        ASSERT_EQ(record.payload, PayloadOf(expected)) << name << " byte " << at;
      }
      // Unnoticed is only what looks like a last record that was never synced.
      EXPECT_TRUE(found.condition != StoreCondition::kComplete || found.last() >= 87)
          << name << " byte " << at;
      StoreOptions open_corrupt = kOptions;
      open_corrupt.open_corrupt = true;
      auto opened = Open(*bad, open_corrupt);
      ASSERT_TRUE(opened.status.ok()) << opened.status.Text();
      ASSERT_GT(opened.store->Append(7, 1, "on"), 0U);
      ASSERT_TRUE(opened.store->Commit().ok());
      opened.store.reset();
      ASSERT_TRUE(Examine(*bad, kFolder, kOptions.owner, found).ok());
      EXPECT_EQ(found.condition, StoreCondition::kComplete) << found.error << ", " << name << " byte " << at;
      EXPECT_EQ(found.records.empty() ? "" : found.records.back().payload, "on");
    }
  }
  std::printf("%zu flips, %zu reported as damage\n", flips, damaged);
  EXPECT_GT(damaged, flips * 9 / 10);
}

}  // namespace
}  // namespace gateway::storage
