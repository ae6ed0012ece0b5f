// The state that a running process transfers to its successor, and its conversion to and from JSON.
#ifndef GATEWAY_PROXY_RESTART_TRANSFERRED_STATE_HPP_
#define GATEWAY_PROXY_RESTART_TRANSFERRED_STATE_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>

#include "gateway/policy.hpp"
#include "proxy/discovery/endpoint_list.hpp"

namespace gateway::proxy {

struct TransferredState {
  EndpointList list;  // a snapshot
  policy::LearnedState learned;
  // The discovery service that the predecessor watches. Empty if it does not transfer the address, as
  // versions up to 0.1.0, or if the address is malformed.
  std::optional<boost::asio::ip::tcp::endpoint> discovery = std::nullopt;
};

std::string SerializeTransferredState(const TransferredState& state);

// Returns std::nullopt if any part of `text` is malformed. Sets exported_at and each last_outcome_at of the
// learned state to the current time, because the predecessor still runs and so the state has not aged.
std::optional<TransferredState> ParseTransferredState(const std::string& text);

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_RESTART_TRANSFERRED_STATE_HPP_
