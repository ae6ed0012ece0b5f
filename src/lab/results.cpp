#include "lab/results.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <boost/math/distributions/students_t.hpp>
#include <cmath>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <stdexcept>

namespace gateway::lab {
namespace {

using nlohmann::json;

const std::vector<std::string> kRules{"ran_twice", "attempts_over", "unknown", "late_sends",   "cold_falls",
                                      "forged",    "lost",          "crashed", "peer_too_long"};
// In the order of the summary. Those behind the first row of rules also stand for a class or a fault
// ("p99_ms/NAME").
const std::vector<std::string> kFigures{"requests",
                                        "goodput",
                                        "in_aim",
                                        "late",
                                        "served",
                                        "refused",
                                        "failed",
                                        "mean_ms",
                                        "p50_ms",
                                        "p90_ms",
                                        "p99_ms",
                                        "p999_ms",
                                        "recovery_s",
                                        "missed_in_aim",
                                        "first_answer_ms",
                                        "attempts_per_request",
                                        "turned_away",
                                        "host_connections",
                                        "list_calls",
                                        "list_lag_ms",

                                        "unheard",
                                        "excused",
                                        "peer_datagrams",
                                        "unplaced",
                                        "client_tries",
                                        "cpu_us_per_request",
                                        "core_requests_per_s",
                                        "rss_mb",
                                        "lateness_p50_ms",
                                        "lateness_p99_ms",
                                        "lateness_max_ms",
                                        "lab_cpu_us_per_request"};

std::string Base(const std::string& name) { return name.substr(0, name.find('/')); }

struct Estimate {
  double mean = 0, half_width = 0;
  std::size_t count = 0;
};

Estimate MeanOf(const std::vector<double>& values) {
  Estimate e;
  e.count = values.size();
  if (values.empty()) return e;
  for (const double value : values) e.mean += value / static_cast<double>(values.size());
  if (values.size() < 2) return e;
  double squares = 0;
  for (const double value : values) squares += (value - e.mean) * (value - e.mean);
  const auto n = static_cast<double>(values.size());
  const boost::math::students_t_distribution<double> t(n - 1);
  e.half_width = boost::math::quantile(t, 0.975) * std::sqrt(squares / (n - 1) / n);
  return e;
}

std::vector<double> Values(const Results& results, const std::string& variant, const std::string& figure) {
  std::vector<double> values;
  for (const Play& play : results.plays) {
    if (play.variant != variant) continue;
    const auto found = play.figures.find(figure);
    if (found != play.figures.end()) values.push_back(found->second);
  }
  return values;
}

std::string Figure(double value) {
  const double size = std::abs(value);
  if (value == std::floor(value) && size < 1e9) return fmt::format("{:.0f}", value);
  return size >= 100 ? fmt::format("{:.0f}", value)
         : size >= 1 ? fmt::format("{:.2f}", value)
                     : fmt::format("{:.4f}", value);
}

std::string Figure(const Estimate& e) {
  if (e.count == 0) return "-";
  return e.half_width > 0 ? Figure(e.mean) + " ±" + Figure(e.half_width) : Figure(e.mean);
}

// All figures of any play: the known order first, then those of a class or a fault.
std::vector<std::string> AllFigures(const Results& results) {
  std::set<std::string> present;
  for (const Play& play : results.plays) {
    for (const auto& [name, value] : play.figures) present.insert(name);
  }
  std::vector<std::string> ordered;
  for (const auto* list : {&kRules, &kFigures}) {
    for (const std::string& name : *list) {
      for (const std::string& one : present) {
        if (Base(one) == name) ordered.push_back(one);
      }
    }
  }
  return ordered;
}

// Characters, not bytes: UTF-8's later bytes take no room.
std::size_t Width(const std::string& text) {
  return static_cast<std::size_t>(std::count_if(
      text.begin(), text.end(), [](char c) { return (static_cast<unsigned char>(c) & 0xc0) != 0x80; }));
}

std::string Table(const std::vector<std::vector<std::string>>& rows) {
  std::vector<std::size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], Width(row[i]));
  }
  std::string text;
  for (const auto& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      const std::string room(widths[i] - Width(row[i]), ' ');
      text += i == 0 ? "  " + row[i] + room : "  " + room + row[i];
    }
    text += "\n";
  }
  return text;
}

