#include "proxy/restart/transferred_state.hpp"

#include <exception>
#include <nlohmann/json.hpp>
#include <utility>

#include "proxy/clock.hpp"
#include "proxy/restart/learned_state_json.hpp"

namespace gateway::proxy {

using nlohmann::json;

std::string SerializeTransferredState(const TransferredState& state) {
  json state_json = LearnedStateToJson(state.learned);
  state_json["list"] = json::parse(SerializeEndpointList(state.list));
  return state_json.dump();
}

std::optional<TransferredState> ParseTransferredState(const std::string& text) {
  try {
    const json state_json = json::parse(text);
    std::optional<EndpointList> list = ParseEndpointList(state_json.at("list").dump());
    if (!list) return std::nullopt;
    TransferredState state{*std::move(list), LearnedStateFromJson(state_json)};
    const Millis now = Now();
    state.learned.exported_at = now;
    for (policy::LearnedState::Endpoint& endpoint : state.learned.endpoints) endpoint.last_outcome_at = now;
    return state;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace gateway::proxy
