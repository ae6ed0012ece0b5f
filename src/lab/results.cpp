#include "lab/results.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace gateway::lab {
namespace {

using nlohmann::json;

constexpr int kFormat = 1;  // version of the form

json WindowToJson(const Window& window) {
  return {{"at_ms", window.at},   {"arrived", window.arrived},  {"in_aim", window.in_objective},
          {"late", window.late},  {"refused", window.rejected}, {"failed", window.failed},
          {"p50_ms", window.p50}, {"p99_ms", window.p99}};
}

Window WindowFromJson(const json& form) {
  return {form.at("at_ms"),   form.at("arrived"), form.at("in_aim"), form.at("late"),
          form.at("refused"), form.at("failed"),  form.at("p50_ms"), form.at("p99_ms")};
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

RunResult RunFromJson(const json& form) {
  RunResult run;
  run.variant = form.at("variant").get<std::string>();
  run.seed = form.at("seed").get<std::uint64_t>();
  run.figures = form.at("figures").get<std::map<std::string, double>>();
  run.violations = form.at("breaches").get<std::vector<std::string>>();
  run.failure = form.at("failure").get<std::string>();
  for (const json& window : form.at("windows")) run.windows.push_back(WindowFromJson(window));
  for (const json& event : form.at("events")) {
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
  return json{
      {"format", kFormat}, {"experiment", results.experiment}, {"about", results.about}, {"plays", runs}}
      .dump(1);
}

Results ResultsFromJson(const std::string& text, const std::string& name) {
  try {
    const json form = json::parse(text);
    if (form.at("format").get<int>() != kFormat) throw std::runtime_error(name + ": of another format");
    Results results;
    results.experiment = form.at("experiment").get<std::string>();
    results.about = form.at("about").get<std::string>();
    for (const json& run : form.at("plays")) results.runs.push_back(RunFromJson(run));
    return results;
  } catch (const json::exception& error) {
    throw std::runtime_error(name + ": no result of the lab: " + error.what());
  }
}

}  // namespace gateway::lab
