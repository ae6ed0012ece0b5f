// The results of the runs of an experiment, and their form as JSON (docs/design/lab.md).
#ifndef GATEWAY_LAB_RESULTS_HPP_
#define GATEWAY_LAB_RESULTS_HPP_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/millis.hpp"

namespace gateway::lab {

using base::Millis;

// A stretch of a run, by the arrivals in it.
struct Window {
  Millis at = 0;  // its start, from the start of arrivals
  std::uint64_t arrived = 0;
  std::uint64_t in_objective = 0;
  std::uint64_t late = 0;
  std::uint64_t rejected = 0;
  std::uint64_t failed = 0;
  double p50 = 0;  // latency of those served, in ms
  double p99 = 0;
};

// One run of one variant.
struct RunResult {
  std::string variant;
  std::uint64_t seed = 0;
  std::map<std::string, double> figures;
  std::vector<Window> windows;
  std::vector<std::pair<Millis, std::string>> events;  // in ms from the start of arrivals
  std::vector<std::string> violations;                 // descriptions of the first ones
  std::string failure;                                 // why the run did not complete; empty: it did
};

struct Results {
  std::string experiment;
  std::string about;
  std::vector<RunResult> runs;
};

// The names of the variants that were run, in their order.
std::vector<std::string> Variants(const Results& results);

// The values of a figure over the runs of a variant, without the runs that do not have it.
std::vector<double> FigureValues(const Results& results, const std::string& variant,
                                 const std::string& figure);

std::string ToJson(const Results& results);

// `name`: of the file, for errors. Throws std::runtime_error, which says what is wrong.
Results ResultsFromJson(const std::string& text, const std::string& name);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_RESULTS_HPP_