Verdict JudgeBound(const Experiment& e, const Results& results, const Bound& bound) {
  Verdict verdict;
  const Estimate value = MeanOf(Values(results, bound.of, bound.figure));
  std::string name = (bound.of == "gateway" ? "" : bound.of + "'s ") + bound.figure;
  double judged = value.mean;
  if (!bound.over.empty()) {
    const Estimate over = MeanOf(Values(results, bound.over, bound.figure));
    name += " over " + bound.over + "'s";
    if (over.count == 0 || over.mean == 0) {
      return {Verdict::Kind::kNotJudged, name + ": nothing to compare with"};
    }
    judged = value.mean / over.mean;
  }
  if (value.count == 0) return {Verdict::Kind::kBroken, name + ": not measured"};
  verdict.text = fmt::format("{} = {}", name, Figure(judged));
  if (bound.least) verdict.text += fmt::format(", at least {:g}", *bound.least);
  if (bound.most) verdict.text += fmt::format(", at most {:g}", *bound.most);
  const bool held = (!bound.least || judged >= *bound.least) && (!bound.most || judged <= *bound.most);
  if (held) return verdict;
  verdict.kind = Verdict::Kind::kBroken;
  const double late = MeanOf(Values(results, bound.of, "lateness_p99_ms")).mean;
  if (bound.speed && late > e.most_late) {
    verdict.kind = Verdict::Kind::kNotJudged;
    verdict.text += fmt::format("; the lab itself ran {:.1f} ms late at p99", late);
  }
  return verdict;
}

}  // namespace

std::vector<std::string> Variants(const Results& results) {
  std::vector<std::string> names;
  for (const Play& play : results.plays) {
    if (std::find(names.begin(), names.end(), play.variant) == names.end()) names.push_back(play.variant);
  }
  return names;
}

std::vector<std::string> FigureNames() {
  std::vector<std::string> names = kRules;
  names.insert(names.end(), kFigures.begin(), kFigures.end());
  return names;
}

bool IsFigure(const std::string& name) {
  const auto names = FigureNames();
  return std::find(names.begin(), names.end(), Base(name)) != names.end();
}

std::vector<Verdict> Judge(const Experiment& experiment, const Results& results) {
  std::vector<Verdict> verdicts;
  for (const Play& play : results.plays) {
    const bool ours = play.variant == "gateway";
    const std::string where = fmt::format("{}, seed {}", play.variant, play.seed);
    if (!play.failure.empty()) {
      verdicts.push_back(
          {ours ? Verdict::Kind::kBroken : Verdict::Kind::kNotJudged, where + ": " + play.failure});
      continue;
    }
    if (!ours) continue;
    for (const std::string& rule : kRules) {
      const auto found = play.figures.find(rule);
      if (found == play.figures.end() || found->second == 0) continue;
      // A bound of the file's own on a rule's figure takes its place.
      const bool stated = std::any_of(experiment.bounds.begin(), experiment.bounds.end(),
                                      [&](const Bound& b) { return b.figure == rule && b.over.empty(); });
      if (!stated)
        verdicts.push_back(
            {Verdict::Kind::kBroken, fmt::format("{}: rule {} broken {} times", where, rule, found->second)});
    }
  }
  if (verdicts.empty())
    verdicts.push_back({Verdict::Kind::kHeld, "all rules kept in every play of the gateway"});
  for (const Bound& bound : experiment.bounds) verdicts.push_back(JudgeBound(experiment, results, bound));
  return verdicts;
}

