// Concurrency limit of each endpoint: how many own attempts it takes at a time without queueing, learned from
// the gradient of its latency and from the utilisation that it reports.
//
// Where many gateways share each endpoint, a limit would be a fraction of an attempt learned from next to no
// traffic. There the admission rate alone bounds the load, and limits are learned but not applied.
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

// The part of an endpoint's state that the concurrency limit owns.
struct ConcurrencyState {
  LatencyEstimate latency;
  double utilization = 0;  // reported, smoothed
  double limit = 1;        // below 1 the endpoint pauses between attempts
  double slots = 1;        // the limit, randomly rounded up or down; at least 1
  Millis backing_off_until = kNever;
  int consecutive_rejections = 0;
};

class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(const Settings& settings);

  // `gateways_per_endpoint` in the following: gateways that share each endpoint, at least 1.

  // Starts anew for a new process of the endpoint.
  void Reset(ConcurrencyState& state, double gateways_per_endpoint) const;

  // Whether the endpoint has a free slot. Requests beyond their tenant's quota leave a part of a busy
  // endpoint free.
  bool HasSlot(const Endpoint& endpoint, bool within_quota, Millis now) const;

  // `load`: values by Settings::load_report_fields; one without a valid utilisation is ignored.
  void RecordLoadReport(Endpoint& endpoint, const std::vector<double>& load) const;

  // Lets an endpoint that rejected an attempt back off, so that it can work off its queue.
  void RecordRejection(ConcurrencyState& state, Millis now) const;

  struct Sample {
    Millis latency = 0;
    double relative_latency = 1;  // of the request's class
    bool served = false;
  };
  // Learns from the end of an attempt. The limit is rounded to slots at random.
  void RecordLatency(Endpoint& endpoint, const Sample& sample, double gateways_per_endpoint,
                     RandomSource& random, Millis now) const;

  // Multiplies the limit when the gateway's part of the load changes.
  void Scale(ConcurrencyState& state, double factor, double gateways_per_endpoint) const;

  // Moves the limit towards one learned earlier; `kept` in [0, 1] is its weight.
  static void Restore(ConcurrencyState& state, double learned_limit, double kept);

 private:
  double LatencyTolerance() const;
  double InitialLimit(double gateways_per_endpoint) const;
  double ExcessUtilization(const Endpoint& endpoint) const;
  void UpdateLimit(Endpoint& endpoint, double sample, bool served, double gateways_per_endpoint) const;

  const bool endpoints_cache_keys_;
  const double gateway_count_;
  const std::size_t utilization_index_;  // in a load report; past its end if it is not reported
  const bool reports_utilization_;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_CONCURRENCY_LIMIT_HPP_
