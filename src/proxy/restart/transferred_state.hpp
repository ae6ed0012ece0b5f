// The state that a running process transfers to the one that replaces it, and its JSON form on the socket
// between both.
#ifndef GATEWAY_PROXY_RESTART_TRANSFERRED_STATE_HPP_
#define GATEWAY_PROXY_RESTART_TRANSFERRED_STATE_HPP_

#include <optional>
#include <string>

#include "gateway/policy.hpp"
#include "proxy/discovery/endpoint_list.hpp"

namespace gateway::proxy {

struct TransferredState {
  EndpointList list;  // a snapshot
  policy::LearnedState learned;
};

std::string SerializeTransferredState(const TransferredState& state);

// Returns nothing if any part of `text` is malformed. All times of what was learned are set to now: the
// process that sent it was running until this moment, so it missed nothing and nothing has aged.
std::optional<TransferredState> ParseTransferredState(const std::string& text);

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_RESTART_TRANSFERRED_STATE_HPP_
