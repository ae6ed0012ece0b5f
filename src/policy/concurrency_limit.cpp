#include "policy/concurrency_limit.hpp"

#include <algorithm>
#include <cmath>

#include "policy/endpoint.hpp"

namespace gateway::policy {
namespace {

constexpr double kMinimumLatencySampleWeight = 0.1;    // weight of a sample in an endpoint's latency
constexpr double kMinimumLongTermSampleWeight = 0.02;  // weight of a sample in the long-term latency
// With each sample, the base latency of an endpoint approaches its current latency by this share of their
// difference.
constexpr double kBaseLatencyDriftShare = 0.001;
// Until a machine type has this number of samples, its base latency is its long-term latency.
constexpr int kMinimumBaseLatencySamples = 20;
// Highest ratio of the current latency to the base latency at which no queueing is assumed, so that the
// latency does not lower the limit of the endpoint. The ratio is the geometric mean of the ratios of the
// endpoint and of its machine type. The tolerance is higher if endpoints cache keys, since the latency then
// also depends on the key.
constexpr double kLatencyTolerance = 1.1;
constexpr double kKeyCachingLatencyTolerance = 2;
constexpr double kMinimumGradient = 0.2;        // minimum of the factor that lowers a limit
constexpr double kLimitGrowthFactor = 0.7;      // increase of a limit, in multiples of its square root
constexpr double kInitialLimit = 8;             // attempts, sum over all gateways
constexpr double kInitialLimitWithReports = 2;  // attempts; low, since load reports soon show free capacity
constexpr double kMinimumLimit = 1;             // attempts, sum over all gateways

// The utilization that is kept free is this value times the square root of the gateway count.
constexpr double kUtilizationReserve = 0.07;
constexpr double kUtilizationGain = 4;  // relative decrease of a limit per unit of excess utilization
constexpr double kUtilizationSampleWeight = 0.3;
constexpr double kMaximumUtilization = 1.1;    // limits higher reports, since reports are noisy
constexpr double kBusyUtilization = 0.6;       // endpoints are busy if their machine type reaches this value
constexpr double kBusyShareBeyondQuota = 0.3;  // share of a busy endpoint's slots for requests beyond quota

constexpr Millis kMaximumBackoffMs = 300;
constexpr int kMaximumBackoffDoublings = 30;

const char* const kUtilizationField = "util";

void UpdateTypeLatency(LatencyEstimate& type, double sample) {
  ++type.samples;
  type.current += std::max(kMinimumLatencySampleWeight / 2, 1.0 / type.samples) * (sample - type.current);
}

void UpdateTypeBaseLatency(LatencyEstimate& type, double sample) {
  type.long_term += std::max(kMinimumLongTermSampleWeight, 1.0 / type.samples) * (sample - type.long_term);
  if (type.samples < kMinimumBaseLatencySamples || type.long_term < type.base) type.base = type.long_term;
  type.base += kBaseLatencyDriftShare / 4 * (type.long_term - type.base);
}

// For an endpoint with few samples, the base latency is a weighted mean of the endpoint's long-term latency
// and the base latency of its machine type.
void UpdateBaseLatency(LatencyEstimate& own, const LatencyEstimate& type, double sample) {
  own.long_term += std::max(kMinimumLongTermSampleWeight, 1.0 / own.samples) * (sample - own.long_term);
  const double confidence = std::min(1.0, own.samples * kMinimumLongTermSampleWeight);
  own.base = confidence < 1 ? confidence * own.long_term + (1 - confidence) * type.base
                            : std::min(own.base, own.long_term);
  own.base += kBaseLatencyDriftShare * (own.current - own.base);
}

std::size_t FindUtilizationIndex(const Settings& settings) {
  const auto& fields = settings.load_report_fields;
  return static_cast<std::size_t>(std::ranges::find(fields, kUtilizationField) - fields.begin());
}

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(const Settings& settings)
    : endpoints_cache_keys_(settings.endpoints_cache_keys),
      gateway_count_(settings.gateway_count),
      utilization_index_(FindUtilizationIndex(settings)),
      reports_utilization_(utilization_index_ < settings.load_report_fields.size()) {}

double ConcurrencyLimit::LatencyTolerance() const {
  return endpoints_cache_keys_ ? kKeyCachingLatencyTolerance : kLatencyTolerance;
}

// Endpoints that cache keys start with a higher limit, since their latency tolerance is higher.
double ConcurrencyLimit::InitialLimit(double gateways_per_endpoint) const {
  const double limit = reports_utilization_ ? kInitialLimitWithReports
                                            : kInitialLimit * LatencyTolerance() / kLatencyTolerance;
  return limit / gateways_per_endpoint;
}

void ConcurrencyLimit::Reset(ConcurrencyState& state, double gateways_per_endpoint) const {
  state.latency = {};
  state.utilization = 0;
  state.limit = state.slots = InitialLimit(gateways_per_endpoint);
  state.consecutive_rejections = 0;
}

bool ConcurrencyLimit::HasSlot(const Endpoint& endpoint, bool within_quota, Millis now) const {
  const ConcurrencyState& state = endpoint.concurrency;
  if (now < state.backing_off_until) return false;
  const bool all_slots = within_quota || endpoint.machine_type->utilization < kBusyUtilization;
  return endpoint.in_flight < state.slots * (all_slots ? 1 : kBusyShareBeyondQuota);
}

void ConcurrencyLimit::RecordLoadReport(Endpoint& endpoint, const std::vector<double>& load) const {
  if (utilization_index_ >= load.size() || !(load[utilization_index_] >= 0)) return;
  const double reported = std::min(load[utilization_index_], kMaximumUtilization);
  double& own = endpoint.concurrency.utilization;
  own += kUtilizationSampleWeight * (reported - own);
  double& type = endpoint.machine_type->utilization;
  type += kUtilizationSampleWeight / 3 * (reported - type);
}

void ConcurrencyLimit::RecordRejection(ConcurrencyState& state, Millis now) const {
  const int doublings = std::min(state.consecutive_rejections++, kMaximumBackoffDoublings);
  state.backing_off_until = now + std::min(kMaximumBackoffMs, state.latency.current * std::exp2(doublings));
}

void ConcurrencyLimit::RecordLatency(Endpoint& endpoint, const Sample& sample, double gateways_per_endpoint,
                                     RandomSource& random, Millis now) const {
  ConcurrencyState& state = endpoint.concurrency;
  const double relative = sample.latency / sample.relative_latency;
  // A failure never lowers the latency estimate, since an endpoint that returns errors quickly is not fast.
  if (sample.served || relative > state.latency.current) {
    UpdateLimit(endpoint, relative, sample.served, gateways_per_endpoint);
  }
  if (state.limit < 1) state.backing_off_until = now + sample.latency * (1 / state.limit - 1);
  // Rounds the limit up or down at random. If all gateways rounded up, each gateway would send the endpoint
  // up to one attempt more than its limit allows.
  state.slots = std::max(1.0, std::floor(state.limit + random.Uniform()));
}

void ConcurrencyLimit::UpdateLimit(Endpoint& endpoint, double sample, bool served,
                                   double gateways_per_endpoint) const {
  ConcurrencyState& state = endpoint.concurrency;
  LatencyEstimate& own = state.latency;
  LatencyEstimate& type = endpoint.machine_type->latency;
  ++own.samples;
  own.current += std::max(kMinimumLatencySampleWeight, 1.0 / own.samples) * (sample - own.current);
  UpdateTypeLatency(type, sample);
  if (served) {
    UpdateTypeBaseLatency(type, sample);
    UpdateBaseLatency(own, type, sample);
  }
  if (own.base <= 0) return;
  const double ratio = std::sqrt(own.current / own.base * type.current / type.base);
  const double excess = ExcessUtilization(endpoint);
  const double gradient =
      std::clamp(std::min(LatencyTolerance() / ratio, 1 - kUtilizationGain * excess), kMinimumGradient, 1.0);
  const double growth =
      excess > 0 || !served ? 0 : kLimitGrowthFactor * std::sqrt(state.limit / gateways_per_endpoint);
  const double target = state.limit * gradient + growth;
  const bool in_use = 2.0 * (endpoint.in_flight + 1) >= state.limit;
  if (target > state.limit && !in_use) return;  // an unused limit is untested, so it is not increased
  const double minimum = kMinimumLimit / gateways_per_endpoint;
  state.limit = std::max(minimum, state.limit + (target - state.limit) / std::max(2.0, state.limit));
}

// Returns by how much the endpoint exceeds its target utilization. The target leaves free capacity for
// attempts that other gateways send before a load report shows them the current utilization.
double ConcurrencyLimit::ExcessUtilization(const Endpoint& endpoint) const {
  const double mean = (endpoint.concurrency.utilization + endpoint.machine_type->utilization) / 2;
  return mean - (1 - kUtilizationReserve * std::sqrt(gateway_count_));
}

void ConcurrencyLimit::Scale(ConcurrencyState& state, double factor, double gateways_per_endpoint) const {
  state.limit = std::max(kMinimumLimit / gateways_per_endpoint, state.limit * factor);
  state.slots = std::max(1.0, std::floor(state.limit));
}

void ConcurrencyLimit::Restore(ConcurrencyState& state, double learned_limit, double remaining_weight) {
  state.limit = state.limit + remaining_weight * (learned_limit - state.limit);
  state.slots = std::max(1.0, std::floor(state.limit));
}

}  // namespace gateway::policy
