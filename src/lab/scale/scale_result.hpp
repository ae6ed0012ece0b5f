// The result of a scale sweep. A sweep varies one size of the fleet (the axis, such as the number of hosts)
// and measures the costs of each role (gateway, list service ...) at several points. The result contains the
// measured costs and the curves fitted to them. No I/O. Thread-compatible.
#ifndef GATEWAY_LAB_SCALE_SCALE_RESULT_HPP_
#define GATEWAY_LAB_SCALE_SCALE_RESULT_HPP_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace gateway::lab {

// The function by which a cost y grows with the size x.
enum class GrowthModel {
  kConstant,  // y = offset
  kLinear,    // y = offset + slope * x
  kNLogN,     // y = offset + slope * x * ln(x)
  kQuadratic  // y = offset + slope * x * x
};

inline constexpr GrowthModel kAllGrowthModels[] = {GrowthModel::kConstant, GrowthModel::kLinear,
                                                   GrowthModel::kNLogN, GrowthModel::kQuadratic};

// The name of the model in result files: "constant", "linear", "n log n" or "square".
std::string_view GrowthModelName(GrowthModel model);
// Returns nullopt for an unknown name.
std::optional<GrowthModel> GrowthModelFromName(std::string_view name);

// The fitted value at the size x and its 95% prediction interval, in the figure's unit.
struct FitEstimate {
  double x = 0;
  double value = 0;
  double low = 0, high = 0;
  bool extrapolated = false;  // x exceeds the largest measured point
};

// The curve fitted to one figure of one role. A figure is a measured quantity, such as cpu_per_change_us.
struct ScaleFit {
  std::string role, figure;
  GrowthModel model = GrowthModel::kLinear;
  double offset = 0, slope = 0;  // never negative
  double residual = 0;           // root mean square of the residuals, divided by the mean of the figure
  double r2 = 0;  // share of the variance that the model explains (coefficient of determination)
  std::map<GrowthModel, double> residuals;  // as `residual`, for every model that was fitted
  FitEstimate at_full;
};

// The values of one figure, one per run.
using RunValues = std::vector<double>;
// The figures of one role by name. A name ends with its unit.
using RoleFigures = std::map<std::string, RunValues>;

// The values of all runs at one point.
struct ScalePoint {
  double value = 0;  // the size, in the unit of the axis
  std::map<std::string, RoleFigures> roles;
};

// A point that was not measured, because a process under test exited or a step timed out.
struct RefusedPoint {
  double value = 0;  // the size, in the unit of the axis
  std::string reason;
};

// The machine on which the sweep ran.
struct ScaleMachine {
  unsigned cores = 0;
  double memory_mb = 0;
};

// The result of one sweep, as written to its file.
struct ScaleResult {
  std::string experiment, name, about;
  std::string axis, unit;
  double full = 0;         // the size expected in two years, in the unit of the axis
  double largest = 0;      // the largest measured point, in the unit of the axis
  std::string limited_by;  // why `largest` is less than `full`; empty if `largest` is not less
  std::uint64_t seed = 0;
  unsigned runs = 0;
  std::string revision;
  ScaleMachine machine;
  std::map<std::string, double> fixed;  // the sizes that the sweep does not vary, by name
  std::vector<ScalePoint> points;
  std::vector<RefusedPoint> refused;
  std::vector<ScaleFit> fits;
};

// The load on the list service in one storm, in which all gateways call it at once.
struct StormResult {
  std::string storm, experiment;
  std::uint64_t seed = 0;
  unsigned runs = 0;
  std::map<std::string, double> fixed;  // sizes of the fleet, by name
  double peak_bytes_per_s = 0;
  double peak_cpu_percent = 0;  // of one core
  double peak_queue = 0;        // requests that the list service had not read yet
  double convergence_ms = 0;    // time until all gateways had the latest list
};

// The file is not a valid result. what() names the field, for example "axis: missing".
class ScaleFormatError : public std::runtime_error {
 public:
  ScaleFormatError(std::string field, const std::string& problem)
      : std::runtime_error(field + ": " + problem), field_(std::move(field)) {}
  const std::string& field() const { return field_; }

 private:
  std::string field_;
};

nlohmann::json ToJson(const ScaleResult& result);
// Throws ScaleFormatError.
ScaleResult FromJson(const nlohmann::json& json);

// The content of storms.json: {"storms": [...]}.
nlohmann::json StormsToJson(const std::vector<StormResult>& storms);
// Throws ScaleFormatError.
std::vector<StormResult> StormsFromJson(const nlohmann::json& json);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_SCALE_SCALE_RESULT_HPP_
