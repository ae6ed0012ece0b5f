// Encodes policy actions and messages of the policy host as lines for the simulator. Each function appends
// one line, which ends with a line feed.
#ifndef GATEWAY_SIMULATOR_ACTION_CODEC_HPP_
#define GATEWAY_SIMULATOR_ACTION_CODEC_HPP_

#include <cstdint>
#include <string>
#include <string_view>

#include "gateway/actions.hpp"

namespace gateway::simulator {

// Appends an action of the selected instance, which is the instance of the last AppendInstance() in this
// reply.
void AppendAction(std::string& reply, const policy::Action& action);

// Selects the instance that the following lines belong to.
void AppendInstance(std::string& reply, std::int64_t instance);

// Reports that the selected instance threw an exception while it handled an event. `text` is the exception's
// text.
void AppendFailure(std::string& reply, std::string_view text);

// Marks the reply to a batch as complete.
void AppendEndOfReply(std::string& reply);

}  // namespace gateway::simulator

#endif  // GATEWAY_SIMULATOR_ACTION_CODEC_HPP_
