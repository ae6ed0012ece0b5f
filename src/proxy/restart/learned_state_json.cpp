#include "proxy/restart/learned_state_json.hpp"

#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace gateway::proxy {
namespace {

using nlohmann::json;

// Of a time or figure that a policy can have; the checksums of a file do not tell who wrote it.
double Figure(const json& value) {
  const double figure = value.get<double>();
  if (!std::isfinite(figure) || figure < 0 || figure > 1e12) throw std::out_of_range("a figure out of range");
  return figure;
}

int Count(const json& value) { return static_cast<int>(std::min(1e9, Figure(value))); }

}  // namespace

json ToJson(const policy::LearnedState& l) {
  json classes = json::array(), servers = json::array(), kinds = json::array();
  for (const auto& c : l.classes) classes.push_back({c.name, c.latency, c.samples, c.longest_time_left});
  for (const auto& s : l.endpoints) {
    servers.push_back({s.id, s.latency, s.long_term_latency, s.base_latency, s.failure_rate,
                       s.concurrency_limit, s.samples, s.ejected, s.restart_suspected, s.started_at,
                       s.last_outcome_at});
  }
  for (const auto& k : l.machine_types) kinds.push_back({k.name, k.served, k.endpoint_time});
  return {{"rate", l.rate},
          {"spent", l.sent_rate},
          {"failing", l.failure_rate},
          {"mean_latency", l.mean_latency},
          {"samples", l.samples},
          {"at", l.exported_at},
          {"gateways", l.gateway_count},
          {"kinds", std::move(kinds)},
          {"classes", std::move(classes)},
          {"servers", std::move(servers)}};
}

policy::LearnedState LearnedFromJson(const json& form) {
  policy::LearnedState l;
  l.rate = Figure(form.at("rate"));
  l.sent_rate = Figure(form.at("spent"));
  l.failure_rate = Figure(form.at("failing"));
  l.mean_latency = Figure(form.at("mean_latency"));
  l.samples = Count(form.at("samples"));
  l.exported_at = form.value("at", 0.0);
  l.gateway_count = form.value("gateways", 0);
  for (const json& c : form.at("classes")) {
    policy::LearnedState::TrafficClass& known = l.classes.emplace_back();
    known = {c.at(0), Figure(c.at(1)), Count(c.at(2)), Figure(c.at(3))};
  }
  for (const json& s : form.at("servers")) {
    policy::LearnedState::Endpoint& known = l.endpoints.emplace_back();
    known.id = s.at(0);
    known.latency = Figure(s.at(1));
    known.long_term_latency = Figure(s.at(2));
    known.base_latency = Figure(s.at(3));
    known.failure_rate = Figure(s.at(4));
    known.concurrency_limit = Figure(s.at(5));
    known.samples = Count(s.at(6));
    known.ejected = s.at(7);
    known.restart_suspected = s.at(8);
    known.started_at = s.at(9);
    if (s.size() > 10) known.last_outcome_at = s.at(10);
  }
  for (const json& k : form.value("kinds", json::array())) {
    l.machine_types.push_back({k.at(0), Figure(k.at(1)), Figure(k.at(2))});
  }
  return l;
}

}  // namespace gateway::proxy
