#include "learned_form.hpp"

#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace opalswitch::gateway {
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

json ToJson(const Learned& l) {
  json classes = json::array(), servers = json::array(), kinds = json::array();
  for (const auto& c : l.classes) classes.push_back({c.name, c.latency, c.samples, c.most_left});
  for (const auto& s : l.servers) {
    servers.push_back({s.id, s.latency, s.steady, s.base, s.failing, s.limit, s.samples, s.suspect, s.lost,
                       s.cold_since, s.heard_at});
  }
  for (const auto& k : l.kinds) kinds.push_back({k.name, k.warm_served, k.warm_time});
  return {{"rate", l.rate},
          {"spent", l.spent},
          {"failing", l.failing},
          {"mean_latency", l.mean_latency},
          {"samples", l.samples},
          {"at", l.at},
          {"gateways", l.gateways},
          {"kinds", std::move(kinds)},
          {"classes", std::move(classes)},
          {"servers", std::move(servers)}};
}

Learned LearnedFromJson(const json& form) {
  Learned l;
  l.rate = Figure(form.at("rate"));
  l.spent = Figure(form.at("spent"));
  l.failing = Figure(form.at("failing"));
  l.mean_latency = Figure(form.at("mean_latency"));
  l.samples = Count(form.at("samples"));
  l.at = form.value("at", 0.0);
  l.gateways = form.value("gateways", 0);
  for (const json& c : form.at("classes")) {
    Learned::Class& known = l.classes.emplace_back();
    known = {c.at(0), Figure(c.at(1)), Count(c.at(2)), Figure(c.at(3))};
  }
  for (const json& s : form.at("servers")) {
    Learned::Server& known = l.servers.emplace_back();
    known.id = s.at(0);
    known.latency = Figure(s.at(1));
    known.steady = Figure(s.at(2));
    known.base = Figure(s.at(3));
    known.failing = Figure(s.at(4));
    known.limit = Figure(s.at(5));
    known.samples = Count(s.at(6));
    known.suspect = s.at(7);
    known.lost = s.at(8);
    known.cold_since = s.at(9);
    if (s.size() > 10) known.heard_at = s.at(10);
  }
  for (const json& k : form.value("kinds", json::array())) {
    l.kinds.push_back({k.at(0), Figure(k.at(1)), Figure(k.at(2))});
  }
  return l;
}

}  // namespace opalswitch::gateway
