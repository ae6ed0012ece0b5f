// The log lines at the start of a gateway: the settings in force, and the state restored from disk.
#ifndef GATEWAY_PROXY_ADMIN_START_LOG_HPP_
#define GATEWAY_PROXY_ADMIN_START_LOG_HPP_

#include <cstddef>
#include <cstdint>

#include "gateway/policy.hpp"
#include "proxy/clock.hpp"

namespace gateway::proxy {

void LogSettings(const policy::Settings& settings);
void LogRestoredList(std::int64_t revision, std::size_t endpoints, Millis age);
void LogRestoredLearnedState(std::size_t endpoints, Millis age);

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_ADMIN_START_LOG_HPP_
