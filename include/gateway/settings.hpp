// Configuration of a Policy: traffic classes, tenants, and what is known of the deployment.
#ifndef GATEWAY_SETTINGS_HPP_
#define GATEWAY_SETTINGS_HPP_

#include <stdexcept>
#include <string>
#include <vector>

#include "gateway/time.hpp"

namespace gateway::policy {

// Whether a request may be executed more than once.
enum class Idempotency {
  kIdempotent,      // freely
  kIdempotencyKey,  // endpoints of one deduplication scope drop repeats during the deduplication window
  kNotIdempotent,   // never: a retry needs proof that no earlier attempt was executed
};

// Which endpoints drop each other's repeats of a request with an idempotency key.
enum class DeduplicationScope { kAll, kZone, kCell };

// A class of requests that share latency objective, weight and idempotency.
struct TrafficClassSettings {
  std::string name;
  Millis latency_objective = 0;  // a response within this time earns the full weight
  Millis deadline = 0;           // total time that a client waits, over all of its own retries
  double priority_weight = 1;    // value of a response in time, relative to the other classes
  double late_weight = 0;        // share of the weight earned between latency objective and deadline
  Idempotency idempotency = Idempotency::kNotIdempotent;
  DeduplicationScope deduplication_scope = DeduplicationScope::kAll;
  Millis deduplication_window = 0;  // kIdempotencyKey: counted from the first attempt's sending
};

struct TenantSettings {
  std::string name;
  double quota_per_second = 0;  // requests within the tenant's share, over all gateways; 0 = unlimited
};

struct Settings {
  std::vector<TrafficClassSettings> classes;  // at least one
  std::vector<TenantSettings> tenants;
  std::string zone;                      // of this gateway
  int gateway_count = 1;                 // gateways that share the endpoints, this one included
  int gateway_index = -1;                // of this gateway, from 0; -1 = unknown
  bool poll_endpoint_list = false;       // the list is not pushed: it has to be asked for
  Millis maximum_poll_interval = 10000;  // with poll_endpoint_list: longest time without a poll
  int max_attempts = 3;                  // for each request, the first one included
  int streams_per_connection = 1;        // concurrent attempts that one connection carries
  bool can_cancel_attempts = false;      // the gateway is able to carry out Cancel
  double warm_up_initial_fraction = 1;   // of its capacity that a started endpoint has at once, in (0, 1]
  Millis warm_up_duration = 0;           // after which a started endpoint has its full capacity
  double overload_factor = 3;            // multiple of its capacity that fells a warming endpoint
  bool endpoints_cache_keys = false;     // an endpoint does less work for a key that it saw lately
  bool send_retry_after = false;         // clients are sent Reject::retry_after
  Millis maximum_retry_after = 0;        // longest retry_after that clients obey
  std::vector<std::string> load_report_fields;  // names of the values in AttemptOutcome::load
};

// A setting whose value cannot work. what() is "FIELD: REASON".
class SettingsError : public std::invalid_argument {
 public:
  SettingsError(std::string field, const std::string& reason)
      : std::invalid_argument(field + ": " + reason), field_(std::move(field)) {}

  // The member of Settings, with a dot before a member of its elements: "classes.deadline".
  const std::string& field() const { return field_; }

 private:
  std::string field_;
};

}  // namespace gateway::policy

#endif  // GATEWAY_SETTINGS_HPP_
