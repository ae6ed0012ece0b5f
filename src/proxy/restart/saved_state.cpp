#include "proxy/restart/saved_state.hpp"

#include <exception>
#include <memory>
#include <nlohmann/json.hpp>
#include <system_error>
#include <utility>

#include "base/log.hpp"
#include "proxy/restart/learned_state_json.hpp"
#include "storage/file_system.hpp"
#include "storage/store.hpp"

namespace gateway::proxy {
namespace {

using nlohmann::json;

void LogNotRead(const std::string& reason) {
  base::Log(base::Level::kWarning, "state", "not_read", "saved state: " + reason);
}

std::optional<policy::LearnedState> ParseLearned(const json& learned_json) {
  try {
    return LearnedStateFromJson(learned_json);
  } catch (const std::exception& error) {
    LogNotRead(std::string("ignored the learned state: ") + error.what());
    return std::nullopt;
  }
}

}  // namespace

std::string SerializeSavedState(const SavedState& state) {
  json state_json = {{"list", json::parse(SerializeEndpointList(state.list))},
                     {"draining", state.draining},
                     {"kept_at_ms", state.list_valid_at}};
  if (state.learned) state_json["learned"] = LearnedStateToJson(*state.learned);
  return state_json.dump();
}

std::optional<SavedState> ParseSavedState(const std::string& text) {
  const json state_json = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!state_json.is_object() || !state_json.contains("list")) return std::nullopt;
  const json draining = state_json.value("draining", json());
  const json list_valid_at = state_json.value("kept_at_ms", json());
  std::optional<EndpointList> list = ParseEndpointList(state_json["list"].dump());
  if (!list || !list->complete || !draining.is_boolean() || !list_valid_at.is_number()) return std::nullopt;
  SavedState state{*std::move(list), draining.get<bool>(), list_valid_at.get<double>(), std::nullopt};
  if (state_json.contains("learned")) state.learned = ParseLearned(state_json["learned"]);
  return state;
}

std::optional<SavedState> LoadSavedState(const std::string& folder, const std::string& owner) {
  const auto files = storage::MakePosixFileSystem();
  storage::Examination found;
  const storage::Status status = storage::Examine(*files, folder, owner, found);
  if (!status.ok()) {
    if (status.code != std::errc::no_such_file_or_directory) LogNotRead(status.Text());
    return std::nullopt;
  }
  if (!found.error.empty()) LogNotRead(folder + ": " + found.error);
  if (!found.snapshot) return std::nullopt;
  std::optional<SavedState> state;
  if (found.snapshot->version <= kSavedStateVersion) state = ParseSavedState(found.snapshot->payload);
  if (!state) {
    LogNotRead(folder + ": this program can't read the snapshot: expected valid content of version " +
               std::to_string(kSavedStateVersion) + " or lower, got version " +
               std::to_string(found.snapshot->version));
  }
  return state;
}

}  // namespace gateway::proxy
