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

std::optional<policy::LearnedState> ParseLearned(const json& form) {
  try {
    return LearnedStateFromJson(form);
  } catch (const std::exception& error) {
    LogNotRead(std::string("ignored the learned state: ") + error.what());
    return std::nullopt;
  }
}

}  // namespace

std::string SerializeSavedState(const SavedState& state) {
  json form = {{"list", json::parse(SerializeEndpointList(state.list))},
               {"draining", state.draining},
               {"kept_at_ms", state.list_valid_at}};
  if (state.learned) form["learned"] = LearnedStateToJson(*state.learned);
  return form.dump();
}

std::optional<SavedState> ParseSavedState(const std::string& text) {
  const json form = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!form.is_object() || !form.contains("list")) return std::nullopt;
  const json draining = form.value("draining", json());
  const json list_valid_at = form.value("kept_at_ms", json());
  std::optional<EndpointList> list = ParseEndpointList(form["list"].dump());
  if (!list || !list->complete || !draining.is_boolean() || !list_valid_at.is_number()) return std::nullopt;
  SavedState state{*std::move(list), draining.get<bool>(), list_valid_at.get<double>(), std::nullopt};
  if (form.contains("learned")) state.learned = ParseLearned(form["learned"]);
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
