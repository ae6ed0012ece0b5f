// Parses the policy's settings, which come from the simulator or from the gateway's configuration file. Both
// use the same keys and units.
#ifndef GATEWAY_SIMULATOR_SETTINGS_CODEC_HPP_
#define GATEWAY_SIMULATOR_SETTINGS_CODEC_HPP_

#include <string_view>
#include <vector>

#include "gateway/settings.hpp"

namespace gateway::simulator {

// Parses KEY=VALUE pairs, such as "limits.maxAttempts=3" or "categories.0.sloMs=500". Ignores unknown keys. A
// setting with an empty or absent ("-") value keeps its default. Throws WireError for a pair without '=' or a
// value of the wrong type, and policy::SettingsError for an unknown enum value. Doesn't validate the
// settings; the constructor of policy::Policy does.
policy::Settings ParseSettings(const std::vector<std::string_view>& pairs);

}  // namespace gateway::simulator

#endif  // GATEWAY_SIMULATOR_SETTINGS_CODEC_HPP_
