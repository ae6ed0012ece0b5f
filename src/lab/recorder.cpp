#include "lab/recorder.hpp"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

namespace gateway::lab {
namespace {

constexpr Millis kFineWindow = 100;
constexpr Millis kMinCoarseWindow = 500;
constexpr double kMaxCoarseWindows = 400;   // each window has a histogram; 4 MB in total
constexpr Millis kBaselineLength = 5000;    // the baseline is measured in this time before a fault
constexpr Millis kRecoveryWindow = 1000;    // length of each window that is compared with the baseline
constexpr double kRecoveredShare = 0.95;    // a window below this share of the baseline has not recovered
constexpr std::uint64_t kMinArrivals = 20;  // with fewer arrivals, no share is computed
constexpr double kMicrosPerMilli = 1000;

std::uint64_t ToMicros(Millis time) {
  return time > 0 ? static_cast<std::uint64_t>(time * kMicrosPerMilli) : 0;
}

double ToMillis(std::uint64_t micros) { return static_cast<double>(micros) / kMicrosPerMilli; }

double Ratio(std::uint64_t part, std::uint64_t total) {
  return static_cast<double>(part) / static_cast<double>(total);
}

// Writes the mean, and the percentiles for which there are enough values.
void WriteLatency(const base::Histogram& latency, const std::string& suffix, RunResult& run) {
  if (latency.count() == 0) return;
  run.figures["mean_ms" + suffix] = latency.mean() / kMicrosPerMilli;
  for (const auto& [name, share] :
       {std::pair{"p50_ms", 0.5}, {"p90_ms", 0.9}, {"p99_ms", 0.99}, {"p999_ms", 0.999}}) {
    if (latency.SupportsQuantile(share)) run.figures[name + suffix] = ToMillis(latency.Quantile(share));
  }
}

bool IsServed(RequestResult result) {
  return result == RequestResult::kInObjective || result == RequestResult::kLate;
}

}  // namespace

void Recorder::Counts::Add(RequestResult result) {
  switch (result) {
    case RequestResult::kInObjective: ++in_objective; break;
    case RequestResult::kLate: ++late; break;
    case RequestResult::kRejected: ++rejected; break;
    case RequestResult::kFailed: ++failed; break;
  }
}

void Recorder::Counts::Add(const Counts& other) {
  arrived += other.arrived;
  in_objective += other.in_objective;
  late += other.late;
  rejected += other.rejected;
  failed += other.failed;
}

Recorder::Recorder(const Experiment& experiment)
    : experiment_(experiment),
      classes_(experiment.classes.size()),
      fine_windows_(static_cast<std::size_t>(experiment.traffic.duration / kFineWindow) + 1),
      coarse_window_(
          std::max(kMinCoarseWindow,
                   std::ceil(experiment.traffic.duration / kMaxCoarseWindows / kFineWindow) * kFineWindow)),
      coarse_windows_(static_cast<std::size_t>(experiment.traffic.duration / coarse_window_) + 1) {
  for (auto& window : coarse_windows_) window = std::make_unique<CountsWithLatency>();
}

Recorder::Counts& Recorder::FineWindowFor(const Arrival& arrival) {
  return fine_windows_[static_cast<std::size_t>(arrival.at / kFineWindow)];
}

Recorder::CountsWithLatency& Recorder::CoarseWindowFor(const Arrival& arrival) {
  return *coarse_windows_[static_cast<std::size_t>(arrival.at / coarse_window_)];
}

void Recorder::OnArrival(const Arrival& arrival, Millis lateness) {
  ++arrived_;
  lateness_.Add(ToMicros(lateness));
  ++FineWindowFor(arrival).arrived;
  ++CoarseWindowFor(arrival).counts.arrived;
  if (arrival.at < experiment_.traffic.warm_up) return;
  ++classes_[static_cast<std::size_t>(arrival.class_index)].counts.arrived;
}

void Recorder::OnRequestEnd(const Arrival& arrival, RequestResult result, Millis latency) {
  FineWindowFor(arrival).Add(result);
  CountsWithLatency& window = CoarseWindowFor(arrival);
  window.counts.Add(result);
  if (IsServed(result)) window.latency.Add(ToMicros(latency));
  if (arrival.at < experiment_.traffic.warm_up) return;
  CountsWithLatency& traffic_class = classes_[static_cast<std::size_t>(arrival.class_index)];
  traffic_class.counts.Add(result);
  if (IsServed(result)) traffic_class.latency.Add(ToMicros(latency));
}

// Of the requests that arrived between `from` and `to`, returns the share that was served within the
// objective. Returns a negative value if too few requests arrived.
double Recorder::ShareInObjective(Millis from, Millis to) const {
  Counts sum;
  const auto first = static_cast<std::size_t>(std::max(0.0, from / kFineWindow));
  const auto last = std::min(fine_windows_.size(), static_cast<std::size_t>(std::max(0.0, to / kFineWindow)));
  for (std::size_t window = first; window < last; ++window) sum.Add(fine_windows_[window]);
  return sum.arrived < kMinArrivals ? -1 : Ratio(sum.in_objective, sum.arrived);
}

// Whether another fault begins after the recovery window of `fault`, but not later than `by`.
bool Recorder::NextFaultBegins(const Fault& fault, Millis by) const {
  return std::any_of(experiment_.faults.begin(), experiment_.faults.end(), [&](const Fault& next) {
    return next.at > fault.at + kRecoveryWindow && next.at <= by;
  });
}

// Returns the time of the recovery. After it, the share of requests within the objective is never below
// kRecoveredShare times `share_before`. The function searches for the last window below this limit, not for
// the first window above it, since the share may drop only some time after the fault. The search stops at the
// next fault, which has a recovery figure of its own.
Millis Recorder::RecoveredAt(const Fault& fault, Millis start, double share_before) const {
  Millis recovered = start;
  for (Millis at = start; at + kRecoveryWindow <= experiment_.traffic.duration; at += kFineWindow) {
    const double share = ShareInObjective(at, at + kRecoveryWindow);
    if (share >= 0 && share < kRecoveredShare * share_before) recovered = at + kFineWindow;
    if (NextFaultBegins(fault, at + kRecoveryWindow)) break;
  }
  return recovered;
}

// Returns how many more requests would have met their objective if the share had stayed at `share_before`.
double Recorder::MissedInObjective(Millis start, Millis end, double share_before) const {
  double missed = 0;
  for (auto i = static_cast<std::size_t>(start / kFineWindow); i < fine_windows_.size(); ++i) {
    if (static_cast<double>(i) * kFineWindow >= end) break;
    const Counts& window = fine_windows_[i];
    missed += share_before * static_cast<double>(window.arrived) - static_cast<double>(window.in_objective);
  }
  return missed;
}

void Recorder::WriteRecovery(const Fault& fault, std::size_t number, RunResult& run) const {
  constexpr double kMillisPerSecond = 1000;
  const std::string suffix = "/" + std::to_string(number);
  const double share_before =
      ShareInObjective(std::max(experiment_.traffic.warm_up, fault.at - kBaselineLength), fault.at);
  if (share_before < 0) return;
  const Millis start = std::floor(fault.at / kFineWindow) * kFineWindow;
  const Millis recovered = RecoveredAt(fault, start, share_before);
  run.figures["recovery_s" + suffix] = (recovered - start) / kMillisPerSecond;
  run.figures["missed_in_aim" + suffix] =
      MissedInObjective(start, std::max(recovered, start + kRecoveryWindow), share_before);
}

void Recorder::WriteClasses(RunResult& run) const {
  for (std::size_t i = 0; i < classes_.size(); ++i) {
    const std::string& name = experiment_.classes[i].name;
    const Counts& counts = classes_[i].counts;
    if (counts.arrived > 0) run.figures["in_aim/" + name] = Ratio(counts.in_objective, counts.arrived);
    WriteLatency(classes_[i].latency, "/" + name, run);
  }
}

// Writes the figures over all classes. Goodput is the weight of the served requests as a share of the weight
// of all requests. A late response counts with a part of its weight.
void Recorder::WriteTotals(RunResult& run) const {
  base::Histogram latency;
  Counts sum;
  double total_weight = 0;
  double earned_weight = 0;
  for (std::size_t i = 0; i < classes_.size(); ++i) {
    const TrafficClass& traffic_class = experiment_.classes[i];
    const Counts& counts = classes_[i].counts;
    latency.Merge(classes_[i].latency);
    sum.Add(counts);
    total_weight += traffic_class.priority_weight * static_cast<double>(counts.arrived);
    earned_weight +=
        traffic_class.priority_weight * (static_cast<double>(counts.in_objective) +
                                         traffic_class.late_weight * static_cast<double>(counts.late));
  }
  WriteLatency(latency, "", run);
  run.figures["requests"] = static_cast<double>(arrived_);
  if (sum.arrived == 0) return;
  run.figures["goodput"] = earned_weight / total_weight;
  run.figures["in_aim"] = Ratio(sum.in_objective, sum.arrived);
  run.figures["late"] = Ratio(sum.late, sum.arrived);
  run.figures["refused"] = Ratio(sum.rejected, sum.arrived);
  run.figures["failed"] = Ratio(sum.failed, sum.arrived);
  run.figures["served"] = Ratio(sum.in_objective + sum.late, sum.arrived);
}

void Recorder::WriteLateness(RunResult& run) const {
  run.figures["lateness_p50_ms"] = ToMillis(lateness_.Quantile(0.5));
  run.figures["lateness_p99_ms"] = ToMillis(lateness_.Quantile(0.99));
  run.figures["lateness_max_ms"] = ToMillis(lateness_.max());
}

void Recorder::WriteWindows(RunResult& run) const {
  for (std::size_t i = 0; i < coarse_windows_.size(); ++i) {
    const Counts& counts = coarse_windows_[i]->counts;
    if (counts.arrived == 0) continue;
    const base::Histogram& latency = coarse_windows_[i]->latency;
    run.windows.push_back({static_cast<double>(i) * coarse_window_, counts.arrived, counts.in_objective,
                           counts.late, counts.rejected, counts.failed, ToMillis(latency.Quantile(0.5)),
                           ToMillis(latency.Quantile(0.99))});
  }
}

void Recorder::WriteTo(RunResult& run) const {
  WriteClasses(run);
  WriteTotals(run);
  WriteLateness(run);
  for (std::size_t i = 0; i < experiment_.faults.size(); ++i) {
    WriteRecovery(experiment_.faults[i], i + 1, run);
  }
  WriteWindows(run);
}

}  // namespace gateway::lab
