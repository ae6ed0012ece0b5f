// The mean of a figure over several runs, with its confidence interval.
#ifndef GATEWAY_LAB_ESTIMATE_HPP_
#define GATEWAY_LAB_ESTIMATE_HPP_

#include <cstddef>
#include <string>
#include <vector>

namespace gateway::lab {

struct Estimate {
  double mean = 0;
  double half_width = 0;  // of the 95% confidence interval (Student's t); 0 for fewer than two values
  std::size_t count = 0;  // number of values
};

Estimate EstimateMean(const std::vector<double>& values);

// Formats a figure. Larger figures get fewer decimals.
std::string FormatFigure(double value);

// Formats the mean and the half width of the confidence interval, or "-" if there are no values.
std::string FormatFigure(const Estimate& estimate);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_ESTIMATE_HPP_
