// What plays brought: figures by name, a series over time, breaches in words; as JSON, side by side, and
// judged.
#ifndef GATEWAY_LAB_RESULTS_HPP_
#define GATEWAY_LAB_RESULTS_HPP_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "lab/experiment.hpp"

namespace gateway::lab {

struct Window {
  Millis at = 0;  // its start, from the start of arrivals
  std::uint64_t arrived = 0, in_aim = 0, late = 0, refused = 0, failed = 0;
  double p50 = 0, p99 = 0;  // ms, of those served
};

struct Play {
  std::string variant;
  std::uint64_t seed = 0;
  std::map<std::string, double> figures;
  std::vector<Window> windows;
  std::vector<std::pair<Millis, std::string>> events;  // as they happened, in ms from the start of arrivals
  std::vector<std::string> breaches;                   // the first few, in words
  std::string failure;                                 // why it was not played to its end; empty: it was
};

struct Results {
  std::string experiment, about;
  std::vector<Play> plays;
};

struct Verdict {
  enum class Kind { kHeld, kBroken, kNotJudged };
  Kind kind = Kind::kHeld;
  std::string text;  // the bound with its figure
};

// The names of the variants played, in their order.
std::vector<std::string> Variants(const Results& results);

// The rules of every play of the program under test, and the file's bounds, each over the mean of all seeds.
std::vector<Verdict> Judge(const Experiment& experiment, const Results& results);

std::string ToJson(const Results& results);
// Throws std::runtime_error that says what is wrong.
Results ResultsFromJson(const std::string& text, const std::string& name);

// Draws goodput, latency and refusals over time (means over the seeds) with the faults' times as SVG files
// into the folder, by gnuplot, and writes report.html there, which holds them all and opens without a
// network. Throws std::runtime_error where the folder can't be written or gnuplot can't be run.
void Plot(const Results& results, const std::string& folder);

// A table of the main figures, a column a variant.
std::string Summary(const Results& results);
// Both results' figures with 95% confidence intervals over their plays (Student's t), and the ratio of the
// means.
std::string Compare(const Results& a, const Results& b);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_RESULTS_HPP_
