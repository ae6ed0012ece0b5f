#include "lab/recorder.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace gateway::lab {
namespace {

constexpr Millis kFine = 100;
constexpr Millis kCoarse = 500;
constexpr double kMostCoarse = 400;  // windows with a histogram each: 4 MB
constexpr Millis kBefore = 5000;     // the stretch before a fault that recovery is measured against
constexpr Millis kSettled = 1000;    // recovered: so long within kWithin of before
constexpr double kWithin = 0.95;
constexpr std::uint64_t kFewest = 20;  // arrivals that a share is taken of

std::uint64_t Micros(Millis ms) { return ms > 0 ? static_cast<std::uint64_t>(ms * 1000) : 0; }

// Leaves out what too few values support: a p99.9 of 200 requests is one request's.
void WriteLatency(const base::Histogram& latency, const std::string& suffix, Play& play) {
  if (latency.count() == 0) return;
  play.figures["mean_ms" + suffix] = latency.mean() / 1000;
  for (const auto& [name, share] :
       {std::pair{"p50_ms", 0.5}, {"p90_ms", 0.9}, {"p99_ms", 0.99}, {"p999_ms", 0.999}}) {
    if (latency.Supports(share)) {
      play.figures[name + suffix] = static_cast<double>(latency.Quantile(share)) / 1000;
    }
  }
}

}  // namespace

Recorder::Recorder(const Experiment& experiment)
    : experiment_(experiment),
      classes_(experiment.classes.size()),
      fine_(static_cast<std::size_t>(experiment.traffic.seconds / kFine) + 1),
      coarse_width_(std::max(kCoarse, std::ceil(experiment.traffic.seconds / kMostCoarse / kFine) * kFine)),
      coarse_(static_cast<std::size_t>(experiment.traffic.seconds / coarse_width_) + 1) {
  for (auto& window : coarse_) window = std::make_unique<Coarse>();
}

void Recorder::Add(Count& count, End end) {
  ++(end == End::kInAim     ? count.in_aim
     : end == End::kLate    ? count.late
     : end == End::kRefused ? count.refused
                            : count.failed);
}

void Recorder::Arrived(const Arrival& arrival, Millis late_by) {
  ++arrived_;
  lateness_.Add(Micros(late_by));
  ++fine_[static_cast<std::size_t>(arrival.at / kFine)].arrived;
  ++coarse_[static_cast<std::size_t>(arrival.at / coarse_width_)]->count.arrived;
  if (arrival.at >= experiment_.traffic.warm_up) {
    ++classes_[static_cast<std::size_t>(arrival.class_index)].count.arrived;
  }
}

void Recorder::Ended(const Arrival& arrival, End end, Millis took) {
  const bool served = end == End::kInAim || end == End::kLate;
  Add(fine_[static_cast<std::size_t>(arrival.at / kFine)], end);
  Coarse& coarse = *coarse_[static_cast<std::size_t>(arrival.at / coarse_width_)];
  Add(coarse.count, end);
  if (served) coarse.latency.Add(Micros(took));
  if (arrival.at < experiment_.traffic.warm_up) return;
  ClassFigures& figures = classes_[static_cast<std::size_t>(arrival.class_index)];
  Add(figures.count, end);
  if (served) figures.latency.Add(Micros(took));
}

double Recorder::Share(Millis from, Millis to) const {
  Count sum;
  const auto last = std::min(fine_.size(), static_cast<std::size_t>(std::max(0.0, to / kFine)));
  for (auto i = static_cast<std::size_t>(std::max(0.0, from / kFine)); i < last; ++i) {
    sum.arrived += fine_[i].arrived;
    sum.in_aim += fine_[i].in_aim;
  }
  return sum.arrived < kFewest ? -1 : static_cast<double>(sum.in_aim) / static_cast<double>(sum.arrived);
}

