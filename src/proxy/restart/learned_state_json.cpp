#include "proxy/restart/learned_state_json.hpp"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace gateway::proxy {
namespace {

using nlohmann::json;
using policy::LearnedState;

constexpr double kMaxNumber = 1e12;  // above any time or rate that a policy can have
constexpr double kMaxCount = 1e9;

// The index of last_outcome_at in an element of "servers".
constexpr std::size_t kLastOutcomeIndex = 10;

// Throws if the number is out of range. The checksums of a file detect a damaged file, but not a number that
// no policy can have.
double ParseNumber(const json& value) {
  const double number = value.get<double>();
  if (!std::isfinite(number) || number < 0 || number > kMaxNumber) {
    throw std::out_of_range("number " + value.dump() + " is not between 0 and 1e12");
  }
  return number;
}

int ParseCount(const json& value) { return static_cast<int>(std::min(kMaxCount, ParseNumber(value))); }

json FormatEndpoint(const LearnedState::Endpoint& endpoint) {
  return {endpoint.id,           endpoint.latency,        endpoint.long_term_latency,
          endpoint.base_latency, endpoint.failure_rate,   endpoint.concurrency_limit,
          endpoint.samples,      endpoint.ejected,        endpoint.restart_suspected,
          endpoint.started_at,   endpoint.last_outcome_at};
}

LearnedState::Endpoint ParseEndpoint(const json& endpoint_json) {
  LearnedState::Endpoint endpoint;
  endpoint.id = endpoint_json.at(0);
  endpoint.latency = ParseNumber(endpoint_json.at(1));
  endpoint.long_term_latency = ParseNumber(endpoint_json.at(2));
  endpoint.base_latency = ParseNumber(endpoint_json.at(3));
  endpoint.failure_rate = ParseNumber(endpoint_json.at(4));
  endpoint.concurrency_limit = ParseNumber(endpoint_json.at(5));
  endpoint.samples = ParseCount(endpoint_json.at(6));
  endpoint.ejected = endpoint_json.at(7);
  endpoint.restart_suspected = endpoint_json.at(8);
  endpoint.started_at = endpoint_json.at(9);
  if (endpoint_json.size() > kLastOutcomeIndex)
    endpoint.last_outcome_at = endpoint_json.at(kLastOutcomeIndex);
  return endpoint;
}

}  // namespace

json LearnedStateToJson(const LearnedState& learned) {
  json classes = json::array();
  for (const LearnedState::TrafficClass& traffic_class : learned.classes) {
    classes.push_back(
        {traffic_class.name, traffic_class.latency, traffic_class.samples, traffic_class.longest_time_left});
  }
  json endpoints = json::array();
  for (const LearnedState::Endpoint& endpoint : learned.endpoints) {
    endpoints.push_back(FormatEndpoint(endpoint));
  }
  json machine_types = json::array();
  for (const LearnedState::MachineType& type : learned.machine_types) {
    machine_types.push_back({type.name, type.served, type.endpoint_time});
  }
  return {{"rate", learned.rate},
          {"spent", learned.sent_rate},
          {"failing", learned.failure_rate},
          {"mean_latency", learned.mean_latency},
          {"samples", learned.samples},
          {"at", learned.exported_at},
          {"gateways", learned.gateway_count},
          {"kinds", std::move(machine_types)},
          {"classes", std::move(classes)},
          {"servers", std::move(endpoints)}};
}

LearnedState LearnedStateFromJson(const json& learned_json) {
  LearnedState learned;
  learned.rate = ParseNumber(learned_json.at("rate"));
  learned.sent_rate = ParseNumber(learned_json.at("spent"));
  learned.failure_rate = ParseNumber(learned_json.at("failing"));
  learned.mean_latency = ParseNumber(learned_json.at("mean_latency"));
  learned.samples = ParseCount(learned_json.at("samples"));
  learned.exported_at = learned_json.value("at", 0.0);
  learned.gateway_count = learned_json.value("gateways", 0);
  for (const json& element : learned_json.at("classes")) {
    learned.classes.push_back(
        {element.at(0), ParseNumber(element.at(1)), ParseCount(element.at(2)), ParseNumber(element.at(3))});
  }
  for (const json& element : learned_json.at("servers")) learned.endpoints.push_back(ParseEndpoint(element));
  for (const json& element : learned_json.value("kinds", json::array())) {
    learned.machine_types.push_back({element.at(0), ParseNumber(element.at(1)), ParseNumber(element.at(2))});
  }
  return learned;
}

}  // namespace gateway::proxy
