#include "proxy/restart/transferred_state.hpp"

#include <exception>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/socket_address.hpp"
#include "proxy/clock.hpp"
#include "proxy/restart/learned_state_json.hpp"

namespace gateway::proxy {

using nlohmann::json;

namespace {

std::optional<boost::asio::ip::tcp::endpoint> ParseDiscovery(const json& state_json) {
  const auto found = state_json.find("discovery");
  if (found == state_json.end() || !found->is_string()) return std::nullopt;
  return base::ParseSocketAddress(found->get<std::string>());
}

}  // namespace

std::string SerializeTransferredState(const TransferredState& state) {
  json state_json = LearnedStateToJson(state.learned);
  state_json["list"] = json::parse(SerializeEndpointList(state.list));
  if (state.discovery) state_json["discovery"] = base::FormatSocketAddress(*state.discovery);
  return state_json.dump();
}

std::optional<TransferredState> ParseTransferredState(const std::string& text) {
  try {
    const json state_json = json::parse(text);
    std::optional<EndpointList> list = ParseEndpointList(state_json.at("list").dump());
    if (!list) return std::nullopt;
    TransferredState state{*std::move(list), LearnedStateFromJson(state_json), ParseDiscovery(state_json)};
    const Millis now = Now();
    state.learned.exported_at = now;
    for (policy::LearnedState::Endpoint& endpoint : state.learned.endpoints) endpoint.last_outcome_at = now;
    return state;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace gateway::proxy
