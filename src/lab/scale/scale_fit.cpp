#include "lab/scale/scale_fit.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <boost/math/distributions/students_t.hpp>
#include <cmath>
#include <utility>

namespace gateway::lab {
namespace {

constexpr std::size_t kMinPoints = 3;
// A curve fits clearly better than another one if its residual is below this share of the other residual.
constexpr double kMaxResidualRatio = 0.75;
constexpr double kMaxLinearResidual = 0.005;  // a line with a smaller residual is always good enough
constexpr double kSlopeStandardErrors = 2;    // a slope of more standard errors is significant
constexpr double kRoundingResidual = 1e-9;    // a smaller residual is only a rounding error
constexpr double kConfidenceLevel = 0.95;

// The value of the model's basis function at one size, and the mean of the runs at this size.
struct Observation {
  double basis = 0;
  double mean = 0;
  double weight = 0;  // number of runs
};

// The parameters that are fitted. A parameter that is not fitted is 0, because the model is constant or
// because of the constraints offset >= 0 and slope >= 0.
enum class FittedParameters { kOffset, kSlope, kBoth };

struct Curve {
  GrowthModel model = GrowthModel::kLinear;
  FittedParameters fitted = FittedParameters::kBoth;
  double offset = 0, slope = 0;
  double squared_residuals = 0;  // weighted sum of the squared residuals of the means
};

// The basis function of the model: the fitted value is offset + slope * Basis(model, x).
double Basis(GrowthModel model, double x) {
  switch (model) {
    case GrowthModel::kConstant: return 0;
    case GrowthModel::kLinear: return x;
    case GrowthModel::kNLogN: return x > 1 ? x * std::log(x) : 0;
    case GrowthModel::kQuadratic: return x * x;
  }
  return 0;
}

// Weighted sums over the observations.
struct Sums {
  double weight = 0;
  double basis_mean = 0, value_mean = 0;
  double basis_squares = 0, value_squares = 0, products = 0;  // about the means
  double raw_basis_squares = 0, raw_products = 0;             // about zero
};

Sums WeightedSums(const std::vector<Observation>& observations) {
  Sums sums;
  for (const Observation& observation : observations) {
    sums.weight += observation.weight;
    sums.basis_mean += observation.weight * observation.basis;
    sums.value_mean += observation.weight * observation.mean;
    sums.raw_basis_squares += observation.weight * observation.basis * observation.basis;
    sums.raw_products += observation.weight * observation.basis * observation.mean;
  }
  sums.basis_mean /= sums.weight;
  sums.value_mean /= sums.weight;
  for (const Observation& observation : observations) {
    const double basis = observation.basis - sums.basis_mean;
    const double value = observation.mean - sums.value_mean;
    sums.basis_squares += observation.weight * basis * basis;
    sums.value_squares += observation.weight * value * value;
    sums.products += observation.weight * basis * value;
  }
  return sums;
}

double SquaredResiduals(const Curve& curve, const std::vector<Observation>& observations) {
  double squared_residuals = 0;
  for (const Observation& observation : observations) {
    const double residual = observation.mean - curve.offset - curve.slope * observation.basis;
    squared_residuals += observation.weight * residual * residual;
  }
  return squared_residuals;
}

std::vector<Observation> MeanObservations(GrowthModel model, const std::vector<double>& sizes,
                                          const std::vector<RunValues>& runs) {
  std::vector<Observation> observations;
  for (std::size_t i = 0; i < sizes.size(); ++i) {
    double sum = 0;
    for (const double value : runs[i]) sum += value;
    const auto count = static_cast<double>(runs[i].size());
    observations.push_back({Basis(model, sizes[i]), sum / count, count});
  }
  return observations;
}

// Least squares under the constraints offset >= 0 and slope >= 0. If one parameter would be negative, sets it
// to zero and fits the other parameter alone.
Curve FitCurve(GrowthModel model, const std::vector<Observation>& observations) {
  const Sums sums = WeightedSums(observations);
  Curve curve;
  curve.model = model;
  curve.slope = sums.basis_squares > 0 ? sums.products / sums.basis_squares : 0;
  curve.offset = sums.value_mean - curve.slope * sums.basis_mean;
  if (model == GrowthModel::kConstant || curve.slope <= 0) {
    curve.fitted = FittedParameters::kOffset;
    curve.slope = 0;
    curve.offset = std::max(0.0, sums.value_mean);
  } else if (curve.offset < 0) {
    curve.fitted = FittedParameters::kSlope;
    curve.offset = 0;
    curve.slope = std::max(0.0, sums.raw_products / sums.raw_basis_squares);
  }
  curve.squared_residuals = SquaredResiduals(curve, observations);
  return curve;
}

double FittedParameterCount(const Curve& curve) { return curve.fitted == FittedParameters::kBoth ? 2 : 1; }

// Returns the root mean square of the residuals divided by the mean of the figure.
double RelativeResidual(const Curve& curve, const Sums& sums) {
  if (curve.squared_residuals <= 0) return 0;
  const double scale = std::abs(sums.value_mean);
  if (scale == 0) return std::sqrt(curve.squared_residuals / sums.weight);
  return std::sqrt(curve.squared_residuals / sums.weight) / scale;
}

// Returns true if the growing curve is significantly better than the constant. One of two criteria is enough:
// an F test, or a clearly smaller residual. The second criterion exists because the F test rarely detects
// growth with few points, and omitting a real slope is a worse error here than reporting a spurious one.
bool HasSignificantGrowth(const Curve& constant, const Curve& growing, std::size_t points) {
  if (growing.slope <= 0) return false;
  const double degrees = static_cast<double>(points) - FittedParameterCount(growing);
  const double improvement = constant.squared_residuals - growing.squared_residuals;
  if (improvement * degrees > kSlopeStandardErrors * kSlopeStandardErrors * growing.squared_residuals)
    return true;
  return std::sqrt(growing.squared_residuals) < kMaxResidualRatio * std::sqrt(constant.squared_residuals);
}

const Curve& ChooseCurve(const std::vector<Curve>& curves, const std::map<GrowthModel, double>& residuals,
                         std::size_t points) {
  const auto curve_of = [&](GrowthModel model) -> const Curve& {
    return *std::find_if(curves.begin(), curves.end(),
                         [&](const Curve& curve) { return curve.model == model; });
  };
  const Curve& constant = curve_of(GrowthModel::kConstant);
  const Curve& linear = curve_of(GrowthModel::kLinear);
  const bool n_log_n = residuals.at(GrowthModel::kNLogN) <= residuals.at(GrowthModel::kQuadratic);
  const Curve& curved = curve_of(n_log_n ? GrowthModel::kNLogN : GrowthModel::kQuadratic);
  if (residuals.at(GrowthModel::kConstant) < kRoundingResidual) return constant;
  const double line_residual = residuals.at(GrowthModel::kLinear);
  const bool use_curve =
      line_residual > kMaxLinearResidual && residuals.at(curved.model) < kMaxResidualRatio * line_residual;
  const Curve& growing = use_curve ? curved : linear;
  return HasSignificantGrowth(constant, growing, points) ? growing : constant;
}

// The variance of one run, and the degrees of freedom of its estimate.
struct Variance {
  double value = 0;
  double degrees = 1;
};

// Returns the variance of the runs about the mean of their point, for an estimate of `value`. If noise is
// proportional to the figure, it is larger at the full size than at the measured points. So the function
// computes two variances, one from absolute deviations and one from deviations scaled by the ratio of `value`
// to the mean of their point, and returns the larger one.
Variance VarianceAboutPoints(const std::vector<RunValues>& runs, const std::vector<Observation>& means,
                             double value) {
  double absolute = 0, relative = 0, degrees = 0;
  for (std::size_t i = 0; i < runs.size(); ++i) {
    const double mean = means[i].mean;
    for (const double run : runs[i]) {
      absolute += (run - mean) * (run - mean);
      if (mean > 0) relative += (run / mean - 1) * (run / mean - 1);
    }
    degrees += static_cast<double>(runs[i].size()) - 1;
  }
  if (degrees <= 0) return {};
  return {std::max(absolute, relative * value * value) / degrees, degrees};
}

Variance VarianceAboutCurve(const Curve& curve, std::size_t points) {
  const double degrees = static_cast<double>(points) - FittedParameterCount(curve);
  return {curve.squared_residuals / degrees, degrees};
}

// Returns the variance of the fitted curve at `basis`, divided by the variance of one run.
double Leverage(const Curve& curve, const Sums& sums, double basis) {
  switch (curve.fitted) {
    case FittedParameters::kOffset: return 1 / sums.weight;
    case FittedParameters::kSlope: return basis * basis / sums.raw_basis_squares;
    case FittedParameters::kBoth: break;
  }
  const double basis_distance = basis - sums.basis_mean;
  return 1 / sums.weight + basis_distance * basis_distance / sums.basis_squares;
}

double HalfWidth(const Variance& variance, double leverage, double runs_per_point) {
  if (variance.value <= 0) return 0;
  const boost::math::students_t_distribution<double> distribution(variance.degrees);
  const double quantile = boost::math::quantile(distribution, (1 + kConfidenceLevel) / 2);
  return quantile * std::sqrt(variance.value * (1 / runs_per_point + leverage));
}

FitEstimate Estimate(const Curve& curve, const std::vector<Observation>& means,
                     const std::vector<RunValues>& runs, double largest, double full) {
  const Sums sums = WeightedSums(means);
  const double basis = Basis(curve.model, full);
  FitEstimate estimate;
  estimate.x = full;
  estimate.extrapolated = full > largest;
  estimate.value = curve.offset + curve.slope * basis;
  const double runs_per_point = sums.weight / static_cast<double>(means.size());
  const double leverage = Leverage(curve, sums, basis);
  const Variance curve_variance = VarianceAboutCurve(curve, means.size());
  const Variance run_variance = VarianceAboutPoints(runs, means, estimate.value);
  const double width = std::max(HalfWidth(curve_variance, leverage, runs_per_point),
                                HalfWidth(run_variance, leverage, runs_per_point));
  estimate.low = std::max(0.0, estimate.value - width);
  estimate.high = estimate.value + width;
  return estimate;
}

void CheckInput(const std::vector<double>& sizes, const std::vector<RunValues>& runs, double full) {
  if (sizes.size() != runs.size()) {
    throw FitError(
        FitProblem::kListLengthsDiffer,
        fmt::format(
            "the number of run lists should equal the number of sizes, but there are {} lists and {} sizes",
            runs.size(), sizes.size()));
  }
  if (sizes.size() < kMinPoints) {
    throw FitError(FitProblem::kTooFewPoints,
                   fmt::format("a fit needs at least three points, but has {}", sizes.size()));
  }
  const auto is_invalid = [](double x) { return !std::isfinite(x) || x < 0; };
  if (is_invalid(full) || std::any_of(sizes.begin(), sizes.end(), is_invalid)) {
    throw FitError(FitProblem::kInvalidNumber, "sizes should be finite and not negative");
  }
  for (const RunValues& values : runs) {
    if (values.empty()) throw FitError(FitProblem::kNoRuns, "a point has no values of any run");
    if (!std::all_of(values.begin(), values.end(), [](double y) { return std::isfinite(y); })) {
      throw FitError(FitProblem::kInvalidNumber, "values should be finite");
    }
  }
  if (std::all_of(sizes.begin(), sizes.end(), [&](double x) { return x == sizes.front(); })) {
    throw FitError(
        FitProblem::kEqualSizes,
        fmt::format("the points should have different sizes, but all have the size {:g}", sizes.front()));
  }
}

double CoefficientOfDetermination(const Curve& curve, const Sums& sums) {
  if (sums.value_squares <= 0) return 1;  // all means are equal: there is no variance to explain
  return std::max(0.0, 1 - curve.squared_residuals / sums.value_squares);
}

// The sizes at which a figure of a role was measured, with the values of the runs.
struct Series {
  std::vector<double> sizes;
  std::vector<RunValues> runs;
};

std::map<std::pair<std::string, std::string>, Series> AllSeries(const ScaleResult& result) {
  std::map<std::pair<std::string, std::string>, Series> series_by_figure;
  for (const ScalePoint& point : result.points) {
    for (const auto& [role, figures] : point.roles) {
      for (const auto& [figure, values] : figures) {
        if (values.empty()) continue;
        Series& series = series_by_figure[{role, figure}];
        series.sizes.push_back(point.value);
        series.runs.push_back(values);
      }
    }
  }
  return series_by_figure;
}

}  // namespace

ScaleFit FitFigure(const std::vector<double>& sizes, const std::vector<RunValues>& runs, double full) {
  CheckInput(sizes, runs, full);
  std::vector<Curve> curves;
  ScaleFit fit;
  for (const GrowthModel model : kAllGrowthModels) {
    const auto observations = MeanObservations(model, sizes, runs);
    curves.push_back(FitCurve(model, observations));
    fit.residuals[model] = RelativeResidual(curves.back(), WeightedSums(observations));
  }
  const Curve& chosen = ChooseCurve(curves, fit.residuals, sizes.size());
  const auto means = MeanObservations(chosen.model, sizes, runs);
  fit.model = chosen.model;
  fit.offset = chosen.offset;
  fit.slope = chosen.slope;
  fit.residual = fit.residuals.at(chosen.model);
  fit.r2 = CoefficientOfDetermination(chosen, WeightedSums(means));
  const double largest = *std::max_element(sizes.begin(), sizes.end());
  fit.at_full = Estimate(chosen, means, runs, largest, full);
  return fit;
}

std::vector<ScaleFit> FitAllFigures(const ScaleResult& result) {
  std::vector<ScaleFit> fits;
  for (const auto& [key, series] : AllSeries(result)) {
    try {
      ScaleFit fit = FitFigure(series.sizes, series.runs, result.full);
      fit.role = key.first;
      fit.figure = key.second;
      fits.push_back(std::move(fit));
    } catch (const FitError&) {
      // For example, too few points have this figure. The result then contains the points without a fit.
    }
  }
  return fits;
}

double ValueAt(const ScaleFit& fit, double x) { return fit.offset + fit.slope * Basis(fit.model, x); }

}  // namespace gateway::lab
