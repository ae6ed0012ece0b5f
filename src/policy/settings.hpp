// Validation of the settings, and what follows from them alone.
#ifndef GATEWAY_POLICY_SETTINGS_HPP_
#define GATEWAY_POLICY_SETTINGS_HPP_

#include <cstddef>
#include <vector>

#include "gateway/settings.hpp"

namespace gateway::policy {

constexpr std::size_t kMaximumClasses = 64;  // Most Credit First keeps a set of classes in a 64-bit mask

// Throws SettingsError for the first field that cannot work.
void ValidateSettings(const Settings& settings);

// The share of each class in the sum of the priority weights; equal shares if the sum is 0.
std::vector<double> RelativeWeights(const std::vector<TrafficClassSettings>& classes);

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_SETTINGS_HPP_
