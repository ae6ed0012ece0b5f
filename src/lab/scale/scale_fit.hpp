// Least squares of a cost over a size: how a figure grows, and what it comes to at the full size.
// Pure functions without I/O; safe from any thread.
#ifndef GATEWAY_LAB_SCALE_SCALE_FIT_HPP_
#define GATEWAY_LAB_SCALE_SCALE_FIT_HPP_

#include <stdexcept>
#include <string>
#include <vector>

#include "lab/scale/scale_result.hpp"

namespace gateway::lab {

// Why values can't be fitted.
enum class FitProblem {
  kTooFewPoints,   // under three
  kSameSize,       // every point lies at the same x
  kLengthsDiffer,  // not one list of runs for each x
  kNoRuns,         // a point without a value
  kNotFinite       // an infinity or NaN, or a negative x
};

class FitError : public std::runtime_error {
 public:
  FitError(FitProblem problem, const std::string& text) : std::runtime_error(text), problem_(problem) {}
  FitProblem problem() const { return problem_; }

 private:
  FitProblem problem_;
};

// Fits `runs[i]` (the figure's values at sizes[i], one a run) over `sizes` (from 0 on) and extrapolates to
// `full`. Leaves role and figure empty. Offset and slope are never negative: a fall is fitted as a constant.
//
// A straight line is taken unless another form is clearly better: n log n or the square where the line's
// residual is above 0.5% and theirs below three quarters of it; a constant where the slope is within two
// standard errors of zero and the line's residual is not below three quarters of the constant's.
//
// The interval of at_full is that of a prediction (95%, Student's t) for the mean of as many runs. Its
// variance is the larger of that of the points about the curve and that of the runs about their points, the
// latter taken as absolute or as relative to the figure, whichever gives more.
// Throws FitError.
ScaleFit FitFigure(const std::vector<double>& sizes, const std::vector<RunValues>& runs, double full);

// The fits of every role's figures over the points of the result that hold them, by role and figure. What
// can't be fitted is left out.
std::vector<ScaleFit> FitAllFigures(const ScaleResult& result);

// The fitted value at size x, in the figure's unit.
double ValueAt(const ScaleFit& fit, double x);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_SCALE_SCALE_FIT_HPP_
