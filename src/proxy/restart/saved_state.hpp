// The state that a gateway saves on disk for the next process, the JSON form of the state, and its loading at
// the start. The keys of the JSON form are "list" (the endpoint list), "draining", "kept_at_ms"
// (list_valid_at) and "learned" (see learned_state_json.hpp).
#ifndef GATEWAY_PROXY_RESTART_SAVED_STATE_HPP_
#define GATEWAY_PROXY_RESTART_SAVED_STATE_HPP_

#include <cstdint>
#include <optional>
#include <string>

#include "gateway/policy.hpp"
#include "proxy/clock.hpp"
#include "proxy/discovery/endpoint_list.hpp"

namespace gateway::proxy {

// Version of the JSON form. A saved state with a higher version is neither read nor replaced.
constexpr std::uint16_t kSavedStateVersion = 1;

struct SavedState {
  EndpointList list;         // a snapshot
  bool draining = false;     // an operator has requested a drain
  Millis list_valid_at = 0;  // Unix time at which the list was last known to be valid
  std::optional<policy::LearnedState> learned;
};

std::string SerializeSavedState(const SavedState& state);

// Parses the JSON form. Returns std::nullopt if any part except `learned` is malformed. If only `learned` is
// malformed, logs a warning and returns the state without `learned`. Early program versions did not write
// `learned`.
std::optional<SavedState> ParseSavedState(const std::string& text);

// Reads the state of `owner` from `folder` without writing to it. If there is a state that can't be used,
// logs the reason and returns std::nullopt. Blocks on disk reads, so it is meant for the start of the
// process.
std::optional<SavedState> LoadSavedState(const std::string& folder, const std::string& owner);

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_RESTART_SAVED_STATE_HPP_
