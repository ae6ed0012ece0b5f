// A store in memory whose records can be recognised.
#ifndef GATEWAY_TESTS_STORAGE_STORE_FIXTURE_HPP_
#define GATEWAY_TESTS_STORAGE_STORE_FIXTURE_HPP_

#include <gtest/gtest.h>

#include <memory>
#include <string>

#include "storage/memory_file_system.hpp"
#include "storage/store.hpp"

namespace gateway::storage {

inline const std::string kFolder = "state";
inline const StoreOptions kOptions{"site/n1", "0.1.0", 1200, 1 << 20, false};

inline std::string PayloadOf(Sequence sequence) {
  return "record " + std::to_string(sequence) +
         std::string(sequence % 41, static_cast<char>('a' + sequence % 26));
}

struct Opened {
  Status status;
  std::unique_ptr<Store> store;
  Examination found;
};
inline Opened Open(FileSystem& files, const StoreOptions& options = kOptions) {
  Opened opened;
  opened.status = Store::Open(files, kFolder, options, opened.store, opened.found);
  return opened;
}

// Returns what is wrong with the recovered state, or an empty string: all records up to `acknowledged` are
// there, and none that was never written.
inline std::string ErrorIn(const Examination& found, Sequence acknowledged, Sequence written) {
  if (found.condition == StoreCondition::kCorrupt || found.is_foreign())
    return "reported as corrupt: " + found.error;
  if (found.last() < acknowledged) {
    return "has up to " + std::to_string(found.last()) + ", acknowledged are " + std::to_string(acknowledged);
  }
  if (found.last() > written) return "has more than was written";
  if (found.snapshot && found.snapshot->payload != "all up to " + std::to_string(found.snapshot->sequence)) {
    return "another snapshot";
  }
  Sequence expected = found.snapshot ? found.snapshot->sequence : 0;
  for (const Record& record : found.records) {
    if (record.sequence != ++expected || record.payload != PayloadOf(expected))
      return "another record " + std::to_string(expected);
  }
  return "";
}

// A folder that holds a snapshot and three segments after it.
inline std::unique_ptr<MemoryFileSystem> FilledFolder() {
  auto memory = std::make_unique<MemoryFileSystem>();
  auto opened = Open(*memory);
  for (Sequence s = 1; s <= 90; ++s) {
    opened.store->Append(7, 1, PayloadOf(s));
    EXPECT_TRUE(s % 3 != 0 || opened.store->Commit().ok());
    EXPECT_TRUE(s != 30 || opened.store->TakeSnapshot(2, "all up to 30").ok());
  }
  return memory;
}

}  // namespace gateway::storage

#endif  // GATEWAY_TESTS_STORAGE_STORE_FIXTURE_HPP_
