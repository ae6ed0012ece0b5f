// The JSON form of what a policy has learned, in a transferred state and in a saved state. The words of the
// form stand for these fields of policy::LearnedState:
//
//   word          field            word       field
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

// Words that earlier versions did not write (at, gateways, kinds, last_outcome_at) may be absent: their
// fields keep their defaults. Throws std::exception where anything else is missing or of another type, or
// where a number is negative, infinite or implausibly large; points in time are not checked.
policy::LearnedState LearnedStateFromJson(const nlohmann::json& form);

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_RESTART_LEARNED_STATE_JSON_HPP_
