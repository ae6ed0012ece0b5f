// The results of the runs of an experiment, and their JSON format (docs/design/lab.md).
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

// A time window of a run. A request counts in the window of its arrival.
struct Window {
  Millis at = 0;  // start of the window; counts from the start of the traffic
  std::uint64_t arrived = 0;
  std::uint64_t in_objective = 0;
  std::uint64_t late = 0;
  std::uint64_t rejected = 0;
  std::uint64_t failed = 0;
  double p50 = 0;  // median latency of served requests, in ms
  double p99 = 0;  // 99th percentile of the latency, in ms
};

// One run of one variant.
struct RunResult {
  std::string variant;
  std::uint64_t seed = 0;
  std::map<std::string, double> figures;
  std::vector<Window> windows;
  // Time and text of each event. The time counts from the start of the traffic.
  std::vector<std::pair<Millis, std::string>> events;
  std::vector<std::string> violations;  // descriptions of the first rule violations
  std::string failure;                  // reason why the run failed; empty if it completed
};

struct Results {
  std::string experiment;
  std::string about;
  std::vector<RunResult> runs;
};

// The names of the variants that were run, in the order of their first runs.
std::vector<std::string> Variants(const Results& results);

// The values of a figure over the runs of a variant. Runs without the figure are skipped.
std::vector<double> FigureValues(const Results& results, const std::string& variant,
                                 const std::string& figure);

std::string ToJson(const Results& results);

// `name` is the file name for error messages. Throws std::runtime_error with a description of the problem.
Results ResultsFromJson(const std::string& text, const std::string& name);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_RESULTS_HPP_
