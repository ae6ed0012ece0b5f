// Writes the log lines at the start of a gateway: its settings, and the state that it restored from disk.
#ifndef GATEWAY_PROXY_ADMIN_START_LOG_HPP_
#define GATEWAY_PROXY_ADMIN_START_LOG_HPP_

#include <cstddef>
#include <cstdint>

#include "gateway/policy.hpp"
#include "proxy/clock.hpp"

namespace gateway::proxy {

void LogSettings(const policy::Settings& settings);
// `age` is the time since the list was last known to be current.
void LogRestoredList(std::int64_t revision, std::size_t endpoints, Millis age);
// `age` is the time since the learned state was exported.
void LogRestoredLearnedState(std::size_t endpoints, Millis age);

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_ADMIN_START_LOG_HPP_
