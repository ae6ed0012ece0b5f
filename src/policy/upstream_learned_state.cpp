// Export, import and scaling of the learned state of an UpstreamController.
#include <algorithm>
#include <map>

#include "policy/learned_state_age.hpp"
#include "policy/upstream_controller.hpp"

namespace gateway::policy {
namespace {

LearnedState::Endpoint ExportEndpoint(const Endpoint& endpoint) {
  LearnedState::Endpoint learned;
  learned.id = endpoint.info.id;
  const LatencyEstimate& latency = endpoint.concurrency.latency;
  learned.latency = latency.current;
  learned.long_term_latency = latency.long_term;
  learned.base_latency = latency.base;
  learned.samples = latency.samples;
  learned.concurrency_limit = endpoint.concurrency.limit;
  learned.failure_rate = endpoint.outlier.failure_rate;
  learned.ejected = endpoint.outlier.ejected;
  learned.restart_suspected = endpoint.outlier.restart_suspected;
  learned.last_outcome_at = endpoint.outlier.last_outcome_at;
  learned.started_at = endpoint.slow_start.started_at;
  return learned;
}

LatencyEstimate AgedLatency(const LearnedState::Endpoint& learned, double remaining_weight) {
  LatencyEstimate latency;
  latency.samples = static_cast<int>(remaining_weight * learned.samples + 0.5);
  if (latency.samples == 0) return {};
  latency.current = learned.latency;
  latency.long_term = learned.long_term_latency;
  latency.base = learned.base_latency;
  return latency;
}

// Adds the latency of an endpoint to the latency of its machine type, which is the mean over `count`
// endpoints, including this endpoint.
void AddToMean(LatencyEstimate& type, const LatencyEstimate& endpoint, int count) {
  const double weight = 1.0 / count;
  type.current += weight * (endpoint.current - type.current);
  type.long_term += weight * (endpoint.long_term - type.long_term);
  type.base += weight * (endpoint.base - type.base);
  type.samples += endpoint.samples;
}

}  // namespace

void UpstreamController::Export(LearnedState& state) const {
  for (const auto& [name, type] : table_.machine_types()) {
    state.machine_types.push_back({name, type.throughput.served, type.throughput.endpoint_time});
  }
  for (const auto& [id, endpoint] : table_.endpoints()) {
    if (endpoint.up) state.endpoints.push_back(ExportEndpoint(endpoint));
  }
}

void UpstreamController::Import(const LearnedState& state, double remaining_weight, double load_share,
                                Millis now) {
  for (const LearnedState::MachineType& learned : state.machine_types) {
    Throughput& throughput = table_.machine_types()[learned.name].throughput;
    throughput.served = learned.served * remaining_weight * load_share;
    throughput.endpoint_time = learned.endpoint_time * remaining_weight;
  }
  swept_at_ = now;
  slow_start_.UpdateServiceRates(table_.machine_types(), subset_.endpoints(), 0, traffic_.ArrivalsPerMs(),
                                 now);
  std::map<const MachineType*, int> imported;
  for (const LearnedState::Endpoint& learned : state.endpoints) {
    Endpoint* const endpoint = table_.Find(learned.id);
    if (endpoint == nullptr || !endpoint->up) continue;
    if (!ImportEndpoint(*endpoint, learned, state.exported_at, now)) continue;
    AddToMean(endpoint->machine_type->latency, endpoint->concurrency.latency,
              ++imported[endpoint->machine_type]);
  }
  ChooseSubset();
}

// Restores the learned state of one endpoint. Returns whether a latency was restored.
bool UpstreamController::ImportEndpoint(Endpoint& endpoint, const LearnedState::Endpoint& learned,
                                        Millis exported_at, Millis now) {
  endpoint.slow_start.credit = 0;  // the previous gateway process has already granted the initial credit
  if (learned.samples <= 0 || exported_at > now) return false;
  const Millis started_at = endpoint.info.started_at;
  const bool restarted_since_export = started_at > 0 && started_at > learned.started_at;
  if (restarted_since_export) return false;
  const double latency_weight = RemainingWeight(learned.last_outcome_at, now, kLatencyHalfLifeMs);
  const double failure_weight = RemainingWeight(learned.last_outcome_at, now, kFailureHalfLifeMs);
  endpoint.slow_start.started_at = learned.started_at;
  ConcurrencyLimit::Restore(endpoint.concurrency, learned.concurrency_limit, latency_weight);
  endpoint.concurrency.latency = AgedLatency(learned, latency_weight);
  outliers_.Restore(endpoint.outlier, learned, failure_weight, now, random_);
  if (endpoint.concurrency.latency.samples <= 0) return false;
  table_.MarkMeasured(endpoint);
  return true;
}

void UpstreamController::Scale(double factor) {
  for (auto& [name, type] : table_.machine_types()) type.throughput.served *= factor;
  for (auto& [id, endpoint] : table_.endpoints()) {
    limits_.Scale(endpoint.concurrency, factor, subset_.gateways_per_endpoint());
  }
}

}  // namespace gateway::policy
