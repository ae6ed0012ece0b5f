// The names of the figures that a run gives. A name may be followed by '/' and the name of a class or the
// number of a fault, as in "p99_ms/pay".
#ifndef GATEWAY_LAB_FIGURES_HPP_
#define GATEWAY_LAB_FIGURES_HPP_

#include <string>
#include <vector>

namespace gateway::lab {

// Counts of violations: each has to be 0 for the gateway unless a bound of the experiment says otherwise.
const std::vector<std::string>& RuleFigureNames();

// All names in the order of reports, those of the rules first.
const std::vector<std::string>& FigureNames();

// The name without the class or fault behind it.
std::string FigureBaseName(const std::string& name);

bool IsFigure(const std::string& name);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_FIGURES_HPP_
