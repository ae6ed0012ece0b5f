#include "lab/results.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace gateway::lab {
namespace {

using nlohmann::json;

constexpr int kFormatVersion = 1;  // version of the JSON format

json WindowToJson(const Window& window) {
  return {{"at_ms", window.at},   {"arrived", window.arrived},  {"in_aim", window.in_objective},
          {"late", window.late},  {"refused", window.rejected}, {"failed", window.failed},
          {"p50_ms", window.p50}, {"p99_ms", window.p99}};
}

Window WindowFromJson(const json& object) {
  return {object.at("at_ms"),   object.at("arrived"), object.at("in_aim"), object.at("late"),
          object.at("refused"), object.at("failed"),  object.at("p50_ms"), object.at("p99_ms")};
}

json RunToJson(const RunResult& run) {
  json windows = json::array();
  for (const Window& window : run.windows) windows.push_back(WindowToJson(window));
  json events = json::array();
  for (const auto& [at, text] : run.events) events.push_back({{"at_ms", at}, {"what", text}});
  return {{"variant", run.variant}, {"seed", run.seed}, {"figures", run.figures},
          {"windows", windows},     {"events", events}, {"breaches", run.violations},
          {"failure", run.failure}};
}

RunResult RunFromJson(const json& object) {
  RunResult run;
  run.variant = object.at("variant").get<std::string>();
  run.seed = object.at("seed").get<std::uint64_t>();
  run.figures = object.at("figures").get<std::map<std::string, double>>();
  run.violations = object.at("breaches").get<std::vector<std::string>>();
  run.failure = object.at("failure").get<std::string>();
  for (const json& window : object.at("windows")) run.windows.push_back(WindowFromJson(window));
  for (const json& event : object.at("events")) {
    run.events.emplace_back(event.at("at_ms").get<double>(), event.at("what").get<std::string>());
  }
  return run;
}

}  // namespace

std::vector<std::string> Variants(const Results& results) {
  std::vector<std::string> names;
  for (const RunResult& run : results.runs) {
    if (std::find(names.begin(), names.end(), run.variant) == names.end()) names.push_back(run.variant);
  }
  return names;
}

std::vector<double> FigureValues(const Results& results, const std::string& variant,
                                 const std::string& figure) {
  std::vector<double> values;
  for (const RunResult& run : results.runs) {
    if (run.variant != variant) continue;
    const auto found = run.figures.find(figure);
    if (found != run.figures.end()) values.push_back(found->second);
  }
  return values;
}

std::string ToJson(const Results& results) {
  json runs = json::array();
  for (const RunResult& run : results.runs) runs.push_back(RunToJson(run));
  return json{{"format", kFormatVersion},
              {"experiment", results.experiment},
              {"about", results.about},
              {"plays", runs}}
      .dump(1);
}

Results ResultsFromJson(const std::string& text, const std::string& name) {
  try {
    const json object = json::parse(text);
    if (object.at("format").get<int>() != kFormatVersion) {
      throw std::runtime_error(name + ": unsupported format version " + object.at("format").dump() +
                               ", expected " + std::to_string(kFormatVersion));
    }
    Results results;
    results.experiment = object.at("experiment").get<std::string>();
    results.about = object.at("about").get<std::string>();
    for (const json& run : object.at("plays")) results.runs.push_back(RunFromJson(run));
    return results;
  } catch (const json::exception& error) {
    throw std::runtime_error(name + ": not a result file of the lab: " + error.what());
  }
}

}  // namespace gateway::lab
