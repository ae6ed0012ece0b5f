#include "proxy/restart/state_saver.hpp"

#include <chrono>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "base/log.hpp"
#include "proxy/clock.hpp"
#include "proxy/restart/learned_state_json.hpp"
#include "storage/faulty_file_system.hpp"
#include "storage/store.hpp"

namespace gateway::proxy {
namespace {

using nlohmann::json;

constexpr std::uint16_t kVersion = 1;  // of the payload
constexpr auto kLookAgain = std::chrono::milliseconds(50);
constexpr auto kLastWrite = std::chrono::milliseconds(200);  // how long the process's end waits for it
constexpr int kTryAgain = 20;  // looks, from one try for a folder that another process holds to the next

void Say(base::Level level, const char* event, const std::string& text) {
  base::Log(level, "state", event, "state kept: " + text);
}

}  // namespace

std::string ToText(const SavedState& state) {
  json form = {
      {"list", json::parse(ToText(state.list))}, {"draining", state.draining}, {"kept_at_ms", state.kept_at}};
  if (state.learned) form["learned"] = ToJson(*state.learned);
  return form.dump();
}

std::optional<SavedState> ParseSavedState(const std::string& text) {
  const json parsed = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!parsed.is_object() || !parsed.contains("list")) return std::nullopt;
  const json draining = parsed.value("draining", json()), kept_at = parsed.value("kept_at_ms", json());
  auto list = ParseEndpointList(parsed["list"].dump());
  if (!list || !list->complete || !draining.is_boolean() || !kept_at.is_number()) return std::nullopt;
  SavedState state{std::move(*list), draining.get<bool>(), kept_at.get<double>(), std::nullopt};
  if (parsed.contains("learned")) {  // an older program kept none
    try {
      state.learned = LearnedFromJson(parsed["learned"]);
    } catch (const std::exception& error) {
      Say(base::Level::kWarning, "not_read",
          std::string("what was learned is not believed: ") + error.what());
    }
  }
  return state;
}

std::optional<SavedState> LoadState(const std::string& folder, const std::string& owner) {
  const auto files = storage::MakePosixFileSystem();
  storage::Examination found;
  const storage::Status status = storage::Examine(*files, folder, owner, found);
  if (!status.ok()) {
    if (status.code != std::errc::no_such_file_or_directory)
      Say(base::Level::kWarning, "not_read", status.Text());
    return std::nullopt;
  }
  if (!found.error.empty()) Say(base::Level::kWarning, "not_read", folder + ": " + found.error);
  if (!found.snapshot) return std::nullopt;
  auto state = found.snapshot->version > kVersion ? std::nullopt : ParseSavedState(found.snapshot->payload);
  if (!state) Say(base::Level::kWarning, "not_read", folder + ": a snapshot that this program can't read");
  return state;
}

StateSaver::StateSaver(std::string folder, std::string owner, Millis sync_delay)
    : shared_(std::make_shared<Shared>()) {
  std::thread([shared = shared_, folder = std::move(folder), owner = std::move(owner), sync_delay] {
    Write(folder, owner, sync_delay, *shared);
    shared->done = true;
  }).detach();
}

StateSaver::~StateSaver() {
  shared_->stopping = true;
  shared_->wakes.fetch_add(1);
  shared_->wakes.notify_one();
  const auto until = std::chrono::steady_clock::now() + kLastWrite;
  while (!shared_->done && std::chrono::steady_clock::now() < until) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

void StateSaver::Keep(const SavedState& state) {
  if (!shared_->ok) return;
  delete shared_->newest.exchange(new std::string(ToText(state)));
  shared_->wakes.fetch_add(1);
  shared_->wakes.notify_one();
}

void StateSaver::Write(const std::string& folder, const std::string& owner, Millis sync_delay,
                       Shared& shared) {
  const auto disk = storage::MakePosixFileSystem();
  storage::FaultyFileSystem slow(*disk,
                                 [sync_delay](storage::FaultyFileSystem::Call call, const std::string&) {
                                   if (call == storage::FaultyFileSystem::Call::kSync)
                                     std::this_thread::sleep_for(Span(sync_delay));
                                   return storage::FaultyFileSystem::Fault{};
                                 });
  storage::FileSystem* const files = sync_delay > 0 ? static_cast<storage::FileSystem*>(&slow) : disk.get();
  storage::StoreOptions options;
  options.owner = owner;
  options.program = GATEWAY_VERSION;
  options.open_corrupt = true;  // a list that is newer is on its way anyway; the old files are kept aside
  std::unique_ptr<storage::Store> opened;
  int looks = 0;
  std::string said;
  for (std::uint32_t seen = 0;;) {
    const std::unique_ptr<std::string> state(shared.newest.exchange(nullptr));
    if (!state) {
      if (shared.stopping) return;
      shared.wakes.wait(seen);
      seen = shared.wakes;
      continue;
    }
    while (!opened) {
      storage::Examination found;
      if (looks++ % kTryAgain == 0) {
        const storage::Status status = storage::Store::Open(*files, folder, options, opened, found);
        if (found.is_foreign()) {
          Say(base::Level::kError, "not_written", status.Text() + "; it is left as it is");
          shared.ok = false;
          return;
        }
        if (status.ok() && found.snapshot && found.snapshot->version > kVersion) {
          Say(base::Level::kError, "not_written", folder + ": kept by a newer program; it is left as it is");
          shared.ok = false;
          return;
        }
        if (!status.ok() && std::exchange(said, status.Text()) != status.Text()) {
          Say(base::Level::kWarning, "waits", status.Text() + "; tried again every second");
        }
      }
      if (opened) break;
      if (shared.stopping) return;
      std::this_thread::sleep_for(kLookAgain);
    }
    // A newer one that came meanwhile is taken in the next round.
    const storage::Status status = opened->TakeSnapshot(kVersion, *state);
    if (!status.ok()) {
      Say(base::Level::kError, "not_written", status.Text() + "; nothing more is kept until the next start");
      shared.ok = false;
      return;
    }
    ++shared.written;
    shared.bytes = state->size();
  }
}

}  // namespace gateway::proxy
