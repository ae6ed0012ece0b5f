// The upstream controller: maintains the state of the endpoints and selects the endpoint of each attempt.
//
// Passes list events, attempts and outcomes to the mechanisms: endpoint table, subsetting, slow start,
// concurrency limit, outlier detection and load balancer. Each mechanism owns a part of an endpoint's state.
#ifndef GATEWAY_POLICY_UPSTREAM_CONTROLLER_HPP_
#define GATEWAY_POLICY_UPSTREAM_CONTROLLER_HPP_

#include <cstddef>
#include <vector>

#include "gateway/events.hpp"
#include "gateway/learned_state.hpp"
#include "gateway/settings.hpp"
#include "policy/active_request.hpp"
#include "policy/concurrency_limit.hpp"
#include "policy/endpoint_table.hpp"
#include "policy/event_context.hpp"
#include "policy/load_balancer.hpp"
#include "policy/outlier_detection.hpp"
#include "policy/policy_log.hpp"
#include "policy/random_source.hpp"
#include "policy/slow_start.hpp"
#include "policy/subsetting.hpp"
#include "policy/traffic_statistics.hpp"

namespace gateway::policy {

// Coordinates the mechanisms that keep state per endpoint.
class UpstreamController {
 public:
  // Stores references to all arguments except `ring_position`. They must outlive the controller.
  UpstreamController(const Settings& settings, double ring_position, const TrafficStatistics& traffic,
                     RandomSource& random, PolicyLog& log);

  // Applies a snapshot or a delta.
  void ApplyList(const EndpointListEvent& event, Millis now);

  // Selects the endpoint of the request's next attempt. Returns null if no endpoint can accept the attempt
  // now. `admit_beyond_quota`: whether requests beyond their tenant's quota may be sent. Applies only if many
  // gateways share each endpoint; otherwise ConcurrencyLimit::HasSlot() decides.
  Endpoint* Select(const ActiveRequest& request, bool admit_beyond_quota, Millis now);

  // Records an attempt that is sent to the endpoint.
  void RecordSend(Endpoint& endpoint, bool request_complete, Millis now);
  // Records that the response of an attempt has started, or that the attempt has ended and no start was
  // reported. After the start, the body of the response may still be streaming.
  void RecordResponse(Endpoint& endpoint) { --endpoint.in_flight; }
  // Records that the endpoint can begin to work on an attempt, because its request is complete.
  void RecordComplete(Endpoint& endpoint) { ++endpoint.in_flight; }
  // Releases the reference of an attempt. Must be called once its request is finished.
  void ReleaseReference(Endpoint& endpoint) { --endpoint.references; }

  // The outcome of an attempt.
  struct Outcome {
    AttemptResult result = AttemptResult::kServed;
    Millis latency = 0;
    std::size_t class_index = 0;
  };
  // Updates the state of the endpoint after the end of an attempt.
  void RecordOutcome(EventContext& context, Endpoint& endpoint, const Outcome& outcome);
  void RecordLoadReport(Endpoint& endpoint, const std::vector<double>& load);

  // Returns whether the endpoint is ejected or in an unresponsive zone. Such an endpoint receives only
  // probes.
  bool IsUnhealthy(const Endpoint& endpoint) const;
  // Returns the deadline of a probe of an unhealthy endpoint.
  Millis ProbeDeadline(Millis now, Millis objective_ends_at) const {
    return outliers_.ProbeDeadline(now, objective_ends_at);
  }
  // Increases the probe budget for an arrived request.
  void RecordRequest() { outliers_.AddProbeBudget(many_gateways_per_endpoint()); }

  // Performs periodic work: updates the service rates and enlarges the subset if necessary.
  void Sweep(Millis now);

  bool many_gateways_per_endpoint() const { return subset_.many_gateways_per_endpoint(); }
  int up_count() const { return up_count_; }
  Millis MedianLatency() const { return table_.MedianLatency(); }
  std::size_t EjectedCount() const;
  void FillStatus(PolicyStatus& status) const;

  void Export(LearnedState& state) const;
  // For `remaining_weight` and `load_share`, see AdmissionRate::Import.
  void Import(const LearnedState& state, double remaining_weight, double load_share, Millis now);
  // Multiplies concurrency limits and service rates by `factor` when this gateway's share of the load
  // changes.
  void Scale(double factor);

 private:
  void ResetEndpoint(Endpoint& endpoint, Millis started_at, Millis now);
  void ChooseSubset() { subset_.Choose(table_, traffic_.MeanConcurrency()); }
  void CollectCandidates(const ActiveRequest& request, bool admit_beyond_quota, Millis now);
  bool HasCapacity(Endpoint& endpoint, bool within_quota, bool admit_beyond_quota, Millis now) const;
  void RecordChange(EventContext& context, Endpoint& endpoint, OutlierDetection::Change change);
  bool ImportEndpoint(Endpoint& endpoint, const LearnedState::Endpoint& learned, Millis exported_at,
                      Millis now);

  const Settings& settings_;
  const TrafficStatistics& traffic_;
  RandomSource& random_;
  PolicyLog& log_;
  EndpointTable table_;
  Subsetting subset_;
  SlowStart slow_start_;
  ConcurrencyLimit limits_;
  OutlierDetection outliers_;
  LoadBalancer load_balancer_;
  int up_count_ = 0;  // endpoints that were up after the last list event
  Millis swept_at_ = kNever;
  std::vector<Endpoint*> candidates_;
  std::vector<Endpoint*> avoided_;  // endpoints that recently failed requests of the class
  std::vector<Endpoint*> probes_;   // endpoints that are due for a probe
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_UPSTREAM_CONTROLLER_HPP_
