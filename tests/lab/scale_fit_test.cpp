// Tests of the curve fits of a scale sweep, of its result as JSON, and of its plots.
#include "lab/scale/scale_fit.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

#include "lab/scale/scale_plot.hpp"
#include "lab/scale/scale_result.hpp"
#include "lab/temporary_folder.hpp"

namespace gateway::lab {
namespace {

using nlohmann::json;

const std::vector<double> kSizes{12, 100, 500, 1000, 2500, 5000, 10000};
constexpr double kFull = 25000;
constexpr std::uint64_t kSeed = 1;

// A cost function with known parameters. The tests fit its values and compare the fit with these parameters.
struct TrueCost {
  GrowthModel model = GrowthModel::kLinear;
  double offset = 0, slope = 0;

  double At(double x) const {
    ScaleFit fit;
    fit.model = model;
    fit.offset = offset;
    fit.slope = slope;
    return ValueAt(fit, x);
  }
};

std::vector<RunValues> NoisyRuns(const TrueCost& true_cost, double noise, std::size_t runs,
                                 std::mt19937_64& random) {
  std::normal_distribution<double> normal(0, 1);
  std::vector<RunValues> runs_by_size;
  for (const double x : kSizes) {
    RunValues values;
    for (std::size_t i = 0; i < runs; ++i) values.push_back(true_cost.At(x) * (1 + noise * normal(random)));
    runs_by_size.push_back(std::move(values));
  }
  return runs_by_size;
}

std::vector<RunValues> ExactRuns(const TrueCost& true_cost) {
  std::mt19937_64 random(kSeed);
  return NoisyRuns(true_cost, 0, 2, random);
}

FitProblem ProblemOf(const std::vector<double>& sizes, const std::vector<RunValues>& runs) {
  try {
    FitFigure(sizes, runs, kFull);
  } catch (const FitError& error) {
    return error.problem();
  }
  throw std::logic_error("no FitError was thrown");
}

TEST(ScaleFit, RecoversOffsetAndSlopeOfALinearCost) {
  const ScaleFit fit = FitFigure(kSizes, ExactRuns({GrowthModel::kLinear, 0.8, 0.0007}), kFull);
  EXPECT_EQ(fit.model, GrowthModel::kLinear);
  EXPECT_NEAR(fit.offset, 0.8, 1e-9);
  EXPECT_NEAR(fit.slope, 0.0007, 1e-12);
  EXPECT_NEAR(fit.residual, 0, 1e-9);
  EXPECT_NEAR(fit.r2, 1, 1e-9);
  EXPECT_NEAR(fit.at_full.value, 18.3, 1e-6);
  EXPECT_NEAR(fit.at_full.low, fit.at_full.high, 1e-6);
  EXPECT_TRUE(fit.at_full.extrapolated);
  EXPECT_FALSE(FitFigure(kSizes, ExactRuns({GrowthModel::kLinear, 0.8, 0.0007}), 10000).at_full.extrapolated);
}

TEST(ScaleFit, RecoversAQuadraticCostFromNoisyRuns) {
  std::printf("seed %llu\n", static_cast<unsigned long long>(kSeed));
  std::mt19937_64 random(kSeed);
  const TrueCost true_cost{GrowthModel::kQuadratic, 3, 2e-6};
  const ScaleFit fit = FitFigure(kSizes, NoisyRuns(true_cost, 0.05, 3, random), kFull);
  EXPECT_EQ(fit.model, GrowthModel::kQuadratic);
  EXPECT_NEAR(fit.slope, 2e-6, 2e-7);
  EXPECT_GT(fit.residuals.at(GrowthModel::kLinear), 2 * fit.residual);
  EXPECT_EQ(fit.residuals.size(), std::size(kAllGrowthModels));
}

TEST(ScaleFit, ChoosesTheConstantModelIfTheCostDoesNotGrow) {
  std::mt19937_64 random(kSeed);
  const ScaleFit fit = FitFigure(kSizes, NoisyRuns({GrowthModel::kConstant, 5, 0}, 0.02, 3, random), kFull);
  EXPECT_EQ(fit.model, GrowthModel::kConstant);
  EXPECT_NEAR(fit.at_full.value, 5, 0.1);
  EXPECT_EQ(FitFigure(kSizes, ExactRuns({GrowthModel::kConstant, 0, 0}), kFull).at_full.value, 0);
}

TEST(ScaleFit, KeepsAnInsignificantSlopeIfALineFitsClearlyBetterThanAConstant) {
  // The values rise, but the slope is within two standard errors of zero. A constant would ignore the growth:
  // its estimate at the full size would be the mean of the measured values.
  const ScaleFit fit = FitFigure({10, 100, 1000, 5000}, {{1.2}, {1.0}, {2.9}, {3.3}}, kFull);
  EXPECT_EQ(fit.model, GrowthModel::kLinear);
  EXPECT_GT(fit.at_full.value, 6);
}

TEST(ScaleFit, ChoosesALineForAQuadraticCostIfTheResidualOfTheLineIsSmall) {
  const ScaleFit fit = FitFigure(kSizes, ExactRuns({GrowthModel::kQuadratic, 1000, 1e-7}), kFull);
  EXPECT_EQ(fit.model, GrowthModel::kLinear);
  EXPECT_LT(fit.residual, 0.005);
}

TEST(ScaleFit, NeverFitsANegativeCost) {
  // Without constraints, the line through the rising values would be negative at small sizes, and the line
  // through the falling values would be negative at the full size.
  const ScaleFit rising = FitFigure({10, 1000, 2000}, {{0.1}, {1}, {30}}, kFull);
  EXPECT_GE(rising.offset, 0);
  EXPECT_GE(rising.slope, 0);
  const ScaleFit falling = FitFigure({10, 1000, 2000}, {{9}, {6}, {3}}, kFull);
  EXPECT_EQ(falling.model, GrowthModel::kConstant);
  EXPECT_NEAR(falling.at_full.value, 6, 1e-9);
  EXPECT_GE(falling.at_full.low, 0);
}

// An interval that contains the true value in fewer than 95% of the sweeps is too narrow: it understates the
// uncertainty of the estimate.
TEST(ScaleFit, PredictionIntervalContainsTheTrueValueInAtLeast95PercentOfSweeps) {
  std::printf("seed %llu\n", static_cast<unsigned long long>(kSeed));
  std::mt19937_64 random(kSeed);
  const TrueCost true_cost{GrowthModel::kLinear, 400, 0.02};
  constexpr int kSweeps = 1000;
  int containing_sweeps = 0, true_model_sweeps = 0;
  for (int i = 0; i < kSweeps; ++i) {
    const ScaleFit fit = FitFigure(kSizes, NoisyRuns(true_cost, 0.05, 3, random), kFull);
    true_model_sweeps += fit.model == GrowthModel::kLinear ? 1 : 0;
    containing_sweeps +=
        fit.at_full.low <= true_cost.At(kFull) && true_cost.At(kFull) <= fit.at_full.high ? 1 : 0;
  }
  std::printf(
      "of %d sweeps, the interval contains the true value in %d, and %d are fitted with the true model\n",
      kSweeps, containing_sweeps, true_model_sweeps);
  EXPECT_GE(containing_sweeps, kSweeps * 95 / 100);
  EXPECT_GE(true_model_sweeps, kSweeps * 95 / 100);
}

TEST(ScaleFit, PredictionIntervalIsWiderForNoisierRuns) {
  std::mt19937_64 random(kSeed);
  const TrueCost true_cost{GrowthModel::kLinear, 400, 0.02};
  const ScaleFit quiet = FitFigure(kSizes, NoisyRuns(true_cost, 0.01, 3, random), kFull);
  const ScaleFit noisy = FitFigure(kSizes, NoisyRuns(true_cost, 0.10, 3, random), kFull);
  EXPECT_GT(noisy.at_full.high - noisy.at_full.low, 3 * (quiet.at_full.high - quiet.at_full.low));
}

TEST(ScaleFit, ErrorGivesTheProblemOfInvalidInput) {
  EXPECT_EQ(ProblemOf({1, 2}, {{1}, {2}}), FitProblem::kTooFewPoints);
  EXPECT_EQ(ProblemOf({7, 7, 7}, {{1}, {2}, {3}}), FitProblem::kEqualSizes);
  EXPECT_EQ(ProblemOf({1, 2, 3}, {{1}, {2}}), FitProblem::kListLengthsDiffer);
  EXPECT_EQ(ProblemOf({1, 2, 3}, {{1}, {}, {2}}), FitProblem::kNoRuns);
  EXPECT_EQ(ProblemOf({1, 2, 3}, {{1}, {std::nan("")}, {2}}), FitProblem::kInvalidNumber);
  EXPECT_EQ(ProblemOf({-1, 2, 3}, {{1}, {1}, {2}}), FitProblem::kInvalidNumber);
}

TrueCost DrawTrueCost() {
  TrueCost true_cost;
  true_cost.model =
      *rc::gen::elementOf(std::vector<GrowthModel>(std::begin(kAllGrowthModels), std::end(kAllGrowthModels)));
  true_cost.slope = true_cost.model == GrowthModel::kConstant ? 0 : *rc::gen::inRange(1, 1000) * 1e-3;
  // The offset is smaller than the growing part of the cost at the largest measured point.
  const double growth = true_cost.model == GrowthModel::kConstant ? 100 : true_cost.At(kSizes.back());
  true_cost.offset =
      growth * *rc::gen::inRange(0, 100) / 100 + (true_cost.model == GrowthModel::kConstant ? 1 : 0);
  return true_cost;
}

RC_GTEST_PROP(ScaleFitProperty, RecoversTheTrueModelFromRunsWithLowNoise, ()) {
  const TrueCost true_cost = DrawTrueCost();
  std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
  const ScaleFit fit = FitFigure(kSizes, NoisyRuns(true_cost, 0.002, 3, random), kFull);
  // The significance test for the slope occasionally chooses a line for a constant cost.
  if (true_cost.model == GrowthModel::kConstant && fit.model != GrowthModel::kConstant) {
    RC_ASSERT(std::abs(fit.at_full.value - true_cost.offset) < 0.05 * true_cost.offset);
    return;
  }
  RC_ASSERT(fit.model == true_cost.model);
  RC_ASSERT(std::abs(fit.slope - true_cost.slope) <= 0.02 * true_cost.slope);
}

RC_GTEST_PROP(ScaleFitProperty, ScalingAllValuesScalesTheFitByTheSameFactor, ()) {
  const TrueCost true_cost = DrawTrueCost();
  std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
  const double factor = std::pow(2.0, *rc::gen::inRange(-20, 20));
  const auto runs = NoisyRuns(true_cost, 0.03, 3, random);
  auto scaled = runs;
  for (RunValues& values : scaled) {
    for (double& value : values) value *= factor;
  }
  const ScaleFit original = FitFigure(kSizes, runs, kFull);
  const ScaleFit rescaled = FitFigure(kSizes, scaled, kFull);
  const auto is_near = [](double a, double b) { return std::abs(a - b) <= 1e-9 * (1e-9 + std::abs(a)); };
  RC_ASSERT(original.model == rescaled.model);
  RC_ASSERT(is_near(original.slope * factor, rescaled.slope));
  RC_ASSERT(is_near(original.at_full.value * factor, rescaled.at_full.value));
  RC_ASSERT(is_near(original.at_full.high * factor, rescaled.at_full.high));
  RC_ASSERT(is_near(original.residual, rescaled.residual));
}

RC_GTEST_PROP(ScaleFitProperty, NeverEstimatesANegativeCostForArbitraryValues, ()) {
  std::vector<RunValues> runs;
  for (std::size_t i = 0; i < kSizes.size(); ++i) runs.push_back({*rc::gen::inRange(-10, 1000) * 0.1});
  const ScaleFit fit = FitFigure(kSizes, runs, kFull);
  RC_ASSERT(fit.offset >= 0);
  RC_ASSERT(fit.slope >= 0);
  RC_ASSERT(fit.at_full.low >= 0);
  RC_ASSERT(fit.at_full.low <= fit.at_full.value);
  RC_ASSERT(fit.at_full.value <= fit.at_full.high);
}

ScaleResult Sample() {
  ScaleResult result;
  result.experiment = "experiments/scale/sample.toml";
  result.name = "sample";
  result.about = "a sample with 'quotes'";
  result.axis = result.unit = "hosts";
  result.full = kFull;
  result.largest = kSizes.back();
  result.limited_by = "memory";
  result.seed = 7;
  result.runs = 2;
  result.machine = {8, 24000};
  result.fixed = {{"gateways_real", 1}};
  const auto runs = ExactRuns({GrowthModel::kLinear, 0.8, 0.0007});
  for (std::size_t i = 0; i < kSizes.size(); ++i) {
    result.points.push_back(
        {kSizes[i], {{"gateway", {{"cpu_idle_percent", runs[i]}, {"memory_mb", {5, 6}}}}}});
  }
  result.points.front().roles["gateway"]["served_percent"] = {100, 100};  // not plotted
  result.points.front().roles["gateway"]["ready_ms"] = {12, 13};  // measured at one point only: no fit
  result.refused = {{73000, "list index too large"}};
  result.fits = FitAllFigures(result);
  return result;
}

// Returns the error message of FromJson for a sample that `change` modified.
template <typename Change>
std::string ErrorAfter(Change change) {
  json changed = ToJson(Sample());
  change(changed);
  try {
    FromJson(changed);
  } catch (const ScaleFormatError& error) {
    return error.what();
  }
  return "";
}

TEST(ScaleResult, RoundTripsThroughJson) {
  const ScaleResult result = Sample();
  EXPECT_EQ(result.fits.size(), 2U);
  const json written = ToJson(result);
  const ScaleResult read = FromJson(json::parse(written.dump(1)));
  EXPECT_EQ(ToJson(read), written);
  EXPECT_EQ(read.fits.at(0).role, "gateway");
  EXPECT_EQ(read.fits.at(0).figure, "cpu_idle_percent");
  EXPECT_EQ(read.fits.at(0).slope, result.fits.at(0).slope);
  EXPECT_EQ(read.refused.at(0).reason, "list index too large");
}

TEST(ScaleResult, ErrorOfAnInvalidFileNamesTheField) {
  EXPECT_EQ(ErrorAfter([](json& result) { result.erase("axis"); }), "axis: missing");
  EXPECT_EQ(ErrorAfter([](json& result) { result["full"] = "many"; }),
            "full: should be a number, but is of type string");
  EXPECT_EQ(ErrorAfter([](json& result) { result["seed"] = -1; }),
            "seed: should be a non-negative integer, but is -1");
  EXPECT_EQ(ErrorAfter([](json& result) { result["points"][2]["roles"] = 3; }),
            "points[2].roles: should be an object, but is of type number");
  EXPECT_EQ(
      ErrorAfter([](json& result) { result["points"][1]["roles"]["gateway"]["memory_mb"][1] = nullptr; }),
      "points[1].roles.gateway.memory_mb[1]: should be a number, but is of type null");
  EXPECT_EQ(ErrorAfter([](json& result) { result["fits"][0]["form"] = "cubic"; }),
            "fits[0].form: should be constant, linear, n log n or square, but is 'cubic'");
  EXPECT_EQ(ErrorAfter([](json& result) { result["fits"][0]["residuals"]["cubic"] = 1; }),
            "fits[0].residuals.cubic: unknown growth model; should be constant, linear, n log n or square");
  EXPECT_EQ(ErrorAfter([](json& result) { result = json::array(); }),
            "file: should be an object, but is of type array");
}

// tools/capacity.py reads the same fixtures. This test fails if the C++ reader no longer accepts the file
// format that the Python tool expects.
TEST(ScaleResult, ReadsTheFixturesOfTheCapacityTool) {
  std::stringstream text;
  text << std::ifstream(FIXTURES "/capacity/docs/results/scale/hosts.json").rdbuf();
  const ScaleResult sample = FromJson(json::parse(text.str()));
  EXPECT_EQ(sample.name, "hosts");
  EXPECT_EQ(sample.fits.size(), 4U);
  std::stringstream storms;
  storms << std::ifstream(FIXTURES "/capacity/docs/results/scale/storms.json").rdbuf();
  EXPECT_EQ(StormsFromJson(json::parse(storms.str())).size(), 1U);
}

TEST(ScaleResult, StormsRoundTripThroughJson) {
  const std::vector<StormResult> storms{
      {"zone_starts", "experiments/scale/storms.toml", 3, 1, {{"gateways", 400}}, 1e6, 80, 40, 900}};
  const json written = StormsToJson(storms);
  EXPECT_EQ(StormsToJson(StormsFromJson(written)), written);
  EXPECT_EQ(written["storms"][0]["peak_queue"], 40);
  EXPECT_THROW(StormsFromJson(json{{"storms", json::array({{{"storm", "zone_starts"}}})}}), ScaleFormatError);
}

TEST(ScalePlot, WritesOneFilePerGroupOfFiguresWithPointsAndFit) {
  const TemporaryFolder folder;
  const auto files = WriteScalePlots(Sample(), folder.path() / "it's");
  ASSERT_EQ(files.size(), 3U);
  EXPECT_EQ(files[0].filename(), "sample-processor.svg");
  EXPECT_EQ(files[1].filename(), "sample-memory.svg");
  EXPECT_EQ(files[2].filename(), "sample-time.svg");
  std::stringstream text;
  text << std::ifstream(files[0]).rdbuf();
  EXPECT_NE(text.str().find("gateway cpu_idle_percent (linear)"), std::string::npos);
  EXPECT_NE(text.str().find("largest measured"), std::string::npos);
  EXPECT_EQ(text.str().find("served_percent"), std::string::npos);
}

}  // namespace
}  // namespace gateway::lab
