#include "lab/scale/scale_result.hpp"

#include <fmt/format.h>

#include <cmath>
#include <utility>

namespace gateway::lab {
namespace {

using nlohmann::json;

constexpr std::pair<GrowthModel, std::string_view> kGrowthModelNames[] = {
    {GrowthModel::kConstant, "constant"},
    {GrowthModel::kLinear, "linear"},
    {GrowthModel::kNLogN, "n log n"},
    {GrowthModel::kQuadratic, "square"}};

constexpr std::string_view kExpectedGrowthModel = "should be constant, linear, n log n or square";

// A JSON value with its path in the file. Errors name this path.
class Field {
 public:
  Field(const json& value, std::string path) : value_(value), path_(std::move(path)) {}

  // Returns the member of this object. Throws ScaleFormatError if it is missing.
  Field Member(const std::string& name) const {
    RequireObject();
    const auto found = value_.find(name);
    if (found == value_.end()) throw ScaleFormatError(Join(name), "missing");
    return {*found, Join(name)};
  }

  double Number() const {
    if (!value_.is_number()) ThrowWrongType("should be a number");
    const double number = value_.get<double>();
    if (!std::isfinite(number)) throw ScaleFormatError(path_, "should be a finite number");
    return number;
  }

  std::uint64_t Count() const {
    if (!value_.is_number_unsigned()) {
      if (!value_.is_number()) ThrowWrongType("should be a non-negative integer");
      throw ScaleFormatError(path_, "should be a non-negative integer, but is " + value_.dump());
    }
    return value_.get<std::uint64_t>();
  }

  unsigned SmallCount() const {
    const std::uint64_t count = Count();
    if (count > UINT32_MAX)
      throw ScaleFormatError(path_, fmt::format("should be at most {}, but is {}", UINT32_MAX, count));
    return static_cast<unsigned>(count);
  }

  bool Boolean() const {
    if (!value_.is_boolean()) ThrowWrongType("should be true or false");
    return value_.get<bool>();
  }

  std::string Text() const {
    if (!value_.is_string()) ThrowWrongType("should be a string");
    return value_.get<std::string>();
  }

  GrowthModel ReadGrowthModel() const {
    const std::string name = Text();
    const auto model = GrowthModelFromName(name);
    if (!model) throw ScaleFormatError(path_, fmt::format("{}, but is '{}'", kExpectedGrowthModel, name));
    return *model;
  }

  // Reads every element of an array.
  template <typename Read>
  auto List(Read read) const {
    if (!value_.is_array()) ThrowWrongType("should be an array");
    std::vector<decltype(read(*this))> list;
    for (std::size_t i = 0; i < value_.size(); ++i) {
      list.push_back(read(Field(value_[i], fmt::format("{}[{}]", path_, i))));
    }
    return list;
  }

  // Reads every member of an object.
  template <typename Read>
  auto Map(Read read) const {
    RequireObject();
    std::map<std::string, decltype(read(*this))> map;
    for (const auto& [name, value] : value_.items()) map.emplace(name, read(Field(value, Join(name))));
    return map;
  }

  const std::string& path() const { return path_; }

 private:
  [[noreturn]] void ThrowWrongType(const std::string& expected) const {
    throw ScaleFormatError(path_.empty() ? "file" : path_,
                           fmt::format("{}, but is of type {}", expected, value_.type_name()));
  }
  void RequireObject() const {
    if (!value_.is_object()) ThrowWrongType("should be an object");
  }
  std::string Join(const std::string& name) const { return path_.empty() ? name : path_ + "." + name; }

