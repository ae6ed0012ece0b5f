// Translates policy actions, and what the policy host reports, into the lines that the simulator reads. Each
// function appends one line with its line feed.
#ifndef GATEWAY_SIMULATOR_ACTION_CODEC_HPP_
#define GATEWAY_SIMULATOR_ACTION_CODEC_HPP_

#include <cstdint>
#include <string>
#include <string_view>

#include "gateway/actions.hpp"

namespace gateway::simulator {

// An action of the instance that the last AppendInstance of the same reply named.
void AppendAction(std::string& reply, const policy::Action& action);

// The lines that follow are of this instance.
void AppendInstance(std::string& reply, std::int64_t instance);

// The instance threw an exception while it handled an event.
void AppendFailure(std::string& reply, std::string_view text);

// The reply to a batch is complete.
void AppendEndOfReply(std::string& reply);

}  // namespace gateway::simulator

#endif  // GATEWAY_SIMULATOR_ACTION_CODEC_HPP_
