// Judges the results of an experiment: the rules that no gateway may violate, and the bounds of the file.
#ifndef GATEWAY_LAB_EVALUATION_HPP_
#define GATEWAY_LAB_EVALUATION_HPP_

#include <string>
#include <vector>

#include "lab/experiment.hpp"
#include "lab/results.hpp"

namespace gateway::lab {

struct Verdict {
  enum class Kind {
    kPassed,
    kViolated,
    kInconclusive,  // nothing to compare with, or the lab itself was too slow for a judgement on speed
  };
  Kind kind = Kind::kPassed;
  std::string text;  // the rule or the bound with its figure
};

// Judges the rules in every run of the gateway under test, and each bound over the mean of all seeds.
std::vector<Verdict> Evaluate(const Experiment& experiment, const Results& results);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_EVALUATION_HPP_