  const json& value_;
  std::string path_;
};

double ReadNumber(const Field& field) { return field.Number(); }

RunValues ReadRunValues(const Field& field) { return field.List(ReadNumber); }

RoleFigures ReadRole(const Field& field) { return field.Map(ReadRunValues); }

ScalePoint ReadPoint(const Field& field) {
  ScalePoint point;
  point.value = field.Member("value").Number();
  point.roles = field.Member("roles").Map(ReadRole);
  return point;
}

RefusedPoint ReadRefused(const Field& field) {
  RefusedPoint refused;
  refused.value = field.Member("value").Number();
  refused.reason = field.Member("why").Text();
  return refused;
}

FitEstimate ReadEstimate(const Field& field) {
  FitEstimate estimate;
  estimate.x = field.Member("x").Number();
  estimate.value = field.Member("value").Number();
  estimate.low = field.Member("low").Number();
  estimate.high = field.Member("high").Number();
  estimate.extrapolated = field.Member("extrapolated").Boolean();
  return estimate;
}

std::map<GrowthModel, double> ReadResiduals(const Field& field) {
  std::map<GrowthModel, double> residuals;
  for (const auto& [name, value] : field.Map(ReadNumber)) {
    const auto model = GrowthModelFromName(name);
    if (!model)
      throw ScaleFormatError(field.path() + "." + name,
                             fmt::format("unknown growth model; {}", kExpectedGrowthModel));
    residuals.emplace(*model, value);
  }
  return residuals;
}

ScaleFit ReadFit(const Field& field) {
  ScaleFit fit;
  fit.role = field.Member("role").Text();
  fit.figure = field.Member("figure").Text();
  fit.model = field.Member("form").ReadGrowthModel();
  fit.offset = field.Member("offset").Number();
  fit.slope = field.Member("slope").Number();
  fit.residual = field.Member("residual").Number();
  fit.r2 = field.Member("r2").Number();
  fit.residuals = ReadResiduals(field.Member("residuals"));
  fit.at_full = ReadEstimate(field.Member("at_full"));
  return fit;
}

ScaleMachine ReadMachine(const Field& field) {
  ScaleMachine machine;
  machine.cores = field.Member("cores").SmallCount();
  machine.memory_mb = field.Member("memory_mb").Number();
  return machine;
}

StormResult ReadStorm(const Field& field) {
  StormResult storm;
  storm.storm = field.Member("storm").Text();
  storm.experiment = field.Member("experiment").Text();
  storm.seed = field.Member("seed").Count();
  storm.runs = field.Member("plays").SmallCount();
  storm.fixed = field.Member("fixed").Map(ReadNumber);
  storm.peak_bytes_per_s = field.Member("peak_bytes_per_s").Number();
  storm.peak_cpu_percent = field.Member("peak_cpu_percent").Number();
  storm.peak_queue = field.Member("peak_queue").Number();
  storm.convergence_ms = field.Member("all_current_ms").Number();
  return storm;
}

json PointToJson(const ScalePoint& point) { return {{"value", point.value}, {"roles", point.roles}}; }

json RefusedToJson(const RefusedPoint& refused) {
  return {{"value", refused.value}, {"why", refused.reason}};
}

json EstimateToJson(const FitEstimate& estimate) {
  return {{"x", estimate.x},
          {"value", estimate.value},
          {"low", estimate.low},
          {"high", estimate.high},
          {"extrapolated", estimate.extrapolated}};
}

json FitToJson(const ScaleFit& fit) {
  json residuals = json::object();
  for (const auto& [model, residual] : fit.residuals)
    residuals[std::string(GrowthModelName(model))] = residual;
  return {{"role", fit.role},     {"figure", fit.figure},   {"form", GrowthModelName(fit.model)},
          {"offset", fit.offset}, {"slope", fit.slope},     {"residual", fit.residual},
          {"r2", fit.r2},         {"residuals", residuals}, {"at_full", EstimateToJson(fit.at_full)}};
}

json StormToJson(const StormResult& storm) {
  return {{"storm", storm.storm},
          {"experiment", storm.experiment},
          {"seed", storm.seed},
          {"plays", storm.runs},
          {"fixed", storm.fixed},
          {"peak_bytes_per_s", storm.peak_bytes_per_s},
          {"peak_cpu_percent", storm.peak_cpu_percent},
          {"peak_queue", storm.peak_queue},
          {"all_current_ms", storm.convergence_ms}};
}

template <typename Item>
json ListToJson(const std::vector<Item>& items, json (*to_json)(const Item&)) {
  json list = json::array();
  for (const Item& item : items) list.push_back(to_json(item));
  return list;
}

}  // namespace

std::string_view GrowthModelName(GrowthModel model) {
  for (const auto& [known, name] : kGrowthModelNames) {
    if (known == model) return name;
  }
  return "";
}

std::optional<GrowthModel> GrowthModelFromName(std::string_view name) {
  for (const auto& [model, known] : kGrowthModelNames) {
    if (known == name) return model;
  }
  return std::nullopt;
}

json ToJson(const ScaleResult& result) {
  return {{"experiment", result.experiment},
          {"name", result.name},
          {"about", result.about},
          {"axis", result.axis},
          {"unit", result.unit},
          {"full", result.full},
          {"largest", result.largest},
          {"limited_by", result.limited_by},
          {"seed", result.seed},
          {"plays", result.runs},
          {"revision", result.revision},
          {"machine", {{"cores", result.machine.cores}, {"memory_mb", result.machine.memory_mb}}},
          {"fixed", result.fixed},
          {"points", ListToJson(result.points, PointToJson)},
          {"refused", ListToJson(result.refused, RefusedToJson)},
          {"fits", ListToJson(result.fits, FitToJson)}};
}

ScaleResult FromJson(const json& json) {
  const Field file(json, "");
  ScaleResult result;
  result.experiment = file.Member("experiment").Text();
  result.name = file.Member("name").Text();
  result.about = file.Member("about").Text();
  result.axis = file.Member("axis").Text();
  result.unit = file.Member("unit").Text();
  result.full = file.Member("full").Number();
  result.largest = file.Member("largest").Number();
  result.limited_by = file.Member("limited_by").Text();
  result.seed = file.Member("seed").Count();
  result.runs = file.Member("plays").SmallCount();
  result.revision = file.Member("revision").Text();
  result.machine = ReadMachine(file.Member("machine"));
  result.fixed = file.Member("fixed").Map(ReadNumber);
  result.points = file.Member("points").List(ReadPoint);
  result.refused = file.Member("refused").List(ReadRefused);
  result.fits = file.Member("fits").List(ReadFit);
  return result;
}

json StormsToJson(const std::vector<StormResult>& storms) {
  return {{"storms", ListToJson(storms, StormToJson)}};
}

std::vector<StormResult> StormsFromJson(const json& json) {
  return Field(json, "").Member("storms").List(ReadStorm);
}

}  // namespace gateway::lab
