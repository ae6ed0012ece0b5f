// What a policy has learned as JSON: in a handover and on the disk.
#ifndef GATEWAY_PROXY_RESTART_LEARNED_STATE_JSON_HPP_
#define GATEWAY_PROXY_RESTART_LEARNED_STATE_JSON_HPP_

#include <nlohmann/json_fwd.hpp>

#include "gateway/policy.hpp"

namespace gateway::proxy {

nlohmann::json ToJson(const policy::LearnedState& learned);
// What an older version did not write yet stays as by default. Throws std::exception where the form is
// another or a figure can't be one.
policy::LearnedState LearnedFromJson(const nlohmann::json& form);

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_RESTART_LEARNED_STATE_JSON_HPP_
