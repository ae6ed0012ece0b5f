#include "lab/scale/scale_fit.hpp"

#include <algorithm>
#include <boost/math/distributions/students_t.hpp>
#include <cmath>
#include <utility>

namespace gateway::lab {
namespace {

constexpr std::size_t kLeastPoints = 3;
constexpr double kClearlyBetter = 0.75;     // of another form's residual
constexpr double kGoodEnough = 0.005;       // a line of a smaller residual is not replaced by a curve
constexpr double kSlopeStandardErrors = 2;  // a slope above this many counts as growth
constexpr double kExact = 1e-9;             // a residual below this is rounding
constexpr double kConfidence = 0.95;

// One size: the transformed x of a form, and the mean of the runs.
struct Observation {
  double basis = 0;
  double mean = 0;
  double weight = 0;  // runs
};

// Which of offset and slope the least squares with both from 0 on left free.
enum class Free { kOffset, kSlope, kBoth };

struct Curve {
  FitForm form = FitForm::kLinear;
  Free free = Free::kBoth;
  double offset = 0, slope = 0;
  double squares = 0;  // weighted sum of the squared distances of the means
};

double Basis(FitForm form, double x) {
  switch (form) {
    case FitForm::kConstant: return 0;
    case FitForm::kLinear: return x;
    case FitForm::kNLogN: return x > 1 ? x * std::log(x) : 0;
    case FitForm::kSquare: return x * x;
  }
  return 0;
}

// Weighted sums about the means.
struct Sums {
  double weight = 0;
  double basis_mean = 0, value_mean = 0;
  double basis_squares = 0, value_squares = 0, products = 0;  // about the means
  double raw_basis_squares = 0, raw_products = 0;             // about zero
};

Sums SumOf(const std::vector<Observation>& observations) {
  Sums sums;
  for (const Observation& o : observations) {
    sums.weight += o.weight;
    sums.basis_mean += o.weight * o.basis;
    sums.value_mean += o.weight * o.mean;
    sums.raw_basis_squares += o.weight * o.basis * o.basis;
    sums.raw_products += o.weight * o.basis * o.mean;
  }
  sums.basis_mean /= sums.weight;
  sums.value_mean /= sums.weight;
  for (const Observation& o : observations) {
    const double basis = o.basis - sums.basis_mean;
    const double value = o.mean - sums.value_mean;
    sums.basis_squares += o.weight * basis * basis;
    sums.value_squares += o.weight * value * value;
    sums.products += o.weight * basis * value;
  }
  return sums;
}

double SquaresAbout(const Curve& curve, const std::vector<Observation>& observations) {
  double squares = 0;
  for (const Observation& o : observations) {
    const double distance = o.mean - curve.offset - curve.slope * o.basis;
    squares += o.weight * distance * distance;
  }
  return squares;
}

std::vector<Observation> Observe(FitForm form, const std::vector<double>& sizes,
                                 const std::vector<RunValues>& runs) {
  std::vector<Observation> observations;
  for (std::size_t i = 0; i < sizes.size(); ++i) {
    double sum = 0;
    for (const double value : runs[i]) sum += value;
    const auto count = static_cast<double>(runs[i].size());
    observations.push_back({Basis(form, sizes[i]), sum / count, count});
  }
  return observations;
}

// Least squares under offset >= 0 and slope >= 0. With two parameters the bound that is hit can be set to
// zero and the other one fitted alone.
Curve FitCurve(FitForm form, const std::vector<Observation>& observations) {
  const Sums sums = SumOf(observations);
  Curve curve;
  curve.form = form;
  curve.slope = sums.basis_squares > 0 ? sums.products / sums.basis_squares : 0;
  curve.offset = sums.value_mean - curve.slope * sums.basis_mean;
  if (form == FitForm::kConstant || curve.slope <= 0) {
    curve.free = Free::kOffset;
    curve.slope = 0;
    curve.offset = std::max(0.0, sums.value_mean);
  } else if (curve.offset < 0) {
    curve.free = Free::kSlope;
    curve.offset = 0;
    curve.slope = std::max(0.0, sums.raw_products / sums.raw_basis_squares);
  }
  curve.squares = SquaresAbout(curve, observations);
  return curve;
}

double FreeParameters(const Curve& curve) { return curve.free == Free::kBoth ? 2 : 1; }

// Root mean square over the mean of the figure.
double RelativeResidual(const Curve& curve, const Sums& sums) {
  if (curve.squares <= 0) return 0;
  const double scale = std::abs(sums.value_mean);
  if (scale == 0) return std::sqrt(curve.squares / sums.weight);
  return std::sqrt(curve.squares / sums.weight) / scale;
}

// Whether the growth is significant: by an F test against the constant, or by a clearly smaller
// residual. Few points seldom pass the former; a slope that is left out costs more here than one too many.
bool Grows(const Curve& constant, const Curve& grown, std::size_t points) {
  if (grown.slope <= 0) return false;
  const double left = static_cast<double>(points) - FreeParameters(grown);
  const double gained = constant.squares - grown.squares;
  if (gained * left > kSlopeStandardErrors * kSlopeStandardErrors * grown.squares) return true;
  return std::sqrt(grown.squares) < kClearlyBetter * std::sqrt(constant.squares);
}

const Curve& Choose(const std::vector<Curve>& curves, const std::map<FitForm, double>& residuals,
                    std::size_t points) {
  const auto of = [&](FitForm form) -> const Curve& {
    return *std::find_if(curves.begin(), curves.end(), [&](const Curve& c) { return c.form == form; });
  };
  const Curve& constant = of(FitForm::kConstant);
  const Curve& line = of(FitForm::kLinear);
  const bool n_log_n = residuals.at(FitForm::kNLogN) <= residuals.at(FitForm::kSquare);
  const Curve& curved = of(n_log_n ? FitForm::kNLogN : FitForm::kSquare);
  if (residuals.at(FitForm::kConstant) < kExact) return constant;
  const double of_line = residuals.at(FitForm::kLinear);
  const bool bent = of_line > kGoodEnough && residuals.at(curved.form) < kClearlyBetter * of_line;
  const Curve& grown = bent ? curved : line;
  return Grows(constant, grown, points) ? grown : constant;
}

// The variance of one run, and with how many degrees of freedom it is known.
struct Variance {
  double value = 0;
  double degrees = 1;
};

// Noise may be relative to the figure: then it is larger at the full size than at the points measured. So
// each run's distance counts as it is or in the proportion of `value` to its point's mean, whichever gives
// more.
Variance VarianceAboutPoints(const std::vector<RunValues>& runs, const std::vector<Observation>& means,
                             double value) {
  double absolute = 0, relative = 0, degrees = 0;
  for (std::size_t i = 0; i < runs.size(); ++i) {
    const double mean = means[i].mean;
    for (const double value : runs[i]) {
      absolute += (value - mean) * (value - mean);
      if (mean > 0) relative += (value / mean - 1) * (value / mean - 1);
    }
    degrees += static_cast<double>(runs[i].size()) - 1;
  }
  if (degrees <= 0) return {};
  return {std::max(absolute, relative * value * value) / degrees, degrees};
}

Variance VarianceAboutCurve(const Curve& curve, std::size_t points) {
  const double degrees = static_cast<double>(points) - FreeParameters(curve);
  return {curve.squares / degrees, degrees};
}

// How far the curve itself moves with the observations, in variances of one run.
double Leverage(const Curve& curve, const Sums& sums, double basis) {
  switch (curve.free) {
    case Free::kOffset: return 1 / sums.weight;
    case Free::kSlope: return basis * basis / sums.raw_basis_squares;
    case Free::kBoth: break;
  }
  const double distance = basis - sums.basis_mean;
  return 1 / sums.weight + distance * distance / sums.basis_squares;
}

double HalfWidth(const Variance& variance, double leverage, double runs_per_point) {
  if (variance.value <= 0) return 0;
  const boost::math::students_t_distribution<double> t(variance.degrees);
  const double quantile = boost::math::quantile(t, (1 + kConfidence) / 2);
  return quantile * std::sqrt(variance.value * (1 / runs_per_point + leverage));
}

FitEstimate Estimate(const Curve& curve, const std::vector<Observation>& means,
                     const std::vector<RunValues>& runs, double largest, double full) {
  const Sums sums = SumOf(means);
  const double basis = Basis(curve.form, full);
  FitEstimate estimate;
  estimate.x = full;
  estimate.extrapolated = full > largest;
  estimate.value = curve.offset + curve.slope * basis;
  const double runs_per_point = sums.weight / static_cast<double>(means.size());
  const double leverage = Leverage(curve, sums, basis);
  const Variance of_curve = VarianceAboutCurve(curve, means.size());
  const Variance of_runs = VarianceAboutPoints(runs, means, estimate.value);
  const double width =
      std::max(HalfWidth(of_curve, leverage, runs_per_point), HalfWidth(of_runs, leverage, runs_per_point));
  estimate.low = std::max(0.0, estimate.value - width);
  estimate.high = estimate.value + width;
  return estimate;
}

void Check(const std::vector<double>& sizes, const std::vector<RunValues>& runs, double full) {
  if (sizes.size() != runs.size()) {
    throw FitError(FitProblem::kLengthsDiffer, "there should be one list of runs for each size");
  }
  if (sizes.size() < kLeastPoints) {
    throw FitError(FitProblem::kTooFewPoints, "a fit needs three points at the least");
  }
  const auto bad = [](double x) { return !std::isfinite(x) || x < 0; };
  if (bad(full) || std::any_of(sizes.begin(), sizes.end(), bad)) {
    throw FitError(FitProblem::kNotFinite, "sizes should be finite and from 0 on");
  }
  for (const RunValues& values : runs) {
    if (values.empty()) throw FitError(FitProblem::kNoRuns, "a point has no value of any play");
    if (!std::all_of(values.begin(), values.end(), [](double y) { return std::isfinite(y); })) {
      throw FitError(FitProblem::kNotFinite, "a value is not finite");
    }
  }
  if (std::all_of(sizes.begin(), sizes.end(), [&](double x) { return x == sizes.front(); })) {
    throw FitError(FitProblem::kSameSize, "all points are of the same size");
  }
}

double ShareExplained(const Curve& curve, const Sums& sums) {
  if (sums.value_squares <= 0) return 1;  // nothing to explain
  return std::max(0.0, 1 - curve.squares / sums.value_squares);
}

// The sizes at which a role's figure was measured, with its runs.
struct Series {
  std::vector<double> sizes;
  std::vector<RunValues> runs;
};

std::map<std::pair<std::string, std::string>, Series> AllSeries(const ScaleResult& result) {
  std::map<std::pair<std::string, std::string>, Series> all;
  for (const ScalePoint& point : result.points) {
    for (const auto& [role, figures] : point.roles) {
      for (const auto& [figure, values] : figures) {
        if (values.empty()) continue;
        Series& series = all[{role, figure}];
        series.sizes.push_back(point.value);
        series.runs.push_back(values);
      }
    }
  }
  return all;
}

}  // namespace

ScaleFit FitFigure(const std::vector<double>& sizes, const std::vector<RunValues>& runs, double full) {
  Check(sizes, runs, full);
  std::vector<Curve> curves;
  ScaleFit fit;
  for (const FitForm form : kAllFitForms) {
    const auto observations = Observe(form, sizes, runs);
    curves.push_back(FitCurve(form, observations));
    fit.residuals[form] = RelativeResidual(curves.back(), SumOf(observations));
  }
  const Curve& chosen = Choose(curves, fit.residuals, sizes.size());
  const auto means = Observe(chosen.form, sizes, runs);
  fit.form = chosen.form;
  fit.offset = chosen.offset;
  fit.slope = chosen.slope;
  fit.residual = fit.residuals.at(chosen.form);
  fit.r2 = ShareExplained(chosen, SumOf(means));
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
      // Too few points of this figure: the result has the points and no fit.
    }
  }
  return fits;
}

double ValueAt(const ScaleFit& fit, double x) { return fit.offset + fit.slope * Basis(fit.form, x); }

}  // namespace gateway::lab
