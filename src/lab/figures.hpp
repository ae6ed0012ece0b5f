// The names of the figures of a run. A name may be followed by '/' and the name of a class or the number of a
// fault, as in "p99_ms/pay".
#ifndef GATEWAY_LAB_FIGURES_HPP_
#define GATEWAY_LAB_FIGURES_HPP_

#include <string>
#include <vector>

namespace gateway::lab {

// Counts of rule violations: each must be 0 for the gateway unless the experiment has a bound on it.
const std::vector<std::string>& RuleFigureNames();

// All names in the order in which reports list the figures. The names of the rules come first.
const std::vector<std::string>& FigureNames();

// The name without the suffix for a class or fault.
std::string FigureBaseName(const std::string& name);

bool IsFigure(const std::string& name);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_FIGURES_HPP_
