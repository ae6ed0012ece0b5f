// Concurrency limit of each endpoint: the number of attempts of this gateway that the endpoint can process
// concurrently without queueing. The limit is learned from the latency gradient, which is the ratio of
// the base latency to the current latency, and from the reported utilization.
//
// If many gateways share each endpoint, the limit of one gateway would be a fraction of an attempt, learned
// from very little traffic. In that case limits are learned but not applied, and only the admission rate
// bounds the load.
#ifndef GATEWAY_POLICY_CONCURRENCY_LIMIT_HPP_
#define GATEWAY_POLICY_CONCURRENCY_LIMIT_HPP_

#include <cstddef>
#include <vector>

#include "gateway/learned_state.hpp"
#include "gateway/settings.hpp"
#include "gateway/time.hpp"
#include "policy/latency_estimate.hpp"
#include "policy/random_source.hpp"

namespace gateway::policy {

struct Endpoint;
struct MachineType;

// The state of the concurrency limit for one endpoint.
struct ConcurrencyState {
  LatencyEstimate latency;
  double utilization = 0;  // from load reports, smoothed
  double limit = 1;        // maximum attempts in flight; below 1: pauses between attempts
  double slots = 1;        // the limit, randomly rounded up or down; at least 1
  Millis backing_off_until = kNever;
  int consecutive_rejections = 0;
};

// Learns and applies the concurrency limits of all endpoints.
class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(const Settings& settings);

  // In the methods below, `gateways_per_endpoint` is the number of gateways that share each endpoint, at
  // least 1.

  // Resets the state for a new process of the endpoint.
  void Reset(ConcurrencyState& state, double gateways_per_endpoint) const;

  // Returns whether the endpoint has a free slot. Requests beyond their tenant's quota may use only a share
  // of the slots of a busy endpoint.
  bool HasSlot(const Endpoint& endpoint, bool within_quota, Millis now) const;

  // Records a load report with values in the order of Settings::load_report_fields. A report without a valid
  // utilization is ignored.
  void RecordLoadReport(Endpoint& endpoint, const std::vector<double>& load) const;

  // Records that the endpoint rejected an attempt. No attempts are sent to it during an exponential backoff,
  // so that it can process its queue.
  void RecordRejection(ConcurrencyState& state, Millis now) const;

  // The latency of an attempt that has ended.
  struct Sample {
    Millis latency = 0;
    double relative_latency = 1;  // latency of the request's class divided by the mean latency of all classes
    bool served = false;
  };
  // Updates latency and limit after the end of an attempt. Sets the slots to the limit, rounded up or down at
  // random.
  void RecordLatency(Endpoint& endpoint, const Sample& sample, double gateways_per_endpoint,
                     RandomSource& random, Millis now) const;

  // Multiplies the limit by `factor`, for a change of this gateway's share of the load.
  void Scale(ConcurrencyState& state, double factor, double gateways_per_endpoint) const;

  // Sets the limit to a weighted mean of the current limit and `learned_limit`. `remaining_weight` in [0, 1]
  // is the weight of `learned_limit`.
  static void Restore(ConcurrencyState& state, double learned_limit, double remaining_weight);

 private:
  double LatencyTolerance() const;
  double InitialLimit(double gateways_per_endpoint) const;
  double ExcessUtilization(const Endpoint& endpoint) const;
  void UpdateLimit(Endpoint& endpoint, double sample, bool served, double gateways_per_endpoint) const;

  const bool endpoints_cache_keys_;
  const double gateway_count_;
  const std::size_t utilization_index_;  // index in a load report; beyond its last index if not reported
  const bool reports_utilization_;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_CONCURRENCY_LIMIT_HPP_
