// Parses the policy's settings from KEY=VALUE pairs. The simulator and the gateway's configuration file use
// the same keys and units, so both use this parser.
#ifndef GATEWAY_SIMULATOR_SETTINGS_CODEC_HPP_
#define GATEWAY_SIMULATOR_SETTINGS_CODEC_HPP_

#include <string_view>
#include <vector>

#include "gateway/settings.hpp"

namespace gateway::simulator {

// Parses KEY=VALUE pairs, such as "limits.maxAttempts=3" or "categories.0.sloMs=500". Ignores unknown keys. A
// setting whose value is empty or "-" keeps its default. Throws WireError for a pair without '=' or a
// value of the wrong type, and policy::SettingsError for an unknown enum value. The settings are not
// validated here but in the constructor of policy::Policy.
policy::Settings ParseSettings(const std::vector<std::string_view>& pairs);

}  // namespace gateway::simulator

#endif  // GATEWAY_SIMULATOR_SETTINGS_CODEC_HPP_
