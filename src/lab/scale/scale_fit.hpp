// Least-squares fit of a cost over a size: how a figure grows, and its estimate at the full size.
// Pure functions without I/O; thread-safe.
#ifndef GATEWAY_LAB_SCALE_SCALE_FIT_HPP_
#define GATEWAY_LAB_SCALE_SCALE_FIT_HPP_

#include <stdexcept>
#include <string>
#include <vector>

#include "lab/scale/scale_result.hpp"

namespace gateway::lab {

// The reason why values can't be fitted.
enum class FitProblem {
  kTooFewPoints,       // fewer than three
  kEqualSizes,         // all points have the same x
  kListLengthsDiffer,  // the number of lists of runs differs from the number of sizes
  kNoRuns,             // a point has no values
  kInvalidNumber       // an infinity or NaN, or a negative x
};

class FitError : public std::runtime_error {
 public:
  FitError(FitProblem problem, const std::string& text) : std::runtime_error(text), problem_(problem) {}
  FitProblem problem() const { return problem_; }

 private:
  FitProblem problem_;
};

// Fits `runs[i]` (the figure's values at sizes[i], one per run) over `sizes` (not negative) and extrapolates
// to `full`. Leaves role and figure empty. Offset and slope are never negative: a decline is fitted as a
// constant.
//
// Chooses a straight line unless another form is clearly better. Chooses n log n or the square, whichever has
// the smaller residual, if the line's residual is above 0.5% and the other form's is below three quarters of
// it. Chooses a constant if the slope is within two standard errors of zero and the residual of the growing
// form is not below three quarters of the constant's residual.
//
// The interval of at_full is a prediction interval (95%, Student's t) for the mean of the same number of
// runs. Two variances are computed: that of the points about the curve, and that of the runs about the mean
// of their point. The second one is computed from absolute and from relative deviations, and the larger
// result is used. Each variance gives an interval, and the wider one is used. Throws FitError.
ScaleFit FitFigure(const std::vector<double>& sizes, const std::vector<RunValues>& runs, double full);

// Fits every figure of every role over the points of the result that have it, ordered by role and figure.
// Omits figures that can't be fitted.
std::vector<ScaleFit> FitAllFigures(const ScaleResult& result);

// The fitted value at size x, in the figure's unit.
double ValueAt(const ScaleFit& fit, double x);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_SCALE_SCALE_FIT_HPP_
