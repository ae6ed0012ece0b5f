// What a policy has learned as JSON: in a handover and on the disk.
#ifndef OPALSWITCH_GATEWAY_LEARNED_FORM_HPP_
#define OPALSWITCH_GATEWAY_LEARNED_FORM_HPP_

#include <nlohmann/json_fwd.hpp>

#include "opalswitch/policy.hpp"

namespace opalswitch::gateway {

nlohmann::json ToJson(const Learned& learned);
// What an older version did not write yet stays as by default. Throws std::exception where the form is
// another or a figure can't be one.
Learned LearnedFromJson(const nlohmann::json& form);

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_GATEWAY_LEARNED_FORM_HPP_
