// Validation of the settings, and values that are derived from the settings alone.
#ifndef GATEWAY_POLICY_SETTINGS_HPP_
#define GATEWAY_POLICY_SETTINGS_HPP_

#include <cstddef>
#include <vector>

#include "gateway/settings.hpp"

namespace gateway::policy {

constexpr std::size_t kMaximumClasses = 64;  // ClassQueues::ClassMask has one bit for each class

// Throws SettingsError for the first invalid field.
void ValidateSettings(const Settings& settings);

// Returns the share of each class in the sum of the priority weights, or equal shares if the sum is 0.
std::vector<double> RelativeWeights(const std::vector<TrafficClassSettings>& classes);

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_SETTINGS_HPP_
