#include "lab/schedule.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/uniform_01.hpp>

namespace gateway::lab {
namespace {

int Pick(const std::vector<double>& shares, double draw) {
  double sum = 0;
  for (const double share : shares) sum += share;
  double at = draw * sum;
  for (std::size_t i = 0; i + 1 < shares.size(); ++i) {
    if (at < shares[i]) return static_cast<int>(i);
    at -= shares[i];
  }
  return static_cast<int>(shares.size()) - 1;
}

// The low rate of bursty traffic, and how much longer it lasts than the high one: the mean stays the stated
// rate.
constexpr double kLowShare = 0.5;

}  // namespace

std::string Arrival::ToText() const {
  return fmt::format("{} {:.6f} {} {} {} {:.9f} {:.6f}", number, at, class_index, tenant, zone, gateway_draw,
                     work);
}

Schedule::Schedule(const Experiment& experiment, std::uint64_t seed)
    : experiment_(experiment), arrivals_(seed), details_(seed ^ 0x9e3779b97f4a7c15ULL) {
  for (const ClassSpec& c : experiment.classes) class_shares_.push_back(c.share);
  for (const auto& [name, share] : experiment.traffic.tenants) {
    tenants_.push_back(name);
    tenant_shares_.push_back(share);
  }
  if (tenants_.empty()) {
    tenants_.push_back("all");
    tenant_shares_.push_back(1);
  }
  if (experiment.traffic.bursty) Dwell();
}

double Schedule::Uniform() { return boost::random::uniform_01<double>()(details_); }

void Schedule::Dwell() {
  const Traffic& traffic = experiment_.traffic;
  const double stretch = (traffic.burst_factor - 1) / (1 - kLowShare);  // low lasts this many times as long
  const Millis mean = high_ ? traffic.burst_length : traffic.burst_length * std::max(0.01, stretch);
  changes_at_ += boost::random::exponential_distribution<double>(1 / mean)(arrivals_);
}

double Schedule::RateAt(Millis time) const {
  const Traffic& traffic = experiment_.traffic;
  double rate = traffic.rate / 1000;
  if (traffic.bursty) rate *= high_ ? traffic.burst_factor : kLowShare;
  for (const Fault& fault : experiment_.faults) {
    if (fault.kind != FaultKind::kBurst || time < fault.at) continue;
    if (fault.lasts == 0 || time < fault.at + fault.lasts) rate *= fault.size;
  }
  return rate;
}

std::optional<Arrival> Schedule::Next() {
  // A unit of exponential time is spent at the rates in force, piece by piece.
  double left = boost::random::exponential_distribution<double>(1)(arrivals_);
  for (;;) {
    Millis until = experiment_.traffic.seconds;
    if (experiment_.traffic.bursty) until = std::min(until, changes_at_);
    for (const Fault& fault : experiment_.faults) {
      if (fault.kind != FaultKind::kBurst) continue;
      if (fault.at > now_) until = std::min(until, fault.at);
      if (fault.lasts > 0 && fault.at + fault.lasts > now_) until = std::min(until, fault.at + fault.lasts);
    }
    const double rate = RateAt(now_);
    if (now_ + left / rate < until) {
      now_ += left / rate;
      break;
    }
    left -= (until - now_) * rate;
    now_ = until;
    if (now_ >= experiment_.traffic.seconds) return std::nullopt;
    if (experiment_.traffic.bursty && now_ >= changes_at_) {
      high_ = !high_;
      Dwell();
    }
  }
  Arrival arrival;
  arrival.number = number_++;
  arrival.at = now_;
  arrival.class_index = Pick(class_shares_, Uniform());
  arrival.tenant = Pick(tenant_shares_, Uniform());
  arrival.zone = std::min(static_cast<int>(Uniform() * static_cast<double>(experiment_.fleet.zones.size())),
                          static_cast<int>(experiment_.fleet.zones.size()) - 1);
  arrival.gateway_draw = Uniform();
  const Millis work = experiment_.classes[static_cast<std::size_t>(arrival.class_index)].work;
  arrival.work = boost::random::exponential_distribution<double>(1 / work)(details_);
  return arrival;
}

std::vector<std::string> FaultTimeline(const Experiment& experiment) {
  std::vector<std::pair<Millis, std::string>> lines;
  for (const Fault& fault : experiment.faults) {
    lines.emplace_back(fault.at, fault.text);
    if (fault.lasts > 0) lines.emplace_back(fault.at + fault.lasts, "end of " + fault.text);
  }
  std::stable_sort(lines.begin(), lines.end(),
                   [](const auto& a, const auto& b) { return a.first < b.first; });
  std::vector<std::string> text;
  text.reserve(lines.size());
  for (const auto& [at, what] : lines) text.push_back(fmt::format("{:.3f} s {}", at / 1000, what));
  return text;
}

}  // namespace gateway::lab
