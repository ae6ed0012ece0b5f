// Converts a policy's learned state to and from JSON. The transferred state and the saved state contain this
// JSON. Its keys correspond to these fields of policy::LearnedState:
//
//   key           field            key        field
//   rate          rate             at         exported_at, Unix time in ms
//   spent         sent_rate        gateways   gateway_count
//   failing       failure_rate     classes    classes, each [name, latency, samples, longest_time_left]
//   mean_latency  mean_latency     kinds      machine_types, each [name, served, endpoint_time]
//   samples       samples          servers    endpoints, each [id, latency, long_term_latency, base_latency,
//                                             failure_rate, concurrency_limit, samples, ejected,
//                                             restart_suspected, started_at, last_outcome_at]
#ifndef GATEWAY_PROXY_RESTART_LEARNED_STATE_JSON_HPP_
#define GATEWAY_PROXY_RESTART_LEARNED_STATE_JSON_HPP_

#include <nlohmann/json_fwd.hpp>

#include "gateway/policy.hpp"

namespace gateway::proxy {

nlohmann::json LearnedStateToJson(const policy::LearnedState& learned);

// The values "at", "gateways", "kinds" and last_outcome_at may be absent, because earlier versions did not
// write them; the fields then keep their defaults. Throws std::exception if any other value is missing, if a
// value has the wrong type, or if a number is negative, infinite or above 1e12. Does not check the range of
// points in time.
policy::LearnedState LearnedStateFromJson(const nlohmann::json& learned_json);

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_RESTART_LEARNED_STATE_JSON_HPP_
