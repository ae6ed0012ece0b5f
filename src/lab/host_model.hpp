// The model of an emulated host: what it does with the requests that it gets. A state machine without I/O and
// clock.
#ifndef GATEWAY_LAB_HOST_MODEL_HPP_
#define GATEWAY_LAB_HOST_MODEL_HPP_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "lab/experiment.hpp"

namespace gateway::lab {

// Requests take a slot or wait in order of arrival. Those in slots share the cores evenly, none faster than
// one core; with as many slots as cores this is the queue M/M/c. A host that has just started has a fraction
// of its capacity, which rises evenly, and is overloaded when it gets too much work meanwhile. Times are in
// ms of the caller's clock and never run backwards.
class HostModel {
 public:
  using Job = std::uint64_t;  // a request at this host
  enum class Admission { kStarted, kQueued, kRejected };
  enum class EventKind { kStarted, kFinished, kExpired };
  struct Event {
    EventKind kind;
    Job job;
    bool was_started;  // kExpired: whether its execution had begun
  };

  // `started_at`: when the host started; nothing: so long ago that it has warmed up.
  HostModel(const HostGroup& group, const HostWarmUp& warm_up, std::optional<Millis> started_at);

  // Takes a complete request in, which expires at `expires_at` if it has not finished by then. What happens
  // to other jobs until `now` is reported by the next Advance.
  Admission Submit(Millis now, Job job, Millis work, Millis expires_at);

  // Ends a job without an event. Does nothing for one that has ended.
  void Cancel(Millis now, Job job);

  void SetSpeed(Millis now, double factor);

  // When the next event happens if nothing else does; nothing where none is due.
  std::optional<Millis> NextEventAt() const;

  // Appends all events up to `now`, in their order.
  void Advance(Millis now, std::vector<Event>& events);

  // Jobs that are executed or queued.
  std::size_t active_jobs() const { return jobs_.size(); }

  // Whether it got more work while it warmed up than a warming host withstands.
  bool overloaded() const { return overloaded_; }

 private:
  struct JobState {
    Millis work = 0;
    Millis expires_at = 0;
    double finish_service = 0;  // value of service_ at which it is finished
    bool executing = false;
  };

  bool IsWarmingUp(Millis time) const { return WarmUpFraction(time) < 1; }
  double WarmUpFraction(Millis time) const;
  Millis FullCapacityTime(Millis from, Millis to) const;
  Millis TimeAfter(Millis from, Millis full_capacity_time) const;
  double RatePerJob() const;
  Millis NextFinishAt() const;
  void AdvanceService(Millis now);
  void Start(Job job, JobState& state);
  void Remove(Job job);
  void FillSlots();
  void RecordWarmUpWork(Millis now, Millis work);
  void MovePendingEvents(std::vector<Event>& events);

  const HostGroup group_;
  const HostWarmUp warm_up_;
  const std::optional<Millis> started_at_;
  double speed_factor_ = 1;
  Millis now_ = 0;
  double service_ = 0;  // work done for a job that was executed all the time
  std::unordered_map<Job, JobState> jobs_;
  std::set<std::pair<double, Job>> executing_;  // by finish_service
  std::deque<Job> queue_;                       // cancelled ones stay until their turn
  std::set<std::pair<Millis, Job>> expiries_;
  std::vector<Event> pending_events_;  // for the next Advance
  std::deque<std::pair<Millis, Millis>>
      warm_up_work_;  // time and work of requests within the overload window
  Millis warm_up_work_sum_ = 0;
  bool overloaded_ = false;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_HOST_MODEL_HPP_
