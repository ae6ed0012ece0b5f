// `gatewayctl lab scale`: sweeps, storms and the comparison of hollow gateways with real ones; and the
// process of hollow gateways that they start.
#ifndef GATEWAY_CLI_SCALE_HPP_
#define GATEWAY_CLI_SCALE_HPP_

#include <CLI/CLI.hpp>
#include <functional>
#include <string>

namespace gateway::cli {

// Adds both below `lab`. `self` and `gateway` are the commands of this program and of the gateway. `chosen`
// is set to what the command line asks for; its result is the exit code.
void AddScale(CLI::App& lab, const std::string& self, const std::string& gateway,
              std::function<int()>& chosen);

}  // namespace gateway::cli

#endif  // GATEWAY_CLI_SCALE_HPP_