// How long until the share in aim is what it was, and what was lost until then.
void Recorder::WriteRecovery(const Fault& fault, std::size_t number, Play& play) const {
  const std::string suffix = "/" + std::to_string(number);
  const double before = Share(std::max(experiment_.traffic.warm_up, fault.at - kBefore), fault.at);
  if (before < 0) return;
  const Millis end = experiment_.traffic.seconds;
  Millis at = std::floor(fault.at / kFine) * kFine;
  const Millis first = at;
  // The dip may begin later than the fault does: recovered only after the last window that was too low.
  Millis recovered = first;
  for (; at + kSettled <= end; at += kFine) {
    const double share = Share(at, at + kSettled);
    if (share >= 0 && share < kWithin * before) recovered = at + kFine;
    const bool next = std::any_of(experiment_.faults.begin(), experiment_.faults.end(), [&](const Fault& f) {
      return f.at > fault.at + kSettled && f.at <= at + kSettled;
    });
    if (next) break;  // the next fault's dip is its own
  }
  double missed = 0;
  for (auto i = static_cast<std::size_t>(first / kFine); i < fine_.size(); ++i) {
    if (static_cast<double>(i) * kFine >= std::max(recovered, first + kSettled)) break;
    missed += before * static_cast<double>(fine_[i].arrived) - static_cast<double>(fine_[i].in_aim);
  }
  play.figures["recovery_s" + suffix] = (recovered - first) / 1000;
  play.figures["missed_in_aim" + suffix] = missed;
}

void Recorder::Write(Play& play) const {
  base::Histogram all;
  Count sum;
  double worth = 0, got = 0;
  for (std::size_t i = 0; i < classes_.size(); ++i) {
    const ClassSpec& spec = experiment_.classes[i];
    const Count& c = classes_[i].count;
    all.Merge(classes_[i].latency);
    sum.arrived += c.arrived;
    sum.in_aim += c.in_aim;
    sum.late += c.late;
    sum.refused += c.refused;
    sum.failed += c.failed;
    worth += spec.worth * static_cast<double>(c.arrived);
    got += spec.worth * (static_cast<double>(c.in_aim) + spec.late_worth * static_cast<double>(c.late));
    if (c.arrived > 0) {
      play.figures["in_aim/" + spec.name] = static_cast<double>(c.in_aim) / static_cast<double>(c.arrived);
    }
    WriteLatency(classes_[i].latency, "/" + spec.name, play);
  }
  WriteLatency(all, "", play);
  play.figures["requests"] = static_cast<double>(arrived_);
  if (sum.arrived > 0) {
    const auto share = [&](std::uint64_t count) {
      return static_cast<double>(count) / static_cast<double>(sum.arrived);
    };
    play.figures["goodput"] = got / worth;
    play.figures["in_aim"] = share(sum.in_aim);
    play.figures["late"] = share(sum.late);
    play.figures["refused"] = share(sum.refused);
    play.figures["failed"] = share(sum.failed);
    play.figures["served"] = share(sum.in_aim + sum.late);
  }
  play.figures["lateness_p50_ms"] = static_cast<double>(lateness_.Quantile(0.5)) / 1000;
  play.figures["lateness_p99_ms"] = static_cast<double>(lateness_.Quantile(0.99)) / 1000;
  play.figures["lateness_max_ms"] = static_cast<double>(lateness_.max()) / 1000;
  for (std::size_t i = 0; i < experiment_.faults.size(); ++i)
    WriteRecovery(experiment_.faults[i], i + 1, play);
  for (std::size_t i = 0; i < coarse_.size(); ++i) {
    const Count& c = coarse_[i]->count;
    if (c.arrived == 0) continue;
    play.windows.push_back({static_cast<double>(i) * coarse_width_, c.arrived, c.in_aim, c.late, c.refused,
                            c.failed, static_cast<double>(coarse_[i]->latency.Quantile(0.5)) / 1000,
                            static_cast<double>(coarse_[i]->latency.Quantile(0.99)) / 1000});
  }
}

}  // namespace gateway::lab
