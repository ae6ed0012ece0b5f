#include "policy/upstream_controller.hpp"

#include <algorithm>
#include <map>
#include <utility>

#include "policy/learned_state_age.hpp"
#include "policy/retry_policy.hpp"

namespace gateway::policy {
namespace {

// A longer interval between two sweeps, for example after a pause, is counted as this time.
constexpr Millis kMaximumSweepIntervalMs = 10000;

}  // namespace

UpstreamController::UpstreamController(const Settings& settings, double ring_position,
                                       const TrafficStatistics& traffic, RandomSource& random, PolicyLog& log)
    : settings_(settings),
      traffic_(traffic),
      random_(random),
      log_(log),
      table_(settings.zone),
      subset_(settings, ring_position),
      slow_start_(settings),
      limits_(settings),
      outliers_(settings.classes.size()),
      load_balancer_(settings) {}

void UpstreamController::ApplyList(const EndpointListEvent& event, Millis now) {
  table_.BeginListUpdate();
  for (const EndpointInfo& info : event.endpoints) {
    const auto [endpoint, started] = table_.Update(info);
    const Millis started_at = info.started_at > 0 ? info.started_at : kNever;
    if (started) ResetEndpoint(endpoint, started_at, now);
  }
  if (event.kind == EndpointListEvent::Kind::kSnapshot) table_.RemoveUnlisted();
  up_count_ = table_.up_count();
  ChooseSubset();  // the previous subset may contain endpoints that are erased next
  table_.RemoveUnreferenced();
}

// Resets the learned state of a new endpoint or of an endpoint whose process has restarted.
void UpstreamController::ResetEndpoint(Endpoint& endpoint, Millis started_at, Millis now) {
  slow_start_.BeginWarmUp(endpoint.slow_start, started_at, random_.Uniform(), now);
  limits_.Reset(endpoint.concurrency, subset_.gateways_per_endpoint());
  outliers_.Reset(endpoint.outlier);
}

bool UpstreamController::IsUnhealthy(const Endpoint& endpoint) const {
  return endpoint.outlier.ejected || outliers_.IsZoneUnresponsive(*endpoint.zone, table_.zone_count());
}

bool UpstreamController::HasCapacity(Endpoint& endpoint, bool within_quota, bool admit_beyond_quota,
                                     Millis now) const {
  const bool has_slot = many_gateways_per_endpoint() ? within_quota || admit_beyond_quota
                                                     : limits_.HasSlot(endpoint, within_quota, now);
  return has_slot && slow_start_.HasCredit(endpoint, now);
}

// Divides the endpoints that may serve the request into candidates, avoided endpoints and endpoints that are
// due for a probe. Only first attempts of idempotent requests are used as probes. Excludes the endpoint of
// the last attempt.
void UpstreamController::CollectCandidates(const ActiveRequest& request, bool admit_beyond_quota,
                                           Millis now) {
  candidates_.clear();
  avoided_.clear();
  probes_.clear();
  const TrafficClassSettings& traffic_class = settings_.classes[request.class_index];
  const bool first_attempt = request.attempts.empty();
  const bool may_probe = first_attempt && traffic_class.idempotency == Idempotency::kIdempotent;
  const Endpoint* const last = first_attempt ? nullptr : request.attempts.back().endpoint;
  for (Endpoint* const endpoint : subset_.endpoints()) {
    if (endpoint == last || !MaySendTo(request, traffic_class, endpoint->info, now)) continue;
    if (IsUnhealthy(*endpoint)) {
      const bool due = may_probe && outliers_.IsProbeDue(*endpoint, now);
      if (due && slow_start_.HasCredit(*endpoint, now)) probes_.push_back(endpoint);
      continue;
    }
    if (!HasCapacity(*endpoint, request.within_quota, admit_beyond_quota, now)) continue;
    const bool avoided = outliers_.IsAvoidedForClass(endpoint->outlier, request.class_index, now);
    (avoided ? avoided_ : candidates_).push_back(endpoint);
  }
  // If all endpoints are avoided for the class, uses them nevertheless, since one of them may have recovered.
  if (candidates_.empty()) candidates_.swap(avoided_);
}

Endpoint* UpstreamController::Select(const ActiveRequest& request, bool admit_beyond_quota, Millis now) {
  CollectCandidates(request, admit_beyond_quota, now);
  if (!probes_.empty() && (outliers_.HasProbeBudget() || candidates_.empty())) {
    outliers_.SpendProbeBudget();
    return probes_[random_.Index(probes_.size())];
  }
  if (candidates_.empty()) return nullptr;
  return &load_balancer_.Choose(candidates_, request.key_hash, many_gateways_per_endpoint(), table_, random_);
}

// An endpoint does not work on an incomplete request, so the request does not use a slot yet.
void UpstreamController::RecordSend(Endpoint& endpoint, bool request_complete, Millis now) {
  slow_start_.RecordSend(endpoint.slow_start, now);
  if (request_complete) ++endpoint.in_flight;
  ++endpoint.references;
}

void UpstreamController::RecordLoadReport(Endpoint& endpoint, const std::vector<double>& load) {
  limits_.RecordLoadReport(endpoint, load);
}

void UpstreamController::RecordOutcome(EventContext& context, Endpoint& endpoint, const Outcome& outcome) {
  if (outcome.result == AttemptResult::kRejected) {
    outliers_.RecordRejection(endpoint, context.now, random_);
    limits_.RecordRejection(endpoint.concurrency, context.now);
    return;
  }
  const bool served = outcome.result == AttemptResult::kServed;
  if (served) {
    endpoint.concurrency.consecutive_rejections = 0;
    slow_start_.RecordServed(endpoint, context.now);
  }
  const OutlierDetection::Assessment assessment = outliers_.RecordOutcome(
      endpoint, {outcome.result, outcome.latency, outcome.class_index}, context.now, random_);
  RecordChange(context, endpoint, assessment.change);
  if (!assessment.is_latency_sample) return;
  const ConcurrencyLimit::Sample sample{outcome.latency, traffic_.RelativeLatency(outcome.class_index),
                                        served};
  limits_.RecordLatency(endpoint, sample, subset_.gateways_per_endpoint(), random_, context.now);
  if (endpoint.concurrency.latency.samples > 0) table_.MarkMeasured(endpoint);
}

void UpstreamController::RecordChange(EventContext& context, Endpoint& endpoint,
                                      OutlierDetection::Change change) {
  using Change = OutlierDetection::Change;
  if (change == Change::kNone) return;
  if (change == Change::kRestarted) ResetEndpoint(endpoint, context.now, context.now);
  const bool ejected = change == Change::kEjected;
  log_.WriteEvent(context, "endpoint " + endpoint.info.id + (ejected ? " ejected: failing" : " readmitted"));
  ChooseSubset();
}

void UpstreamController::Sweep(Millis now) {
  const Millis last = std::exchange(swept_at_, now);
  const Millis elapsed = last == kNever ? 0 : std::min(kMaximumSweepIntervalMs, now - last);
  slow_start_.UpdateServiceRates(table_.machine_types(), subset_.endpoints(), elapsed,
                                 traffic_.ArrivalsPerMs(), now);
  if (subset_.IsTooSmall(traffic_.MeanConcurrency())) ChooseSubset();
}

std::size_t UpstreamController::EjectedCount() const {
  const auto ejected = [](const auto& entry) { return entry.second.up && entry.second.outlier.ejected; };
  return static_cast<std::size_t>(std::ranges::count_if(table_.endpoints(), ejected));
}

void UpstreamController::FillStatus(PolicyStatus& status) const {
  for (const auto& [id, endpoint] : table_.endpoints()) {
    status.attempts_in_flight += endpoint.in_flight;
    if (!endpoint.up) continue;
    ++status.endpoints_up;
    if (endpoint.outlier.ejected) {
      ++status.endpoints_ejected;
    } else {
      status.slots += endpoint.concurrency.slots;
    }
  }
}

}  // namespace gateway::policy
