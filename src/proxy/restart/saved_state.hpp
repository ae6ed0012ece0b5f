// The state that a gateway saves on disk and loads at its next start. The JSON keys of the state are "list"
// (the endpoint list), "draining", "kept_at_ms" (list_valid_at) and "learned" (see learned_state_json.hpp).
#ifndef GATEWAY_PROXY_RESTART_SAVED_STATE_HPP_
#define GATEWAY_PROXY_RESTART_SAVED_STATE_HPP_

#include <cstdint>
#include <optional>
#include <string>

#include "gateway/policy.hpp"
#include "proxy/clock.hpp"
#include "proxy/discovery/endpoint_list.hpp"

namespace gateway::proxy {

// The version of the JSON format. The gateway neither reads nor replaces a saved state with a higher version.
constexpr std::uint16_t kSavedStateVersion = 1;

struct SavedState {
  EndpointList list;         // a snapshot
  bool draining = false;     // whether an operator has requested a drain
  Millis list_valid_at = 0;  // Unix time in ms at which the list was last known to be current
  std::optional<policy::LearnedState> learned;
};

std::string SerializeSavedState(const SavedState& state);

// Parses a saved state. Returns std::nullopt if any part except `learned` is malformed. If only `learned` is
// malformed, logs a warning and returns the state without `learned`. `learned` may be absent, because early
// versions of the program did not write it.
std::optional<SavedState> ParseSavedState(const std::string& text);

// Reads the state of `owner` from `folder` without writing to the folder. Returns std::nullopt if there is no
// state. If there is a state that can't be used, logs the reason and returns std::nullopt. Blocks on disk
// reads, so call it only at the start of the process.
std::optional<SavedState> LoadSavedState(const std::string& folder, const std::string& owner);

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_RESTART_SAVED_STATE_HPP_
