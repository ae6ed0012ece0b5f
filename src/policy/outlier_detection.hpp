// Outlier detection: ejects endpoints whose attempts fail, and readmits them after successful probes.
//
// An endpoint is ejected when its smoothed failure rate exceeds a threshold. An ejected endpoint is
// half-open: it receives one request at a time as a probe, with a backoff that doubles after each failed
// probe. An endpoint that fails only requests of one class is avoided for that class. If at least
// three endpoints of a zone are unresponsive, all endpoints of the zone are treated as ejected.
#ifndef GATEWAY_POLICY_OUTLIER_DETECTION_HPP_
#define GATEWAY_POLICY_OUTLIER_DETECTION_HPP_

#include <cstddef>
#include <set>
#include <string>
#include <vector>

#include "gateway/events.hpp"
#include "gateway/learned_state.hpp"
#include "gateway/time.hpp"
#include "policy/random_source.hpp"

namespace gateway::policy {

struct Endpoint;

// The state of a zone.
struct Zone {
  Millis last_response_at = kNever;
  std::set<std::string> unresponsive;  // ids of endpoints that failed since the last response from the zone
};

// The state of outlier detection for one endpoint.
struct OutlierState {
  struct ClassErrors {
    int consecutive = 0;
    Millis avoid_until = kNever;
  };
  double failure_rate = 0;  // smoothed share of failed attempts
  bool ejected = false;
  bool restart_suspected = false;  // connections failed, so the process may have restarted
  Millis next_probe_at = 0;
  Millis probe_backoff = 0;
  Millis last_served_at = kNever;
  Millis last_outcome_at = kNever;
  std::vector<ClassErrors> class_errors;  // by class index
};

// Ejects and readmits endpoints, and limits the probes that they receive.
class OutlierDetection {
 public:
  explicit OutlierDetection(std::size_t class_count) : class_count_(class_count) {}

  // Resets the state for a new process of the endpoint.
  void Reset(OutlierState& state) const;

  // The outcome of an attempt.
  struct Outcome {
    AttemptResult result = AttemptResult::kServed;  // not kRejected
    Millis latency = 0;
    std::size_t class_index = 0;
  };
  // A change of an endpoint's state.
  enum class Change {
    kNone,
    kEjected,
    kReadmitted,
    kRestarted,  // readmitted after a suspected restart; the caller must treat it as a new process
  };
  // The effects of an outcome on the endpoint and on the latency estimates.
  struct Assessment {
    Change change = Change::kNone;
    bool is_latency_sample = true;  // false: the latency does not show whether requests queue
  };
  // Records the outcome of an attempt at the endpoint, and ejects or readmits the endpoint if necessary.
  // The probe backoff has random jitter, so that the probes of many gateways are spread.
  Assessment RecordOutcome(Endpoint& endpoint, const Outcome& outcome, Millis now,
                           RandomSource& random) const;

  // Records that the endpoint rejected an attempt. The rejection counts as a failure only if the attempt was
  // a probe.
  void RecordRejection(Endpoint& endpoint, Millis now, RandomSource& random) const;

  // Returns whether the endpoint is avoided for requests of the class because of recent errors.
  bool IsAvoidedForClass(const OutlierState& state, std::size_t class_index, Millis now) const;

  // Returns whether at least three endpoints of the zone are unresponsive. Always false if there is only one
  // zone.
  bool IsZoneUnresponsive(const Zone& zone, std::size_t zone_count) const;

  // Returns whether a probe is due for an endpoint that is ejected or in an unresponsive zone.
  bool IsProbeDue(const Endpoint& endpoint, Millis now) const;

  // Increases the probe budget for an arrived request. Client requests serve as probes, and the probes of all
  // gateways add up at an endpoint. Therefore each request adds only a fraction of a probe if many gateways
  // share each endpoint. Otherwise each request adds one probe.
  void AddProbeBudget(bool many_gateways_per_endpoint);
  bool HasProbeBudget() const { return probe_budget_ >= 1; }
  void SpendProbeBudget();

  // Returns the deadline of a probe. If the probe is not answered by then, enough time is left to retry the
  // request at another endpoint.
  Millis ProbeDeadline(Millis now, Millis objective_ends_at) const;

  // Restores state that another process has learned. `remaining_weight` in [0, 1] is the weight of the state
  // after decay by its age. The older an ejection is, the sooner the endpoint is probed. If the failure rate
  // has decayed below the readmission threshold, the ejection is dropped.
  void Restore(OutlierState& state, const LearnedState::EndpointStatistics& learned, double remaining_weight,
               Millis now, RandomSource& random) const;

 private:
  void RecordZone(Endpoint& endpoint, const Outcome& outcome, Millis now) const;
  void RecordClassError(OutlierState& state, const Outcome& outcome, Millis now) const;
  bool Eject(OutlierState& state, Millis now, RandomSource& random) const;
  Change RecordProbeSuccess(OutlierState& state, Millis now) const;

  const std::size_t class_count_;
  double probe_budget_ = 1;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_OUTLIER_DETECTION_HPP_
