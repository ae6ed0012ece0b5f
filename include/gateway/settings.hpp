// Configuration of a Policy: traffic classes, tenants and properties of the deployment.
#ifndef GATEWAY_SETTINGS_HPP_
#define GATEWAY_SETTINGS_HPP_

#include <stdexcept>
#include <string>
#include <vector>

#include "gateway/time.hpp"

namespace gateway::policy {

// Whether a request may be executed more than once.
enum class Idempotency {
  kIdempotent,      // may be executed any number of times
  kIdempotencyKey,  // the endpoints of the deduplication scope drop repeats within deduplication_window
  kNotIdempotent,   // may be executed at most once: retried only if no attempt can have been executed
};

// The endpoints that share deduplication: if one of them has executed a request with an idempotency key, all
// of them drop a repeat of the request.
enum class DeduplicationScope {
  kAll,   // all endpoints
  kZone,  // the endpoints with the same EndpointInfo::zone
  kCell,  // the endpoints with the same EndpointInfo::cell
};

// A class of requests with the same latency objective, weight and idempotency.
struct TrafficClassSettings {
  std::string name;
  Millis latency_objective = 0;  // a response within this time has the value `priority_weight`
  Millis deadline = 0;           // total timeout of a client, including all of its own retries
  double priority_weight = 1;    // relative to the other classes
  double late_weight = 0;        // value of a response after latency_objective, as a share of priority_weight
  Idempotency idempotency = Idempotency::kNotIdempotent;
  DeduplicationScope deduplication_scope = DeduplicationScope::kAll;
  Millis deduplication_window = 0;  // kIdempotencyKey: repeats are dropped this long after the first attempt
};

// A tenant and its quota. Requests beyond the quota have lower priority.
struct TenantSettings {
  std::string name;
  double quota_per_second = 0;  // requests per second within quota, over all gateways; 0 = unlimited
};

// All settings of a Policy.
struct Settings {
  std::vector<TrafficClassSettings> classes;  // at least one is required
  std::vector<TenantSettings> tenants;
  std::string zone;                      // zone of this gateway
  int gateway_count = 1;                 // gateways that share the endpoints, including this gateway
  int gateway_index = -1;                // index of this gateway, from 0; -1 = unknown
  bool poll_endpoint_list = false;       // the endpoint list is polled instead of pushed
  Millis maximum_poll_interval = 10000;  // with poll_endpoint_list: longest time between polls
  int max_attempts = 3;                  // per request, including the first attempt
  int streams_per_connection = 1;        // maximum concurrent attempts on one connection
  bool can_cancel_attempts = false;      // the gateway supports Cancel
  // Capacity of an endpoint at its start, as a share of its full capacity; in (0, 1].
  double warm_up_initial_fraction = 1;
  Millis warm_up_duration = 0;        // time from an endpoint's start until it has its full capacity
  double overload_factor = 3;         // a warming endpoint fails at this multiple of its current capacity
  bool endpoints_cache_keys = false;  // an endpoint responds faster if it recently served the same key
  bool send_retry_after = false;      // the policy sets Reject::retry_after
  Millis maximum_retry_after = 0;     // longest Reject::retry_after that clients respect
  std::vector<std::string> load_report_fields;  // names of the values in AttemptOutcome::load, in this order
};

// Reports a setting with an invalid value. what() is "FIELD: REASON".
class SettingsError : public std::invalid_argument {
 public:
  SettingsError(std::string field, const std::string& reason)
      : std::invalid_argument(field + ": " + reason), field_(std::move(field)) {}

  // Returns the name of the invalid member of Settings. For a member of a list element, the name contains a
  // dot: "classes.deadline".
  const std::string& field() const { return field_; }

 private:
  std::string field_;
};

}  // namespace gateway::policy

#endif  // GATEWAY_SETTINGS_HPP_
