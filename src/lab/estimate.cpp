#include "lab/estimate.hpp"

#include <fmt/format.h>

#include <boost/math/distributions/students_t.hpp>
#include <cmath>

namespace gateway::lab {
namespace {

constexpr double kUpperQuantile = 0.975;  // for a two-sided 95% confidence interval
constexpr double kMaxExactInteger = 1e9;  // smaller integers are printed with all digits

}  // namespace

Estimate EstimateMean(const std::vector<double>& values) {
  Estimate estimate;
  estimate.count = values.size();
  if (values.empty()) return estimate;
  const auto count = static_cast<double>(values.size());
  for (const double value : values) estimate.mean += value / count;
  if (values.size() < 2) return estimate;
  double squares = 0;
  for (const double value : values) squares += (value - estimate.mean) * (value - estimate.mean);
  const boost::math::students_t_distribution<double> distribution(count - 1);
  estimate.half_width =
      boost::math::quantile(distribution, kUpperQuantile) * std::sqrt(squares / (count - 1) / count);
  return estimate;
}

std::string FormatFigure(double value) {
  const double magnitude = std::abs(value);
  if (value == std::floor(value) && magnitude < kMaxExactInteger) return fmt::format("{:.0f}", value);
  if (magnitude >= 100) return fmt::format("{:.0f}", value);
  if (magnitude >= 1) return fmt::format("{:.2f}", value);
  return fmt::format("{:.4f}", value);
}

std::string FormatFigure(const Estimate& estimate) {
  if (estimate.count == 0) return "-";
  if (estimate.half_width <= 0) return FormatFigure(estimate.mean);
  return FormatFigure(estimate.mean) + " ±" + FormatFigure(estimate.half_width);
}

}  // namespace gateway::lab
