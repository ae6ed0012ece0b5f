// Tenant quotas: a token bucket for each tenant separates requests within its quota from requests beyond it.
#ifndef GATEWAY_POLICY_TENANT_QUOTAS_HPP_
#define GATEWAY_POLICY_TENANT_QUOTAS_HPP_

#include <string>
#include <unordered_map>

#include "gateway/settings.hpp"
#include "gateway/time.hpp"

namespace gateway::policy {

// The token buckets of all tenants.
class TenantQuotas {
 public:
  // Each of the `gateway_count` gateways grants an equal share of each quota.
  explicit TenantQuotas(const Settings& settings);

  // Returns whether a request of the tenant is within the tenant's quota, and consumes a token if so. If the
  // settings contain no tenants, all requests are within quota. Otherwise, all requests of unknown tenants
  // are beyond quota.
  bool TakeToken(const std::string& tenant, Millis now);

 private:
  struct Bucket {
    double tokens_per_ms = 0;  // 0 = unlimited
    double tokens = 0;
    Millis refilled_at = 0;
  };
  std::unordered_map<std::string, Bucket> buckets_;  // never iterated, since the order is unspecified
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_TENANT_QUOTAS_HPP_
