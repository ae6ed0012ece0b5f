#include "simulator/settings_codec.hpp"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <string>
#include <type_traits>

#include "simulator/line_codec.hpp"

namespace gateway::simulator {
namespace {

using Path = std::vector<std::string_view>;  // the parts of a key, separated by dots

constexpr std::size_t kMaxListItems = 10000;  // limits the memory that a large index can allocate

// A function that sets one field of T from the value of `key`.
template <typename T>
struct FieldParser {
  std::string_view key;
  void (*parse)(T& target, std::string_view key, std::string_view value);
};

template <typename T, auto Member>
void ParseField(T& target, std::string_view key, std::string_view value) {
  auto& field = target.*Member;
  using Field = std::remove_reference_t<decltype(field)>;
  if constexpr (std::is_same_v<Field, bool>) {
    field = ParseFlag(value, key);
  } else if constexpr (std::is_arithmetic_v<Field>) {
    field = static_cast<Field>(ParseNumber<double>(value, key));  // the simulator may send an integer as 3.0
  } else {
    field = value;
  }
}

// Sets the field that `key` names. Does nothing if no parser has this key.
template <typename T, std::size_t N>
void ParseKnownField(const FieldParser<T> (&parsers)[N], T& target, std::string_view key,
                     std::string_view value) {
  const auto parser = std::find_if(std::begin(parsers), std::end(parsers),
                                   [&](const auto& candidate) { return candidate.key == key; });
  if (parser != std::end(parsers)) parser->parse(target, key, value);
}

void ParseIdempotency(policy::TrafficClassSettings& traffic_class, std::string_view, std::string_view value) {
  if (value == "pure") {
    traffic_class.idempotency = policy::Idempotency::kIdempotent;
  } else if (value == "token") {
    traffic_class.idempotency = policy::Idempotency::kIdempotencyKey;
  } else if (value == "side_effect") {
    traffic_class.idempotency = policy::Idempotency::kNotIdempotent;
  } else {
    throw policy::SettingsError("classes.idempotency", "unknown value '" + std::string(value) + "'");
  }
}

void ParseDeduplicationScope(policy::TrafficClassSettings& traffic_class, std::string_view,
                             std::string_view value) {
  if (value == "all") {
    traffic_class.deduplication_scope = policy::DeduplicationScope::kAll;
  } else if (value == "zone") {
    traffic_class.deduplication_scope = policy::DeduplicationScope::kZone;
  } else if (value == "cell") {
    traffic_class.deduplication_scope = policy::DeduplicationScope::kCell;
  } else {
    throw policy::SettingsError("classes.deduplication_scope", "unknown value '" + std::string(value) + "'");
  }
}

void ParsePollEndpointList(policy::Settings& settings, std::string_view, std::string_view value) {
  settings.poll_endpoint_list = value == "ask";
}

void ParseLoadReportFields(policy::Settings& settings, std::string_view, std::string_view value) {
  std::vector<std::string_view> names;
  Split(value, ',', names);
  for (const std::string_view name : names) {
    if (!name.empty() && name != "-") settings.load_report_fields.emplace_back(name);
  }
}

using Class = policy::TrafficClassSettings;
constexpr FieldParser<Class> kClassFields[] = {
    {"name", ParseField<Class, &Class::name>},
    {"sloMs", ParseField<Class, &Class::latency_objective>},
    {"deadlineMs", ParseField<Class, &Class::deadline>},
    {"importance", ParseField<Class, &Class::priority_weight>},
    {"lateWorth", ParseField<Class, &Class::late_weight>},
    {"idempotency", ParseIdempotency},
    {"group", ParseDeduplicationScope},
    {"repeatWindowMs", ParseField<Class, &Class::deduplication_window>},
};

using Tenant = policy::TenantSettings;
constexpr FieldParser<Tenant> kTenantFields[] = {
    {"name", ParseField<Tenant, &Tenant::name>},
    {"quotaPerS", ParseField<Tenant, &Tenant::quota_per_second>},
};

using policy::Settings;
constexpr FieldParser<Settings> kSettingsFields[] = {
    {"zone", ParseField<Settings, &Settings::zone>},
    {"peersTotal", ParseField<Settings, &Settings::gateway_count>},
    {"selfIndex", ParseField<Settings, &Settings::gateway_index>},
    {"membershipMode", ParsePollEndpointList},
    {"limits.maxAttempts", ParseField<Settings, &Settings::max_attempts>},
    {"limits.multiplex", ParseField<Settings, &Settings::streams_per_connection>},
    {"limits.cancelling", ParseField<Settings, &Settings::can_cancel_attempts>},
    {"limits.retryAfter", ParseField<Settings, &Settings::send_retry_after>},
    {"limits.maxRetryAfterMs", ParseField<Settings, &Settings::maximum_retry_after>},
    {"rules.askWithinMs", ParseField<Settings, &Settings::maximum_poll_interval>},
    {"rules.coldFrom", ParseField<Settings, &Settings::warm_up_initial_fraction>},
    {"rules.coldMs", ParseField<Settings, &Settings::warm_up_duration>},
    {"rules.fallMultiple", ParseField<Settings, &Settings::overload_factor>},
    {"familyInfo.warmKeys", ParseField<Settings, &Settings::endpoints_cache_keys>},
    {"report.fields", ParseLoadReportFields},
};

// Returns the item with the given index, such as 2 in "categories.2.sloMs". Adds items to the list if the
// list has no item with this index yet.
template <typename T>
T& ItemAt(std::vector<T>& items, std::string_view index_text) {
  const auto index = ParseNumber<std::size_t>(index_text, "list index");
  if (index >= kMaxListItems)
    throw WireError("list index too large: " + std::string(index_text) + ", must be less than " +
                    std::to_string(kMaxListItems));
  if (index >= items.size()) items.resize(index + 1);
  return items[index];
}

void ParseSetting(Settings& settings, const Path& path, std::string_view key, std::string_view value) {
  if (path.size() == 3 && path[0] == "categories") {
    ParseKnownField(kClassFields, ItemAt(settings.classes, path[1]), path[2], value);
  } else if (path.size() == 3 && path[0] == "projects") {
    ParseKnownField(kTenantFields, ItemAt(settings.tenants, path[1]), path[2], value);
  } else {
    ParseKnownField(kSettingsFields, settings, key, value);
  }
}

}  // namespace

policy::Settings ParseSettings(const std::vector<std::string_view>& pairs) {
  policy::Settings settings;
  Path path;
  for (const std::string_view pair : pairs) {
    const std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos) {
      throw WireError("setting is not KEY=VALUE: '" + std::string(pair) + "'");
    }
    const std::string_view key = pair.substr(0, equals);
    const std::string_view value = pair.substr(equals + 1);
    if (value.empty() || value == "-") continue;
    Split(key, '.', path);
    if (path.back() == "count") continue;  // not needed, because ItemAt() grows the lists
    ParseSetting(settings, path, key, value);
  }
  return settings;
}

}  // namespace gateway::simulator
