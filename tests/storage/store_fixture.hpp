// Helpers of the store tests: a store in memory. The payload of each record depends on the record's sequence
// number, so that tests can verify the payload.
#ifndef GATEWAY_TESTS_STORAGE_STORE_FIXTURE_HPP_
#define GATEWAY_TESTS_STORAGE_STORE_FIXTURE_HPP_

#include <gtest/gtest.h>

#include <memory>
#include <string>

#include "storage/memory_file_system.hpp"
#include "storage/store.hpp"

namespace gateway::storage {

inline const std::string kFolder = "state";
inline const StoreOptions kOptions{/*owner=*/"site/n1", /*program=*/"0.1.0", /*max_segment_bytes=*/1200,
                                   /*max_log_bytes=*/1 << 20, /*open_corrupt=*/false};

inline std::string PayloadOf(Sequence sequence) {
  return "record " + std::to_string(sequence) +
         std::string(sequence % 41, static_cast<char>('a' + sequence % 26));
}

struct OpenResult {
  Status status;
  std::unique_ptr<Store> store;
  Examination examination;
};
inline OpenResult Open(FileSystem& files, const StoreOptions& options = kOptions) {
  OpenResult opened;
  opened.status = Store::Open(files, kFolder, options, opened.store, opened.examination);
  return opened;
}

// Checks that the recovered state contains all records up to `acknowledged`, and no record after `written`.
// Returns an error message, or an empty string if the check passes.
inline std::string FindRecoveryError(const Examination& examination, Sequence acknowledged,
                                     Sequence written) {
  if (examination.condition == StoreCondition::kCorrupt || examination.must_not_be_modified())
    return "reported as corrupt, or as a store of another owner or format: " + examination.error;
  if (examination.last_sequence() < acknowledged) {
    return "recovered records up to " + std::to_string(examination.last_sequence()) + ", but records up to " +
           std::to_string(acknowledged) + " were acknowledged";
  }
  if (examination.last_sequence() > written) {
    return "recovered records up to " + std::to_string(examination.last_sequence()) +
           ", but wrote records only up to " + std::to_string(written);
  }
  if (examination.snapshot &&
      examination.snapshot->payload != "all up to " + std::to_string(examination.snapshot->sequence)) {
    return "the snapshot has an unexpected payload";
  }
  Sequence expected = examination.snapshot ? examination.snapshot->sequence : 0;
  for (const Record& record : examination.records) {
    if (record.sequence != ++expected || record.payload != PayloadOf(expected))
      return "record " + std::to_string(expected) + " is missing or has an unexpected payload";
  }
  return "";
}

// Returns a file system with a store that consists of a snapshot and three segments after the snapshot.
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
