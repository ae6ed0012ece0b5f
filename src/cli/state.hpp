// What `gatewayctl state` does: looks at a store's folder. Never writes there.
#ifndef GATEWAY_CLI_STATE_HPP_
#define GATEWAY_CLI_STATE_HPP_

#include <string>

namespace gateway::cli {

// What is there, file by file. Exit code: 0.
int InspectState(const std::string& folder);
// One line; exit code 0 if all is whole or nothing is there, 1 if it is damaged or of a newer program.
int VerifyState(const std::string& folder);
// The believed snapshot and records as JSON, a line each. Payloads that are no JSON are given as text.
int ExportState(const std::string& folder);

}  // namespace gateway::cli

#endif  // GATEWAY_CLI_STATE_HPP_
