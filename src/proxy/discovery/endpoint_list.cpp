#include "proxy/discovery/endpoint_list.hpp"

#include <algorithm>
#include <cctype>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "base/socket_address.hpp"

namespace gateway::proxy {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxEpochBytes = 64;

policy::EndpointState ParsePhase(const std::string& phase) {
  if (phase == "up") return policy::EndpointState::kUp;
  if (phase == "draining") return policy::EndpointState::kDraining;
  if (phase == "removed") return policy::EndpointState::kRemoved;
  throw std::invalid_argument("phase: must be up, draining or removed, not " + phase);
}

const char* FormatPhase(policy::EndpointState state) {
  switch (state) {
    case policy::EndpointState::kUp: return "up";
    case policy::EndpointState::kDraining: return "draining";
    case policy::EndpointState::kRemoved: return "removed";
  }
  return "removed";
}

ListedEndpoint ParseMember(const json& member) {
  ListedEndpoint endpoint;
  policy::EndpointInfo& info = endpoint.info;
  info.id = member.at("id").get<std::string>();
  if (info.id.empty()) throw std::invalid_argument("id: must not be empty");
  info.state = ParsePhase(member.at("phase").get<std::string>());
  info.zone = member.value("locality", "");
  info.machine_type = member.value("flavor", "");
  if (member.contains("cell")) info.cell = member["cell"].dump();
  info.weight = member.value("size", 1.0);
  info.started_at = member.value("up_since_ms", 0.0);
  const auto address = base::ParseSocketAddress(member.value("host_port", ""));
  if (!address && info.state != policy::EndpointState::kRemoved)
    throw std::invalid_argument("host_port: must be an address and port");
  if (address) endpoint.address = *address;
  return endpoint;
}

json FormatMember(const ListedEndpoint& endpoint) {
  const policy::EndpointInfo& info = endpoint.info;
  const auto& address = endpoint.address;
  json member = {{"id", info.id},
                 {"host_port", address.address().to_string() + ":" + std::to_string(address.port())},
                 {"locality", info.zone},
                 {"flavor", info.machine_type},
                 {"phase", FormatPhase(info.state)},
                 {"size", info.weight},
                 {"up_since_ms", info.started_at}};
  if (!info.cell.empty()) member["cell"] = json::parse(info.cell, nullptr, /*allow_exceptions=*/false);
  return member;
}

// The epoch becomes part of a request target, so it must consist of characters that need no escaping.
bool IsValidEpoch(const std::string& epoch) {
  return epoch.size() <= kMaxEpochBytes &&
         std::ranges::all_of(epoch, [](unsigned char c) { return std::isalnum(c); });
}

// Throws json::exception or std::invalid_argument.
EndpointList ParseList(const json& list_json) {
  EndpointList list;
  list.revision = list_json.at("revision").get<std::int64_t>();
  list.complete = list_json.at("complete").get<bool>();
  for (const json& member : list_json.at("members")) list.endpoints.push_back(ParseMember(member));
  list.epoch = list_json.value("epoch", "");
  if (!IsValidEpoch(list.epoch)) throw std::invalid_argument("epoch: must be at most 64 letters and digits");
  list.confirmed_revision = list_json.value("confirmed", std::int64_t{0});
  return list;
}

}  // namespace

std::optional<EndpointList> ParseEndpointList(std::string_view text) {
  try {
    return ParseList(json::parse(text));
  } catch (const json::exception&) {
    return std::nullopt;
  } catch (const std::invalid_argument&) {
    return std::nullopt;
  }
}

std::string SerializeEndpointList(const EndpointList& list) {
  json members = json::array();
  for (const ListedEndpoint& endpoint : list.endpoints) members.push_back(FormatMember(endpoint));
  json list_json = {
      {"revision", list.revision}, {"complete", list.complete}, {"members", std::move(members)}};
  if (!list.epoch.empty()) list_json["epoch"] = list.epoch;
  return list_json.dump();
}

}  // namespace gateway::proxy
