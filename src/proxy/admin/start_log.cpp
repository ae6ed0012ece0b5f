#include "proxy/admin/start_log.hpp"

#include "base/log.hpp"
#include "proxy/format.hpp"

namespace gateway::proxy {
namespace {

void LogClass(const policy::TrafficClassSettings& settings) {
  base::Log(
      base::Level::kInfo, "start", "class",
      Format("class %s: latency objective %.0f ms, deadline %.0f ms, priority weight %.1f, late weight %.2f",
             settings.name.c_str(), settings.latency_objective, settings.deadline, settings.priority_weight,
             settings.late_weight),
      {{"class", settings.name},
       {"aim_ms", settings.latency_objective},
       {"deadline_ms", settings.deadline},
       {"worth", settings.priority_weight}});
}

}  // namespace

void LogSettings(const policy::Settings& settings) {
  for (const policy::TrafficClassSettings& traffic_class : settings.classes) LogClass(traffic_class);
  base::Log(
      base::Level::kInfo, "start", "fleet",
      Format("fleet: gateway %d of %d in zone %s; warm-up from %.2f over %.0f ms, overload factor "
             "%.1f; poll interval at most %.0f ms",
             settings.gateway_index, settings.gateway_count, settings.zone.c_str(),
             settings.warm_up_initial_fraction, settings.warm_up_duration, settings.overload_factor,
             settings.maximum_poll_interval),
      {{"gateway", settings.gateway_index}, {"gateways", settings.gateway_count}, {"zone", settings.zone}});
}

void LogRestoredList(std::int64_t revision, std::size_t endpoints, Millis age) {
  base::Log(base::Level::kInfo, "state", "list_restored",
            Format("saved state: list of revision %lld with %zu endpoints, saved %.0f s ago, is in force "
                   "until discovery responds",
                   static_cast<long long>(revision), endpoints, age / 1000),
            {{"revision", revision}, {"hosts", endpoints}, {"age_ms", age}});
}

void LogRestoredLearnedState(std::size_t endpoints, Millis age) {
  base::Log(
      base::Level::kInfo, "state", "learned_restored",
      Format("saved state: restored the learned state of %zu endpoints, %.1f s old and weighted by its age",
             endpoints, age / 1000),
      {{"hosts", endpoints}, {"age_ms", age}});
}

}  // namespace gateway::proxy
