// Helpers of the store tests: a store in memory with records that identify themselves.
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

struct OpenResult {
  Status status;
  std::unique_ptr<Store> store;
  Examination found;
};
inline OpenResult Open(FileSystem& files, const StoreOptions& options = kOptions) {
  OpenResult opened;
  opened.status = Store::Open(files, kFolder, options, opened.store, opened.found);
  return opened;
}

// Checks that the recovered state contains all records up to `acknowledged`, and no record after `written`.
// Returns an error message, or an empty string if the check passes.
inline std::string FindError(const Examination& found, Sequence acknowledged, Sequence written) {
  if (found.condition == StoreCondition::kCorrupt || found.is_foreign())
    return "reported as corrupt: " + found.error;
  if (found.last() < acknowledged) {
    return "recovered up to " + std::to_string(found.last()) + ", but acknowledged up to " +
           std::to_string(acknowledged);
  }
  if (found.last() > written) return "recovered records that were never written";
  if (found.snapshot && found.snapshot->payload != "all up to " + std::to_string(found.snapshot->sequence)) {
    return "the snapshot has an unexpected payload";
  }
  Sequence expected = found.snapshot ? found.snapshot->sequence : 0;
  for (const Record& record : found.records) {
    if (record.sequence != ++expected || record.payload != PayloadOf(expected))
      return "unexpected record instead of " + std::to_string(expected);
  }
  return "";
}

// Returns a file system whose folder contains a snapshot and three segments after it.
inline std::unique_ptr<MemoryFileSystem> MakeFilledFolder() {
  auto memory = std::make_unique<MemoryFileSystem>();
  auto opened = Open(*memory);
  for (Sequence sequence = 1; sequence <= 90; ++sequence) {
    opened.store->Append(7, 1, PayloadOf(sequence));
    EXPECT_TRUE(sequence % 3 != 0 || opened.store->Commit().ok());
    EXPECT_TRUE(sequence != 30 || opened.store->TakeSnapshot(2, "all up to 30").ok());
  }
  return memory;
}

}  // namespace gateway::storage

#endif  // GATEWAY_TESTS_STORAGE_STORE_FIXTURE_HPP_
