// The upstream side of a Policy: what is known of the endpoints, and which one an attempt goes to.
//
// Dispatches list events, attempts and outcomes to the mechanisms that own a part of each endpoint's state:
// endpoint table, subsetting, slow start, concurrency limit, outlier detection and load balancer.
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

class UpstreamController {
 public:
  // Keeps references to all of its arguments but `ring_position`.
  UpstreamController(const Settings& settings, double ring_position, const TrafficStatistics& traffic,
                     RandomSource& random, PolicyLog& log);

  // Applies a snapshot or a delta.
  void ApplyList(const EndpointListEvent& event, Millis now);

  // Chooses the endpoint of the request's next attempt; null if none may take it now. `admit_beyond_quota`:
  // whether requests beyond their tenant's quota are sent where many gateways share an endpoint.
  Endpoint* Select(const ActiveRequest& request, bool admit_beyond_quota, Millis now);

  void RecordSend(Endpoint& endpoint, Millis now);
  // The attempt awaits no response any more; it may still be streamed.
  void RecordResponse(Endpoint& endpoint) { --endpoint.in_flight; }
  // The request that named the endpoint has ended.
  void Release(Endpoint& endpoint) { --endpoint.references; }

  struct Outcome {
    AttemptResult result = AttemptResult::kServed;
    Millis latency = 0;
    std::size_t class_index = 0;
  };
  // Records what the end of an attempt shows of the endpoint.
  void RecordOutcome(EventContext& context, Endpoint& endpoint, const Outcome& outcome);
  void RecordLoadReport(Endpoint& endpoint, const std::vector<double>& load);

  // Whether the endpoint is ejected or in a lost zone, so that it gets probes only.
  bool IsUnhealthy(const Endpoint& endpoint) const;
  // The time by which a first attempt at an unhealthy endpoint has to be answered.
  Millis ProbeDeadline(Millis now, Millis objective_ends_at) const {
    return outliers_.ProbeDeadline(now, objective_ends_at);
  }
  // Counts an arrived request for the budget of probes.
  void RecordRequest() { outliers_.AddProbeBudget(many_gateways_per_endpoint()); }

  // Periodic work: service rates, and the size of the subset.
  void Sweep(Millis now);

  bool many_gateways_per_endpoint() const { return subset_.many_gateways_per_endpoint(); }
  int up_count() const { return up_count_; }
  Millis MedianLatency() const { return table_.MedianLatency(); }
  std::size_t EjectedCount() const;
  void FillStatus(PolicyStatus& status) const;

  void Export(LearnedState& state) const;
  // `kept` and `share` as in AdmissionRate::Import.
  void Import(const LearnedState& state, double kept, double share, Millis now);
  // Multiplies limits and service rates when this gateway's share of the load changes.
  void Scale(double factor);

 private:
  void Restart(Endpoint& endpoint, Millis started_at, Millis now);
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
  int up_count_ = 0;  // by the last list event
  Millis swept_at_ = kNever;
  std::vector<Endpoint*> candidates_;
  std::vector<Endpoint*> avoided_;  // they fail requests of the class
  std::vector<Endpoint*> probes_;   // due for a probe
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_UPSTREAM_CONTROLLER_HPP_
