#include "lab/evaluation.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "lab/estimate.hpp"
#include "lab/figures.hpp"

namespace gateway::lab {
namespace {

constexpr const char* kVariantUnderTest = "gateway";  // the variant to which the rules apply

// Whether the experiment has a bound of its own on the figure of the rule. Such a bound replaces the rule.
bool HasOwnBound(const Experiment& experiment, const std::string& rule) {
  return std::any_of(experiment.bounds.begin(), experiment.bounds.end(),
                     [&](const Bound& bound) { return bound.figure == rule && bound.baseline.empty(); });
}

void EvaluateRules(const Experiment& experiment, const RunResult& run, const std::string& run_name,
                   std::vector<Verdict>& verdicts) {
  for (const std::string& rule : RuleFigureNames()) {
    const auto found = run.figures.find(rule);
    if (found == run.figures.end() || found->second == 0 || HasOwnBound(experiment, rule)) continue;
    verdicts.push_back({Verdict::Kind::kViolated,
                        fmt::format("{}: rule {} violated {} times", run_name, rule, found->second)});
  }
}

void EvaluateRun(const Experiment& experiment, const RunResult& run, std::vector<Verdict>& verdicts) {
  const bool under_test = run.variant == kVariantUnderTest;
  const std::string run_name = fmt::format("{}, seed {}", run.variant, run.seed);
  if (!run.failure.empty()) {
    verdicts.push_back({under_test ? Verdict::Kind::kViolated : Verdict::Kind::kInconclusive,
                        run_name + ": " + run.failure});
  } else if (under_test) {
    EvaluateRules(experiment, run, run_name, verdicts);
  }
}

std::string BoundText(const Bound& bound, const std::string& name, double value) {
  std::string text = fmt::format("{} = {}", name, FormatFigure(value));
  if (bound.minimum) text += fmt::format("; minimum {:g}", *bound.minimum);
  if (bound.maximum) text += fmt::format("; maximum {:g}", *bound.maximum);
  return text;
}

bool IsWithin(const Bound& bound, double value) {
  return (!bound.minimum || value >= *bound.minimum) && (!bound.maximum || value <= *bound.maximum);
}

Verdict EvaluateBound(const Experiment& experiment, const Results& results, const Bound& bound) {
  const Estimate estimate = EstimateMean(FigureValues(results, bound.variant, bound.figure));
  std::string name = (bound.variant == kVariantUnderTest ? "" : bound.variant + "'s ") + bound.figure;
  double value = estimate.mean;
  if (!bound.baseline.empty()) {
    const Estimate baseline = EstimateMean(FigureValues(results, bound.baseline, bound.figure));
    name += fmt::format(" / {}'s {}", bound.baseline, bound.figure);
    if (baseline.count == 0 || baseline.mean == 0) {
      return {Verdict::Kind::kInconclusive,
              fmt::format("{}: no ratio, because the baseline '{}' has no value or the value 0", name,
                          bound.baseline)};
    }
    value = estimate.mean / baseline.mean;
  }
  if (estimate.count == 0) return {Verdict::Kind::kViolated, name + ": not measured in any run"};
  const std::string text = BoundText(bound, name, value);
  if (IsWithin(bound, value)) return {Verdict::Kind::kPassed, text};
  const double lateness = EstimateMean(FigureValues(results, bound.variant, "lateness_p99_ms")).mean;
  if (bound.depends_on_speed && lateness > experiment.max_lateness) {
    return {Verdict::Kind::kInconclusive,
            text + fmt::format("; the lab itself ran {:.1f} ms late at p99, the limit is {:g} ms", lateness,
                               experiment.max_lateness)};
  }
  return {Verdict::Kind::kViolated, text};
}

}  // namespace

std::vector<Verdict> Evaluate(const Experiment& experiment, const Results& results) {
  std::vector<Verdict> verdicts;
  for (const RunResult& run : results.runs) EvaluateRun(experiment, run, verdicts);
  if (verdicts.empty()) {
    verdicts.push_back({Verdict::Kind::kPassed, "no rule violated in any run of the gateway"});
  }
  for (const Bound& bound : experiment.bounds) {
    verdicts.push_back(EvaluateBound(experiment, results, bound));
  }
  return verdicts;
}

}  // namespace gateway::lab
