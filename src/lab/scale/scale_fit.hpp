// Least-squares fit of a figure (such as a CPU time) as a function of a size (such as the number of hosts),
// and the estimate of the figure at the full size. Pure functions without I/O; thread-safe.
#ifndef GATEWAY_LAB_SCALE_SCALE_FIT_HPP_
#define GATEWAY_LAB_SCALE_SCALE_FIT_HPP_

#include <stdexcept>
#include <string>
#include <vector>

#include "lab/scale/scale_result.hpp"

namespace gateway::lab {

// The reason why values can't be fitted.
enum class FitProblem {
  kTooFewPoints,       // fewer than three points
  kEqualSizes,         // all points have the same size
  kListLengthsDiffer,  // the number of lists of runs differs from the number of sizes
  kNoRuns,             // a point has no value
  kInvalidNumber       // an infinite or NaN value or size, or a negative size
};

class FitError : public std::runtime_error {
 public:
  FitError(FitProblem problem, const std::string& text) : std::runtime_error(text), problem_(problem) {}
  FitProblem problem() const { return problem_; }

 private:
  FitProblem problem_;
};

// Fits a curve to the values of a figure and estimates the figure at the size `full`. runs[i] contains the
// values at sizes[i], one per run. Sizes must not be negative. Leaves the role and figure of the result
// empty. Offset and slope are never negative: a figure that falls with the size is fitted by a constant.
// Throws FitError.
//
// First chooses the growing model. The default is a straight line. A curve (n log n or the square, whichever
// has the smaller residual) replaces the line if the residual of the line is above 0.5% and the residual of
// the curve is below three quarters of it. Then compares the growing model with a constant. The constant
// replaces the growing model if the slope is within two standard errors of zero and the residual of the
// growing model is at least three quarters of the residual of the constant.
//
// The interval of at_full is a 95% prediction interval (Student's t) for the mean of the same number of runs.
// It is the wider one of two intervals. One uses the variance of the points about the curve. The other uses
// the variance of the runs about the mean of their point, computed from absolute and from relative
// deviations; the larger of the two results counts.
ScaleFit FitFigure(const std::vector<double>& sizes, const std::vector<RunValues>& runs, double full);

// Fits every figure of every role, using the points of the result that contain the figure. Returns the fits
// ordered by role and figure, without the figures that can't be fitted.
std::vector<ScaleFit> FitAllFigures(const ScaleResult& result);

// Returns the fitted value at the size x, in the figure's unit.
double ValueAt(const ScaleFit& fit, double x);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_SCALE_SCALE_FIT_HPP_
