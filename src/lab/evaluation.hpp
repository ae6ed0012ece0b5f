// Evaluates the results of an experiment against the rules that no gateway may violate and the bounds of the
// experiment's file.
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
    // A run of a variant other than the gateway under test failed, the baseline of a ratio has no value or
    // the value 0, or the lab itself was too late for a figure that depends on speed.
    kInconclusive,
  };
  Kind kind = Kind::kPassed;
  std::string text;  // describes the rule or the bound with its figure
};

// Evaluates the rules in every run of the gateway under test, and each bound on the mean over all seeds.
std::vector<Verdict> Evaluate(const Experiment& experiment, const Results& results);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_EVALUATION_HPP_
