#include "proxy/restart/transferred_state.hpp"

#include <exception>
#include <nlohmann/json.hpp>
#include <utility>

#include "proxy/clock.hpp"
#include "proxy/restart/learned_state_json.hpp"

namespace gateway::proxy {

using nlohmann::json;

std::string SerializeTransferredState(const TransferredState& state) {
  json form = LearnedStateToJson(state.learned);
  form["list"] = json::parse(SerializeEndpointList(state.list));
  return form.dump();
}

std::optional<TransferredState> ParseTransferredState(const std::string& text) {
  try {
    const json form = json::parse(text);
    std::optional<EndpointList> list = ParseEndpointList(form.at("list").dump());
    if (!list) return std::nullopt;
    TransferredState state{*std::move(list), LearnedStateFromJson(form)};
    const Millis now = Now();
    state.learned.exported_at = now;
    for (policy::LearnedState::Endpoint& endpoint : state.learned.endpoints) endpoint.last_outcome_at = now;
    return state;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace gateway::proxy
