// What a gateway saves on disk for the process that starts after it: its form, and how it is read at the
// start. The form is JSON with the words "list" (the endpoint list), "draining", "kept_at_ms" (list_valid_at)
// and "learned" (see learned_state_json.hpp).
#ifndef GATEWAY_PROXY_RESTART_SAVED_STATE_HPP_
#define GATEWAY_PROXY_RESTART_SAVED_STATE_HPP_

#include <cstdint>
#include <optional>
#include <string>

#include "gateway/policy.hpp"
#include "proxy/clock.hpp"
#include "proxy/discovery/endpoint_list.hpp"

namespace gateway::proxy {

// Version of the form. A form of a higher version is neither read nor replaced.
constexpr std::uint16_t kSavedStateVersion = 1;

struct SavedState {
  EndpointList list;         // a snapshot
  bool draining = false;     // by an operator's call
  Millis list_valid_at = 0;  // Unix time at which the list was last known to be valid
  std::optional<policy::LearnedState> learned;
};

std::string SerializeSavedState(const SavedState& state);

// Returns nothing if any part but `learned` is malformed; without `learned`, and with a line in the log, if
// only that is. Program versions before `learned` was saved wrote none.
std::optional<SavedState> ParseSavedState(const std::string& text);

// Reads the state of `owner` from `folder`; writes nothing. Returns nothing, with a line in the log that says
// why, if there is a state that can't be used. Blocks for the disk, so it is for the start.
std::optional<SavedState> LoadSavedState(const std::string& folder, const std::string& owner);

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_RESTART_SAVED_STATE_HPP_
