// The check of a Policy's settings: what can't work is said at once, by the field's name.
#include <cmath>
#include <stdexcept>

#include "policy/state.hpp"

namespace gateway::policy {
namespace {

void Check(bool good, const char* what) {
  if (!good) throw std::invalid_argument(what);
}

bool NotNegative(double value) { return std::isfinite(value) && value >= 0; }
bool Positive(double value) { return std::isfinite(value) && value > 0; }

}  // namespace

double Validate(const Settings& s) {
  Check(!s.classes.empty(), "classes: there is none");
  Check(s.classes.size() <= 64, "classes: more than 64");
  Check(s.gateway_count >= 1, "gateway_count: must be at least 1");
  Check(s.max_attempts >= 1, "max_attempts: must be at least 1");
  Check(Positive(s.warm_up_initial_fraction) && s.warm_up_initial_fraction <= 1,
        "warm_up_initial_fraction: must be in (0, 1]");
  Check(NotNegative(s.warm_up_duration), "warm_up_duration: must not be negative");
  Check(Positive(s.overload_factor), "overload_factor: must be above 0");
  Check(s.streams_per_connection >= 1, "streams_per_connection: must be at least 1");
  Check(Positive(s.maximum_poll_interval), "maximum_poll_interval: must be above 0");
  Check(NotNegative(s.maximum_retry_after), "maximum_retry_after: must not be negative");
  double worth = 0;
  for (const TrafficClassSettings& c : s.classes) {
    Check(Positive(c.deadline), "classes.deadline: must be above 0");
    Check(Positive(c.latency_objective), "classes.latency_objective: must be above 0");
    Check(NotNegative(c.priority_weight), "classes.priority_weight: must not be negative");
    Check(NotNegative(c.late_weight), "classes.late_weight: must not be negative");
    Check(NotNegative(c.deduplication_window), "classes.deduplication_window: must not be negative");
    worth += c.priority_weight;
  }
  for (const TenantSettings& t : s.tenants) {
    Check(NotNegative(t.quota_per_second), "tenants.quota_per_second: must not be negative");
  }
  return worth;
}

}  // namespace gateway::policy
