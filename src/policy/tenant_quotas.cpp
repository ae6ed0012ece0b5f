#include "policy/tenant_quotas.hpp"

#include <algorithm>

namespace gateway::policy {
namespace {

// The capacity of a bucket is the number of tokens added in `kBurstPeriodMs`, but at least
// `kMinimumBurstTokens`. The minimum is needed since a gateway's share of a quota may be less than 1 token
// per second.
constexpr double kMinimumBurstTokens = 3;
constexpr Millis kBurstPeriodMs = 1000;

}  // namespace

TenantQuotas::TenantQuotas(const Settings& settings) {
  for (const TenantSettings& tenant : settings.tenants) {
    buckets_[tenant.name].tokens_per_ms = tenant.quota_per_second / settings.gateway_count / 1000;
  }
}

bool TenantQuotas::TakeToken(const std::string& tenant, Millis now) {
  if (buckets_.empty()) return true;
  const auto found = buckets_.find(tenant);
  if (found == buckets_.end()) return false;
  Bucket& bucket = found->second;
  if (bucket.tokens_per_ms <= 0) return true;
  const double capacity = std::max(kMinimumBurstTokens, bucket.tokens_per_ms * kBurstPeriodMs);
  bucket.tokens = std::min(bucket.tokens + (now - bucket.refilled_at) * bucket.tokens_per_ms, capacity);
  bucket.refilled_at = now;
  if (bucket.tokens < 1) return false;
  bucket.tokens -= 1;
  return true;
}

}  // namespace gateway::policy
