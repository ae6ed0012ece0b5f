#include "registry/log_writer.hpp"

#include <utility>

#include "base/clock.hpp"
#include "registry/record_codec.hpp"

namespace gateway::registry {
namespace {

constexpr std::uint16_t kCommandRecord = 1;  // the record kind of a command; this log contains no other kind

}  // namespace

LogWriter::LogWriter(storage::FileSystem& files, std::string folder, storage::StoreOptions options,
                     std::function<void(BatchResult)> on_written)
    : files_(files),
      folder_(std::move(folder)),
      options_(std::move(options)),
      on_written_(std::move(on_written)),
      thread_([this] { Run(); }) {}

LogWriter::~LogWriter() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_one();
  thread_.join();
}

storage::Status LogWriter::Open(storage::Examination& examination) {
  store_.reset();  // releases the lock on the folder
  return storage::Store::Open(files_, folder_, options_, store_, examination);
}

void LogWriter::Write(Batch batch) {
  {
    const std::lock_guard lock(mutex_);
    next_batch_ = std::move(batch);
  }
  wake_.notify_one();
}

void LogWriter::Run() {
  for (;;) {
    Batch batch;
    {
      std::unique_lock lock(mutex_);
      wake_.wait(lock, [this] { return stopping_ || next_batch_; });
      if (!next_batch_) return;
      batch = std::move(*std::exchange(next_batch_, std::nullopt));
    }
    on_written_(WriteBatch(batch));
  }
}

LogWriter::BatchResult LogWriter::WriteBatch(const Batch& batch) {
  BatchResult result;
  if (!store_) {
    result.status = {{}, folder_ + ": the store is not open"};
    return result;
  }
  const base::Millis start_time = base::MonotonicNow();
  result.status = AppendAndCommit(batch, result.sequences);
  result.duration_ms = base::MonotonicNow() - start_time;
  result.log_bytes = store_->log_bytes();
  return result;
}

storage::Status LogWriter::AppendAndCommit(const Batch& batch, std::vector<storage::Sequence>& sequences) {
  if (batch.snapshot) {
    storage::Status status = store_->TakeSnapshot(kSnapshotVersion, *batch.snapshot);
    if (!status.ok()) return status;
  }
  for (const std::string& record : batch.records) {
    const storage::Sequence sequence = store_->Append(kCommandRecord, kCommandVersion, record);
    sequences.push_back(sequence);
    if (sequence == 0) return {{}, folder_ + ": the log is full or a record is too long"};
  }
  return store_->Commit();
}

}  // namespace gateway::registry
