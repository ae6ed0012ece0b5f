#include "policy/settings.hpp"

#include <cmath>

namespace gateway::policy {
namespace {

void Require(bool condition, const char* field, const char* reason) {
  if (!condition) throw SettingsError(field, reason);
}

void RequireNotNegative(double value, const char* field) {
  Require(std::isfinite(value) && value >= 0, field, "must not be negative");
}

void RequirePositive(double value, const char* field) {
  Require(std::isfinite(value) && value > 0, field, "must be positive");
}

void ValidateClass(const TrafficClassSettings& traffic_class) {
  RequirePositive(traffic_class.deadline, "classes.deadline");
  RequirePositive(traffic_class.latency_objective, "classes.latency_objective");
  RequireNotNegative(traffic_class.priority_weight, "classes.priority_weight");
  RequireNotNegative(traffic_class.late_weight, "classes.late_weight");
  RequireNotNegative(traffic_class.deduplication_window, "classes.deduplication_window");
}

void ValidateWarmUp(const Settings& settings) {
  const double fraction = settings.warm_up_initial_fraction;
  const bool is_fraction = std::isfinite(fraction) && fraction > 0 && fraction <= 1;
  Require(is_fraction, "warm_up_initial_fraction", "must be in (0, 1]");
  RequireNotNegative(settings.warm_up_duration, "warm_up_duration");
  RequirePositive(settings.overload_factor, "overload_factor");
}

}  // namespace

void ValidateSettings(const Settings& settings) {
  Require(!settings.classes.empty(), "classes", "must contain at least one class");
  Require(settings.classes.size() <= kMaximumClasses, "classes", "must contain at most 64 classes");
  Require(settings.gateway_count >= 1, "gateway_count", "must be at least 1");
  Require(settings.max_attempts >= 1, "max_attempts", "must be at least 1");
  ValidateWarmUp(settings);
  Require(settings.streams_per_connection >= 1, "streams_per_connection", "must be at least 1");
  RequirePositive(settings.maximum_poll_interval, "maximum_poll_interval");
  RequireNotNegative(settings.maximum_retry_after, "maximum_retry_after");
  for (const TrafficClassSettings& traffic_class : settings.classes) ValidateClass(traffic_class);
  for (const TenantSettings& tenant : settings.tenants) {
    RequireNotNegative(tenant.quota_per_second, "tenants.quota_per_second");
  }
}

std::vector<double> RelativeWeights(const std::vector<TrafficClassSettings>& classes) {
  double sum = 0;
  for (const TrafficClassSettings& traffic_class : classes) sum += traffic_class.priority_weight;
  const double equal_share = 1.0 / static_cast<double>(classes.size());
  std::vector<double> weights;
  weights.reserve(classes.size());
  for (const TrafficClassSettings& traffic_class : classes) {
    weights.push_back(sum > 0 ? traffic_class.priority_weight / sum : equal_share);
  }
  return weights;
}

}  // namespace gateway::policy
