// Outlier detection: ejects endpoints whose attempts fail, and readmits them after successful probes.
//
// An endpoint is ejected when its smoothed failure rate exceeds a threshold. While ejected it is half-open:
// it is sent one request at a time as a probe, with a backoff that doubles with each failed probe. An
// endpoint that fails requests of one class only is avoided for that class. A zone several of whose endpoints
// are unresponsive is treated as if all its endpoints were ejected.
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

struct Zone {
  Millis last_response_at = kNever;
  std::set<std::string> unresponsive;  // ids of endpoints with a time-out or failed connection since then
};

// The part of an endpoint's state that outlier detection owns.
struct OutlierState {
  struct ClassErrors {
    int consecutive = 0;
    Millis avoid_until = kNever;
  };
  double failure_rate = 0;  // smoothed share of failed attempts
  bool ejected = false;
  bool restart_suspected = false;  // connections failed: it may return as a new process
  Millis next_probe_at = 0;
  Millis probe_backoff = 0;
  Millis last_served_at = kNever;
  Millis last_outcome_at = kNever;
  std::vector<ClassErrors> class_errors;  // by class
};

class OutlierDetection {
 public:
  explicit OutlierDetection(std::size_t class_count) : class_count_(class_count) {}

  // Starts anew for a new process of the endpoint.
  void Reset(OutlierState& state) const;

  struct Outcome {
    AttemptResult result = AttemptResult::kServed;  // not kRejected
    Millis latency = 0;
    std::size_t class_index = 0;
  };
  enum class Change {
    kNone,
    kEjected,
    kReadmitted,
    kRestarted,  // readmitted, as a new process
  };
  struct Assessment {
    Change change = Change::kNone;
    bool is_latency_sample =
        true;  // false: the duration of the attempt says nothing about the endpoint's queue
  };
  // Records how an attempt at the endpoint ended, and ejects or readmits it. `random` spreads the probes of
  // many gateways.
  Assessment RecordOutcome(Endpoint& endpoint, const Outcome& outcome, Millis now,
                           RandomSource& random) const;

  // Records that the endpoint rejected an attempt. That is no failure, unless the attempt was a probe.
  void RecordRejection(Endpoint& endpoint, Millis now, RandomSource& random) const;

  bool IsAvoidedForClass(const OutlierState& state, std::size_t class_index, Millis now) const;

  // Whether so many endpoints of the zone are unresponsive that it counts as lost. Not with a single zone.
  bool IsZoneUnresponsive(const Zone& zone, std::size_t zone_count) const;

  // Whether an endpoint that is ejected or in a lost zone may be sent a probe.
  bool IsProbeDue(const Endpoint& endpoint, Millis now) const;

  // Probes use clients' requests, and those of all gateways add up at an endpoint. Each request earns a part
  // of a probe where many gateways share the endpoints, and a whole one elsewhere.
  void AddProbeBudget(bool many_gateways_per_endpoint);
  bool HasProbeBudget() const { return probe_budget_ >= 1; }
  void SpendProbeBudget();

  // The time by which a probe has to be answered, so that the request can still be retried elsewhere.
  Millis ProbeDeadline(Millis now, Millis objective_ends_at) const;

  // Restores what was learned by another process; `kept` in [0, 1] is what its age leaves of it. The older an
  // ejection, the sooner it is probed; it lapses in the end.
  void Restore(OutlierState& state, const LearnedState::EndpointStatistics& learned, double kept, Millis now,
               RandomSource& random) const;

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