std::string ToJson(const Results& results) {
  json plays = json::array();
  for (const Play& p : results.plays) {
    json windows = json::array(), events = json::array();
    for (const Window& w : p.windows) {
      windows.push_back({{"at_ms", w.at},
                         {"arrived", w.arrived},
                         {"in_aim", w.in_aim},
                         {"late", w.late},
                         {"refused", w.refused},
                         {"failed", w.failed},
                         {"p50_ms", w.p50},
                         {"p99_ms", w.p99}});
    }
    for (const auto& [at, what] : p.events) events.push_back({{"at_ms", at}, {"what", what}});
    plays.push_back({{"variant", p.variant},
                     {"seed", p.seed},
                     {"figures", p.figures},
                     {"windows", windows},
                     {"events", events},
                     {"breaches", p.breaches},
                     {"failure", p.failure}});
  }
  return json{{"format", 1}, {"experiment", results.experiment}, {"about", results.about}, {"plays", plays}}
      .dump(1);
}

Results ResultsFromJson(const std::string& text, const std::string& name) {
  try {
    const json all = json::parse(text);
    if (all.at("format").get<int>() != 1) throw std::runtime_error(name + ": of another format");
    Results results;
    results.experiment = all.at("experiment").get<std::string>();
    results.about = all.at("about").get<std::string>();
    for (const json& p : all.at("plays")) {
      Play play;
      play.variant = p.at("variant").get<std::string>();
      play.seed = p.at("seed").get<std::uint64_t>();
      play.figures = p.at("figures").get<std::map<std::string, double>>();
      play.breaches = p.at("breaches").get<std::vector<std::string>>();
      play.failure = p.at("failure").get<std::string>();
      for (const json& w : p.at("windows")) {
        play.windows.push_back({w.at("at_ms"), w.at("arrived"), w.at("in_aim"), w.at("late"), w.at("refused"),
                                w.at("failed"), w.at("p50_ms"), w.at("p99_ms")});
      }
      for (const json& event : p.at("events")) {
        play.events.emplace_back(event.at("at_ms").get<double>(), event.at("what").get<std::string>());
      }
      results.plays.push_back(std::move(play));
    }
    return results;
  } catch (const json::exception& error) {
    throw std::runtime_error(name + ": no result of the lab: " + error.what());
  }
}

std::string Summary(const Results& results) {
  const std::vector<std::string> variants = Variants(results);
  std::vector<std::vector<std::string>> rows{{"figure"}};
  for (const std::string& variant : variants) rows[0].push_back(variant);
  for (const std::string& figure : AllFigures(results)) {
    std::vector<std::string> row{figure};
    for (const std::string& variant : variants)
      row.push_back(Figure(MeanOf(Values(results, variant, figure))));
    rows.push_back(std::move(row));
  }
  return Table(rows);
}

std::string Compare(const Results& a, const Results& b) {
  std::string text = fmt::format(
      "A: {}, B: {}; mean ± half of the 95% interval over the plays; B/A with '*' where the intervals do not "
      "meet\n",
      a.experiment, b.experiment);
  for (const std::string& variant : Variants(a)) {
    std::vector<std::vector<std::string>> rows{{variant, "A", "B", "B/A"}};
    for (const std::string& figure : AllFigures(a)) {
      const Estimate left = MeanOf(Values(a, variant, figure)), right = MeanOf(Values(b, variant, figure));
      if (left.count == 0 || right.count == 0) continue;
      const bool apart = left.count > 1 && right.count > 1 &&
                         std::abs(left.mean - right.mean) > left.half_width + right.half_width;
      rows.push_back(
          {figure, Figure(left), Figure(right),
           left.mean == 0 ? "-" : fmt::format("{:.3f}{}", right.mean / left.mean, apart ? "*" : "")});
    }
    if (rows.size() > 1) text += "\n" + Table(rows);
  }
  return text;
}

}  // namespace gateway::lab
