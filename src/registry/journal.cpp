#include "registry/journal.hpp"

#include <utility>

#include "base/clock.hpp"
#include "registry/catalog.hpp"

namespace gateway::registry {

Journal::Journal(storage::FileSystem& files, std::string folder, storage::StoreOptions options,
                 std::function<void(Written)> done)
    : files_(files),
      folder_(std::move(folder)),
      options_(std::move(options)),
      done_(std::move(done)),
      thread_([this] { Run(); }) {}

Journal::~Journal() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_one();
  thread_.join();
}

storage::Status Journal::Open(storage::Examination& found) {
  store_.reset();  // its lock, too
  return storage::Store::Open(files_, folder_, options_, store_, found);
}

void Journal::Write(Batch batch) {
  {
    const std::lock_guard lock(mutex_);
    next_ = std::move(batch);
  }
  wake_.notify_one();
}

void Journal::Run() {
  for (;;) {
    Batch batch;
    {
      std::unique_lock lock(mutex_);
      wake_.wait(lock, [this] { return stopping_ || next_; });
      if (!next_) return;
      batch = std::move(*std::exchange(next_, std::nullopt));
    }
    done_(Do(batch));
  }
}

Journal::Written Journal::Do(const Batch& batch) {
  Written written;
  const base::Millis begun = base::MonotonicNow();
  if (!store_) {
    written.status = {{}, folder_ + ": not open"};
    return written;
  }
  if (batch.snapshot) written.status = store_->TakeSnapshot(kSnapshotVersion, *batch.snapshot);
  for (const std::string& record : batch.records) {
    if (!written.status.ok()) break;
    const storage::Sequence sequence = store_->Append(1, kCommandVersion, record);
    if (sequence == 0) written.status = {{}, folder_ + ": no room for a record"};
    written.sequences.push_back(sequence);
  }
  if (written.status.ok()) written.status = store_->Commit();
  written.took_ms = base::MonotonicNow() - begun;
  written.log_bytes = store_->log_bytes();
  return written;
}

}  // namespace gateway::registry
