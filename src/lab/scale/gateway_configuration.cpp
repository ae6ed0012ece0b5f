#include "lab/scale/gateway_configuration.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "lab/addresses.hpp"

namespace gateway::lab {
namespace {

using nlohmann::json;

constexpr int kMemoryLimitMb = 2048;
constexpr int kSocketLimit = 4096;
constexpr double kConnectionIdleMs = 15000;
constexpr double kTenantQuotaPerSecond = 1000;  // above the request rate of any tenant in a run

json Classes(int count) {
  json classes = json::array();
  for (int i = 0; i < count; ++i) {
    classes.push_back({{"name", fmt::format("class-{}", i)},
                       {"sloMs", 500},
                       {"deadlineMs", 1000},
                       {"importance", 1},
                       {"lateWorth", 0.3},
                       {"idempotency", "pure"},
                       {"group", "all"},
                       {"repeatWindowMs", 0}});
  }
  return classes;
}

json Tenants(int count) {
  json tenants = json::array();
  for (int i = 0; i < count; ++i) {
    tenants.push_back({{"name", fmt::format("tenant-{}", i)}, {"quotaPerS", kTenantQuotaPerSecond}});
  }
  return tenants;
}

}  // namespace

json GatewayConfiguration(const FleetSize& size, const GatewayConfigInput& input) {
  const int gateways =
      size.gateways_in_settings > 0 ? size.gateways_in_settings : size.gateways_real + size.gateways_hollow;
  const std::string zone(1, static_cast<char>('a' + input.index % size.zones));
  const std::string list_service = Addresses::Text(input.list_service);
  json config{{"name", fmt::format("n{}", input.index)},
              {"listen", Addresses::Text(input.listen)},
              {"discovery", list_service},
              {"discovery_endpoints", {list_service}},
              {"seed", fmt::format("{:x}", input.seed)},
              {"limits", {{"cores", 1.0}, {"memory_mb", kMemoryLimitMb}, {"sockets", kSocketLimit}}},
              {"settings",
               {{"zone", zone},
                {"peersTotal", std::max(1, gateways)},
                {"selfIndex", input.index},
                {"membershipMode", "ask"},
                {"categories", Classes(size.classes)},
                {"projects", Tenants(size.tenants)},
                {"limits",
                 {{"maxAttempts", 3},
                  {"cancelling", true},
                  {"retryAfter", true},
                  {"maxRetryAfterMs", 2000},
                  {"dialTimeoutMs", 250},
                  {"connIdleMs", kConnectionIdleMs}}},
                {"rules", {{"askWithinMs", 10000}, {"coldFrom", 1}, {"coldMs", 0}, {"fallMultiple", 3}}}}}};
  if (input.management) config["mgmt"] = Addresses::Text(*input.management);
  if (!input.initial_list.is_null()) config["known"] = input.initial_list;
  return config;
}

}  // namespace gateway::lab
