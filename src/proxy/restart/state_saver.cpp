#include "proxy/restart/state_saver.hpp"

#include <atomic>
#include <chrono>
#include <thread>
#include <utility>

#include "base/log.hpp"
#include "storage/faulty_file_system.hpp"
#include "storage/store.hpp"

namespace gateway::proxy {
namespace {

constexpr auto kOpenPollInterval = std::chrono::milliseconds(50);
constexpr int kPollsPerOpenAttempt = 20;  // so the saver tries to open a busy folder once per second
constexpr auto kMaxLastWriteTime = std::chrono::milliseconds(200);
constexpr auto kLastWritePollInterval = std::chrono::milliseconds(1);

void LogState(base::Level level, const char* event, const std::string& text) {
  base::Log(level, "state", event, "saved state: " + text);
}

// Returns a file system that delays each sync and otherwise passes all calls to `files`.
storage::FaultyFileSystem DelaySyncs(storage::FileSystem& files, Millis delay) {
  using Faulty = storage::FaultyFileSystem;
  return Faulty(files, [delay](Faulty::Call call, const std::string&) {
    if (call == Faulty::Call::kSync) std::this_thread::sleep_for(TimerDuration(delay));
    return Faulty::Fault{};
  });
}

}  // namespace

struct StateSaver::Shared {
  ~Shared() { delete newest_state.load(); }

  // The state to write next, or null. The thread that exchanges the pointer owns the previous state.
  std::atomic<std::string*> newest_state{nullptr};
  std::atomic<std::uint32_t> wake_count{0};  // incremented by each Save() and at the stop, to wake the thread
  std::atomic<bool> stopping{false};
  std::atomic<bool> done{false};  // the thread has finished
  std::atomic<bool> ok{true};
  std::atomic<std::uint64_t> writes{0};
  std::atomic<std::uint64_t> bytes{0};
};

// Opens the folder and writes the states, in the saver's thread.
class StateSaver::Writer {
 public:
  Writer(std::string folder, const std::string& owner, Millis sync_delay, std::shared_ptr<Shared> shared);

  // Writes states until the saver stops or can no longer write.
  void Run();

 private:
  enum class OpenResult { kOpened, kBusy, kUnusable };

  std::unique_ptr<std::string> WaitForState();
  bool OpenStore();
  OpenResult TryToOpen();
  OpenResult ReportUnusable(const std::string& reason);
  bool Write(const std::string& state);

  const std::string folder_;
  const std::shared_ptr<Shared> shared_;
  const std::unique_ptr<storage::FileSystem> disk_;
  storage::FaultyFileSystem slow_disk_;
  storage::FileSystem& files_;
  storage::StoreOptions options_;
  std::unique_ptr<storage::Store> store_;  // null until the folder has been opened
  int open_polls_ = 0;
  std::string last_open_error_;  // used to log an error again only if it changes
  std::uint32_t seen_wake_count_ = 0;
};

StateSaver::Writer::Writer(std::string folder, const std::string& owner, Millis sync_delay,
                           std::shared_ptr<Shared> shared)
    : folder_(std::move(folder)),
      shared_(std::move(shared)),
      disk_(storage::MakePosixFileSystem()),
      slow_disk_(DelaySyncs(*disk_, sync_delay)),
      files_(sync_delay > 0 ? static_cast<storage::FileSystem&>(slow_disk_) : *disk_) {
  options_.owner = owner;
  options_.program = GATEWAY_VERSION;
  options_.open_corrupt = true;  // renames damaged files; the next save writes a new state
}

void StateSaver::Writer::Run() {
  for (;;) {
    const std::unique_ptr<std::string> state = WaitForState();
    if (!state || !OpenStore() || !Write(*state)) return;
  }
}

// Waits for the next state to write. Returns null if the saver stops.
std::unique_ptr<std::string> StateSaver::Writer::WaitForState() {
  for (;;) {
    std::unique_ptr<std::string> state(shared_->newest_state.exchange(nullptr));
    if (state || shared_->stopping) return state;
    shared_->wake_count.wait(seen_wake_count_);
    seen_wake_count_ = shared_->wake_count;
  }
}

// Waits until the folder can be opened. Returns false if it is unusable or the saver stops.
bool StateSaver::Writer::OpenStore() {
  while (!store_) {
    const bool attempt_is_due = open_polls_++ % kPollsPerOpenAttempt == 0;
    const OpenResult result = attempt_is_due ? TryToOpen() : OpenResult::kBusy;
    if (result == OpenResult::kOpened) return true;
    if (result == OpenResult::kUnusable || shared_->stopping) return false;
    std::this_thread::sleep_for(kOpenPollInterval);
  }
  return true;
}

StateSaver::Writer::OpenResult StateSaver::Writer::TryToOpen() {
  storage::Examination found;
  const storage::Status status = storage::Store::Open(files_, folder_, options_, store_, found);
  if (found.must_not_be_modified()) return ReportUnusable(status.Text() + "; the folder is left unchanged");
  if (status.ok() && found.snapshot && found.snapshot->version > kSavedStateVersion) {
    return ReportUnusable(folder_ +
                          ": saved by a newer version of the program; the folder is left unchanged");
  }
  if (status.ok()) return OpenResult::kOpened;
  if (std::exchange(last_open_error_, status.Text()) != status.Text()) {
    LogState(base::Level::kWarning, "waits", status.Text() + "; retrying every second");
  }
  return OpenResult::kBusy;
}

StateSaver::Writer::OpenResult StateSaver::Writer::ReportUnusable(const std::string& reason) {
  LogState(base::Level::kError, "not_written", reason);
  shared_->ok = false;
  return OpenResult::kUnusable;
}

bool StateSaver::Writer::Write(const std::string& state) {
  const storage::Status status = store_->TakeSnapshot(kSavedStateVersion, state);
  if (!status.ok()) {
    LogState(base::Level::kError, "not_written", status.Text() + "; no state is saved until the next start");
    shared_->ok = false;
    return false;
  }
  ++shared_->writes;
  shared_->bytes = state.size();
  return true;
}

StateSaver::StateSaver(std::string folder, std::string owner, Millis sync_delay)
    : shared_(std::make_shared<Shared>()) {
  std::thread([shared = shared_, folder = std::move(folder), owner = std::move(owner), sync_delay] {
    Writer(folder, owner, sync_delay, shared).Run();
    shared->done = true;
  }).detach();
}

StateSaver::~StateSaver() {
  shared_->stopping = true;
  shared_->wake_count.fetch_add(1);
  shared_->wake_count.notify_one();
  const auto deadline = std::chrono::steady_clock::now() + kMaxLastWriteTime;
  while (!shared_->done && std::chrono::steady_clock::now() < deadline) {
    std::this_thread::sleep_for(kLastWritePollInterval);
  }
}

void StateSaver::Save(const SavedState& state) {
  if (!shared_->ok) return;
  delete shared_->newest_state.exchange(new std::string(SerializeSavedState(state)));
  shared_->wake_count.fetch_add(1);
  shared_->wake_count.notify_one();
}

bool StateSaver::ok() const { return shared_->ok; }
std::uint64_t StateSaver::writes() const { return shared_->writes; }
std::uint64_t StateSaver::bytes() const { return shared_->bytes; }

}  // namespace gateway::proxy
