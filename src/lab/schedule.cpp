#include "lab/schedule.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/uniform_01.hpp>

namespace gateway::lab {
namespace {

// Returns the index that a uniform draw from 0 to 1 selects, with probabilities in proportion to the shares.
int PickByShare(const std::vector<double>& shares, double draw) {
  double sum = 0;
  for (const double share : shares) sum += share;
  double remaining = draw * sum;
  for (std::size_t i = 0; i + 1 < shares.size(); ++i) {
    if (remaining < shares[i]) return static_cast<int>(i);
    remaining -= shares[i];
  }
  return static_cast<int>(shares.size()) - 1;
}

constexpr double kLowRateShare = 0.5;        // low rate of bursty traffic as a share of its mean rate
constexpr double kMinLowToHighRatio = 0.01;  // keeps the mean time at the low rate above 0
constexpr double kMillisPerSecond = 1000;
// Gives the details of the arrivals a random sequence that differs from that of the arrival times.
constexpr std::uint64_t kDetailSeedMask = 0x9e3779b97f4a7c15ULL;

}  // namespace

std::string Arrival::ToText() const {
  return fmt::format("{} {:.6f} {} {} {} {:.9f} {:.6f}", number, at, class_index, tenant, zone, gateway_draw,
                     work);
}

Schedule::Schedule(const Experiment& experiment, std::uint64_t seed)
    : experiment_(experiment), arrival_random_(seed), detail_random_(seed ^ kDetailSeedMask) {
  for (const TrafficClass& item : experiment.classes) class_shares_.push_back(item.share);
  for (const auto& [name, share] : experiment.traffic.tenants) {
    tenants_.push_back(name);
    tenant_shares_.push_back(share);
  }
  if (tenants_.empty()) {
    tenants_.push_back("all");
    tenant_shares_.push_back(1);
  }
  if (experiment.traffic.bursty) DrawNextRateSwitch();
}

double Schedule::Uniform() { return boost::random::uniform_01<double>()(detail_random_); }

// Draws the time of the next switch between the high and the low rate. The mean times at both rates are such
// that the mean rate is the configured rate.
void Schedule::DrawNextRateSwitch() {
  const Traffic& traffic = experiment_.traffic;
  const double low_to_high_ratio = (traffic.burst_factor - 1) / (1 - kLowRateShare);
  const Millis mean = at_high_rate_ ? traffic.burst_length
                                    : traffic.burst_length * std::max(kMinLowToHighRatio, low_to_high_ratio);
  next_rate_switch_at_ += boost::random::exponential_distribution<double>(1 / mean)(arrival_random_);
}

double Schedule::RateAt(Millis time) const {
  const Traffic& traffic = experiment_.traffic;
  double rate = traffic.rate / kMillisPerSecond;
  if (traffic.bursty) rate *= at_high_rate_ ? traffic.burst_factor : kLowRateShare;
  for (const Fault& fault : experiment_.faults) {
    if (fault.kind != FaultKind::kBurst || time < fault.at) continue;
    if (fault.duration == 0 || time < fault.at + fault.duration) rate *= fault.magnitude;
  }
  return rate;
}

// Returns the time of the next change of the rate, or the end of the schedule if the rate does not change
// again.
Millis Schedule::NextRateChange() const {
  Millis next = experiment_.traffic.duration;
  if (experiment_.traffic.bursty) next = std::min(next, next_rate_switch_at_);
  for (const Fault& fault : experiment_.faults) {
    if (fault.kind != FaultKind::kBurst) continue;
    if (fault.at > now_) next = std::min(next, fault.at);
    const Millis end = fault.at + fault.duration;
    if (fault.duration > 0 && end > now_) next = std::min(next, end);
  }
  return next;
}

// Advances the time to the next arrival; returns false if the schedule ends before the next arrival. Between
// two arrivals, the integral of the rate is exponentially distributed with mean 1. The function draws this
// integral and subtracts the share of each interval of constant rate.
bool Schedule::AdvanceToNextArrival() {
  double remaining = boost::random::exponential_distribution<double>(1)(arrival_random_);
  for (;;) {
    const Millis change = NextRateChange();
    const double rate = RateAt(now_);
    if (now_ + remaining / rate < change) {
      now_ += remaining / rate;
      return true;
    }
    remaining -= (change - now_) * rate;
    now_ = change;
    if (now_ >= experiment_.traffic.duration) return false;
    if (experiment_.traffic.bursty && now_ >= next_rate_switch_at_) {
      at_high_rate_ = !at_high_rate_;
      DrawNextRateSwitch();
    }
  }
}

Arrival Schedule::DrawArrival() {
  const int zones = static_cast<int>(experiment_.fleet.zones.size());
  Arrival arrival;
  arrival.number = next_number_++;
  arrival.at = now_;
  arrival.class_index = PickByShare(class_shares_, Uniform());
  arrival.tenant = PickByShare(tenant_shares_, Uniform());
  arrival.zone = std::min(static_cast<int>(Uniform() * zones), zones - 1);
  arrival.gateway_draw = Uniform();
  const Millis mean_work = experiment_.classes[static_cast<std::size_t>(arrival.class_index)].work;
  arrival.work = boost::random::exponential_distribution<double>(1 / mean_work)(detail_random_);
  return arrival;
}

std::optional<Arrival> Schedule::Next() {
  if (!AdvanceToNextArrival()) return std::nullopt;
  return DrawArrival();
}

std::vector<std::string> FaultTimeline(const Experiment& experiment) {
  std::vector<std::pair<Millis, std::string>> lines;
  for (const Fault& fault : experiment.faults) {
    lines.emplace_back(fault.at, fault.description);
    if (fault.duration > 0) {
      lines.emplace_back(fault.at + fault.duration, "end of " + fault.description);
    }
  }
  std::stable_sort(lines.begin(), lines.end(),
                   [](const auto& a, const auto& b) { return a.first < b.first; });
  std::vector<std::string> text;
  text.reserve(lines.size());
  for (const auto& [at, description] : lines)
    text.push_back(fmt::format("{:.3f} s {}", at / kMillisPerSecond, description));
  return text;
}

}  // namespace gateway::lab
