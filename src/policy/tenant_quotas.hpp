// Tenant quotas: one token bucket a tenant tells requests within its share from those beyond.
#ifndef GATEWAY_POLICY_TENANT_QUOTAS_HPP_
#define GATEWAY_POLICY_TENANT_QUOTAS_HPP_

#include <string>
#include <unordered_map>

#include "gateway/settings.hpp"
#include "gateway/time.hpp"

namespace gateway::policy {

class TenantQuotas {
 public:
  // Each of `gateway_count` gateways grants an equal part of every quota.
  explicit TenantQuotas(const Settings& settings);

  // Whether a request of the tenant is within its share; if so, takes a token. Without tenants in the
  // settings every request is; an unknown tenant has no share.
  bool TakeToken(const std::string& tenant, Millis now);

 private:
  struct Bucket {
    double tokens_per_ms = 0;  // 0 = unlimited
    double tokens = 0;
    Millis refilled_at = 0;
  };
  std::unordered_map<std::string, Bucket> buckets_;  // looked up, never iterated
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_TENANT_QUOTAS_HPP_
