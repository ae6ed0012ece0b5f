#include "lab/host_model.hpp"

#include <algorithm>
#include <cmath>

namespace gateway::lab {
namespace {

constexpr double kFallSlack = 1.1;  // "a little slack for chance", by the bench's page

}  // namespace

HostModel::HostModel(const HostKind& kind, const ColdStart& cold, std::optional<Millis> started)
    : kind_(kind), cold_(cold), started_(started), now_(started.value_or(0)) {}

double HostModel::Warmth(Millis time) const {
  if (!started_ || time >= *started_ + cold_.warm_after) return 1;
  return cold_.from + (1 - cold_.from) * std::max(0.0, time - *started_) / cold_.warm_after;
}

double HostModel::WarmTime(Millis from, Millis to) const {
  if (!started_) return to - from;
  const Millis warm_at = *started_ + cold_.warm_after;
  const Millis ramp_end = std::clamp(warm_at, from, to);
  return (ramp_end - from) * (Warmth(from) + Warmth(ramp_end)) / 2 + (to - ramp_end);
}

Millis HostModel::AfterWarmTime(Millis from, double warm_time) const {
  if (!started_ || from >= *started_ + cold_.warm_after) return from + warm_time;
  const Millis warm_at = *started_ + cold_.warm_after;
  const double in_ramp = WarmTime(from, warm_at);
  if (warm_time >= in_ramp) return warm_at + (warm_time - in_ramp);
  // warm_time = w t + s t^2 / 2, for the t from now on
  const double w = Warmth(from), s = (1 - cold_.from) / cold_.warm_after;
  return from + (std::sqrt(w * w + 2 * s * warm_time) - w) / s;
}

double HostModel::Share() const {
  if (in_work_.empty()) return 0;
  const double over = std::max(0.0, static_cast<double>(jobs_.size()) - 2 * kind_.cores);
  const double cores = std::min(1.0, kind_.cores / static_cast<double>(in_work_.size()));
  return cores * kind_.speed * factor_ / (1 + kind_.thrash * over);
}

void HostModel::Serve(Millis now) {
  now = std::max(now, now_);
  if (!in_work_.empty()) service_ += WarmTime(now_, now) * Share();
  now_ = now;
}

void HostModel::Begin(Job job, State& state) {
  state.in_work = true;
  state.ends_at = service_ + state.work;
  in_work_.emplace(state.ends_at, job);
  events_.push_back({EventKind::kBegun, job, true});
}

void HostModel::Remove(Job job) {
  const auto found = jobs_.find(job);
  if (found == jobs_.end()) return;
  expiries_.erase({found->second.gives_up, job});
  if (found->second.in_work) in_work_.erase({found->second.ends_at, job});
  jobs_.erase(found);
}

void HostModel::FillSlots() {
  while (!waiting_.empty() && static_cast<int>(in_work_.size()) < kind_.slots) {
    const Job job = waiting_.front();
    waiting_.pop_front();
    const auto found = jobs_.find(job);
    if (found != jobs_.end() && !found->second.in_work) Begin(job, found->second);
  }
}

void HostModel::CountCold(Millis now, Millis work) {
  if (!cold(now)) return;
  sent_cold_.emplace_back(now, work);
  sent_cold_sum_ += work;
  while (sent_cold_.front().first < now - cold_.fall_window) {
    sent_cold_sum_ -= sent_cold_.front().second;
    sent_cold_.pop_front();
  }
  const double capacity = kind_.cores * kind_.speed * Warmth(now);
  if (sent_cold_sum_ > cold_.fall_multiple * capacity * cold_.fall_window * kFallSlack) fallen_ = true;
}

HostModel::Fate HostModel::Offer(Millis now, Job job, Millis work, Millis gives_up) {
  Advance(now, events_);
  CountCold(now, work);
  const bool room = static_cast<int>(in_work_.size()) < kind_.slots;
  if (!room && static_cast<int>(jobs_.size() - in_work_.size()) >= kind_.waiting) return Fate::kTurnedAway;
  State& state = jobs_[job];
  state.work = work;
  state.gives_up = gives_up;
  expiries_.emplace(gives_up, job);
  if (!room) {
    waiting_.push_back(job);
    return Fate::kWaiting;
  }
  Begin(job, state);
  return Fate::kInWork;
}

void HostModel::Cancel(Millis now, Job job) {
  Advance(now, events_);
  Remove(job);
  FillSlots();
}

void HostModel::SetSpeed(Millis now, double factor) {
  Advance(now, events_);
  factor_ = factor;
}

std::optional<Millis> HostModel::NextAt() const {
  if (!events_.empty()) return now_;
  std::optional<Millis> next;
  if (!in_work_.empty())
    next = AfterWarmTime(now_, std::max(0.0, in_work_.begin()->first - service_) / Share());
  if (!expiries_.empty() && (!next || expiries_.begin()->first < *next)) next = expiries_.begin()->first;
  return next;
}

void HostModel::Advance(Millis now, std::vector<Event>& events) {
  if (&events != &events_) {
    events.insert(events.end(), events_.begin(), events_.end());
    events_.clear();
  }
  for (;;) {
    const Millis done =
        in_work_.empty() ? now + 1
                         : AfterWarmTime(now_, std::max(0.0, in_work_.begin()->first - service_) / Share());
    const Millis expired = expiries_.empty() ? now + 1 : expiries_.begin()->first;
    if (std::min(done, expired) > now) break;
    Serve(std::min(done, expired));
    const bool ends = done <= expired;
    const Job job = ends ? in_work_.begin()->second : expiries_.begin()->second;
    if (ends) service_ = std::max(service_, in_work_.begin()->first);
    events.push_back({ends ? EventKind::kDone : EventKind::kExpired, job, jobs_[job].in_work});
    Remove(job);
    FillSlots();
    if (&events != &events_) {
      events.insert(events.end(), events_.begin(), events_.end());
      events_.clear();
    }
  }
  Serve(now);
}

}  // namespace gateway::lab
