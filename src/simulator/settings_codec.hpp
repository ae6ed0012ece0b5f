// Reads the policy's settings from the platform's keys. The simulator's wire and the gateway's configuration
// file use the same keys and units; both are read here.
#ifndef GATEWAY_SIMULATOR_SETTINGS_CODEC_HPP_
#define GATEWAY_SIMULATOR_SETTINGS_CODEC_HPP_

#include <string_view>
#include <vector>

#include "gateway/settings.hpp"

namespace gateway::simulator {

// Returns the settings of KEY=VALUE pairs, such as "limits.maxAttempts=3" or "categories.0.sloMs=500".
// Unknown keys are skipped, empty and absent ("-") values leave the default. Throws WireError for a pair
// without '=' and for a value of the wrong type, policy::SettingsError for an unknown word. Does not check
// whether the settings can work: the constructor of policy::Policy does.
policy::Settings ParseSettings(const std::vector<std::string_view>& pairs);

}  // namespace gateway::simulator

#endif  // GATEWAY_SIMULATOR_SETTINGS_CODEC_HPP_
