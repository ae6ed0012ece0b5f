#include "lab/host_model.hpp"

#include <algorithm>
#include <cmath>

namespace gateway::lab {
namespace {

constexpr double kOverloadTolerance = 1.1;    // raises the limit, since the work varies at random
constexpr double kThrashFreeJobsPerCore = 2;  // more jobs reduce the capacity

}  // namespace

HostModel::HostModel(const HostGroup& group, const HostWarmUp& warm_up, std::optional<Millis> started_at)
    : group_(group), warm_up_(warm_up), started_at_(started_at), now_(started_at.value_or(0)) {}

// Returns the capacity at this time as a share of the full capacity.
double HostModel::WarmUpFraction(Millis time) const {
  if (!started_at_ || time >= *started_at_ + warm_up_.duration) return 1;
  const double elapsed_share = std::max(0.0, time - *started_at_) / warm_up_.duration;
  return warm_up_.initial_fraction + (1 - warm_up_.initial_fraction) * elapsed_share;
}

// Returns the time in which a host at full capacity does the work that this host does between `from` and
// `to`. This is the integral of WarmUpFraction.
Millis HostModel::FullCapacityTime(Millis from, Millis to) const {
  if (!started_at_) return to - from;
  const Millis warm_up_end = *started_at_ + warm_up_.duration;
  const Millis ramp_end = std::clamp(warm_up_end, from, to);
  return (ramp_end - from) * (WarmUpFraction(from) + WarmUpFraction(ramp_end)) / 2 + (to - ramp_end);
}

// Returns the time at which the host has done as much work since `from` as a host at full capacity does in
// `full_capacity_time`. This is the inverse of FullCapacityTime.
Millis HostModel::TimeAfter(Millis from, Millis full_capacity_time) const {
  if (!started_at_ || from >= *started_at_ + warm_up_.duration) return from + full_capacity_time;
  const Millis warm_up_end = *started_at_ + warm_up_.duration;
  const Millis within_ramp = FullCapacityTime(from, warm_up_end);
  if (full_capacity_time >= within_ramp) return warm_up_end + (full_capacity_time - within_ramp);
  // Solves full_capacity_time = fraction * t + slope * t^2 / 2 for t.
  const double fraction = WarmUpFraction(from);
  const double slope = (1 - warm_up_.initial_fraction) / warm_up_.duration;
  return from + (std::sqrt(fraction * fraction + 2 * slope * full_capacity_time) - fraction) / slope;
}

// Returns the work done per ms for each executing job, for a host that has warmed up.
double HostModel::RatePerJob() const {
  if (executing_.empty()) return 0;
  const double excess_jobs =
      std::max(0.0, static_cast<double>(jobs_.size()) - kThrashFreeJobsPerCore * group_.cores);
  const double cores_per_job = std::min(1.0, group_.cores / static_cast<double>(executing_.size()));
  return cores_per_job * group_.speed * speed_factor_ / (1 + group_.thrash_factor * excess_jobs);
}

// Returns the time at which the next executing job finishes. At least one job must be executing.
Millis HostModel::NextFinishAt() const {
  return TimeAfter(now_, std::max(0.0, executing_.begin()->first - service_per_job_) / RatePerJob());
}

void HostModel::AdvanceService(Millis now) {
  now = std::max(now, now_);
  if (!executing_.empty()) service_per_job_ += FullCapacityTime(now_, now) * RatePerJob();
  now_ = now;
}

void HostModel::Start(Job job, JobState& state) {
  state.executing = true;
  state.finish_service = service_per_job_ + state.work;
  executing_.emplace(state.finish_service, job);
  pending_events_.push_back({EventKind::kStarted, job, true});
}

void HostModel::Remove(Job job) {
  const auto found = jobs_.find(job);
  if (found == jobs_.end()) return;
  const JobState& state = found->second;
  expiries_.erase({state.expires_at, job});
  if (state.executing) executing_.erase({state.finish_service, job});
  jobs_.erase(found);
}

void HostModel::FillSlots() {
  while (!queue_.empty() && static_cast<int>(executing_.size()) < group_.slots) {
    const Job job = queue_.front();
    queue_.pop_front();
    const auto found = jobs_.find(job);
    if (found != jobs_.end() && !found->second.executing) Start(job, found->second);
  }
}

void HostModel::RecordWarmUpWork(Millis now, Millis work) {
  if (!IsWarmingUp(now)) return;
  warm_up_work_.emplace_back(now, work);
  warm_up_work_sum_ += work;
  while (warm_up_work_.front().first < now - warm_up_.overload_window) {
    warm_up_work_sum_ -= warm_up_work_.front().second;
    warm_up_work_.pop_front();
  }
  const double capacity = group_.cores * group_.speed * WarmUpFraction(now);
  const double max_work = warm_up_.overload_factor * capacity * warm_up_.overload_window * kOverloadTolerance;
  if (warm_up_work_sum_ > max_work) overloaded_ = true;
}

HostModel::Admission HostModel::Submit(Millis now, Job job, Millis work, Millis expires_at) {
  Advance(now, pending_events_);
  RecordWarmUpWork(now, work);
  const bool has_slot = static_cast<int>(executing_.size()) < group_.slots;
  const int queued = static_cast<int>(jobs_.size() - executing_.size());
  if (!has_slot && queued >= group_.queue_capacity) return Admission::kRejected;
  JobState& state = jobs_[job];
  state.work = work;
  state.expires_at = expires_at;
  expiries_.emplace(expires_at, job);
  if (!has_slot) {
    queue_.push_back(job);
    return Admission::kQueued;
  }
  Start(job, state);
  return Admission::kStarted;
}

void HostModel::Cancel(Millis now, Job job) {
  Advance(now, pending_events_);
  Remove(job);
  FillSlots();
}

void HostModel::SetSpeed(Millis now, double factor) {
  Advance(now, pending_events_);
  speed_factor_ = factor;
}

std::optional<Millis> HostModel::NextEventAt() const {
  if (!pending_events_.empty()) return now_;
  std::optional<Millis> next;
  if (!executing_.empty()) next = NextFinishAt();
  if (!expiries_.empty() && (!next || expiries_.begin()->first < *next)) next = expiries_.begin()->first;
  return next;
}

void HostModel::MovePendingEvents(std::vector<Event>& events) {
  if (&events == &pending_events_) return;
  events.insert(events.end(), pending_events_.begin(), pending_events_.end());
  pending_events_.clear();
}

void HostModel::Advance(Millis now, std::vector<Event>& events) {
  MovePendingEvents(events);
  for (;;) {
    const Millis finish = executing_.empty() ? now + 1 : NextFinishAt();
    const Millis expiry = expiries_.empty() ? now + 1 : expiries_.begin()->first;
    if (std::min(finish, expiry) > now) break;
    AdvanceService(std::min(finish, expiry));
    const bool finishes = finish <= expiry;
    const Job job = finishes ? executing_.begin()->second : expiries_.begin()->second;
    // Rounding must not decrease the value.
    if (finishes) service_per_job_ = std::max(service_per_job_, executing_.begin()->first);
    events.push_back({finishes ? EventKind::kFinished : EventKind::kExpired, job, jobs_[job].executing});
    Remove(job);
    FillSlots();
    MovePendingEvents(events);
  }
  AdvanceService(now);
}

}  // namespace gateway::lab
