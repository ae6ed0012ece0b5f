// The Retry-After of refusals that the proxy decides, in contrast to those of the policy.
#ifndef GATEWAY_PROXY_RETRY_AFTER_HPP_
#define GATEWAY_PROXY_RETRY_AFTER_HPP_

#include <algorithm>

#include "gateway/policy.hpp"
#include "proxy/clock.hpp"

namespace gateway::proxy {

// Returns the time in ms after which a client may repeat a request that no endpoint can have executed: a
// fixed time, unless the maximum in the settings is lower. Applies only if the settings allow Retry-After.
inline Millis RefusalRetryAfterMs(const policy::Settings& settings) {
  constexpr Millis kRetryAfterMs = 500;
  return std::min(kRetryAfterMs, settings.maximum_retry_after);
}

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_RETRY_AFTER_HPP_
