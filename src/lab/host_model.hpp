// The model of an emulated host, which executes, queues, rejects or expires the requests that it receives.
// The model is a state machine without I/O and clock.
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

// A request occupies a slot or waits in a FIFO queue. Requests in slots share the cores evenly, and each
// request uses at most one core. With as many slots as cores, Poisson arrivals and exponentially distributed
// work, the host is an M/M/c queue. A host that has just started warms up: its capacity rises linearly from a
// fraction of the full capacity. It is overloaded if it receives too much work during its warm-up. Times are
// in ms of the caller's clock and must not decrease.
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

  // `started_at`: when the host started; empty: it has already warmed up.
  HostModel(const HostGroup& group, const HostWarmUp& warm_up, std::optional<Millis> started_at);

  // Submits a request, which expires if it has not finished at `expires_at`. The next Advance reports the
  // events of other jobs up to `now`.
  Admission Submit(Millis now, Job job, Millis work, Millis expires_at);

  // Ends a job without an event. Does nothing if the job has ended.
  void Cancel(Millis now, Job job);

  void SetSpeed(Millis now, double factor);

  // The time of the next event if the model is not changed before; empty if no event is due.
  std::optional<Millis> NextEventAt() const;

  // Appends all events up to `now`, in order of time.
  void Advance(Millis now, std::vector<Event>& events);

  // Number of executing and queued jobs.
  std::size_t active_jobs() const { return jobs_.size(); }

  // Whether the host received more work during its warm-up than the limit allows.
  bool overloaded() const { return overloaded_; }

 private:
  struct JobState {
    Millis work = 0;
    Millis expires_at = 0;
    double finish_service = 0;  // value of service_per_job_ at which the job finishes
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
  double service_per_job_ = 0;  // work in ms that a job would have got if it had executed since the start
  std::unordered_map<Job, JobState> jobs_;
  std::set<std::pair<double, Job>> executing_;  // ordered by finish_service
  std::deque<Job> queue_;                       // ended jobs are skipped when they reach the front
  std::set<std::pair<Millis, Job>> expiries_;
  std::vector<Event> pending_events_;  // reported by the next Advance
  std::deque<std::pair<Millis, Millis>>
      warm_up_work_;  // time and work of requests within the overload window
  Millis warm_up_work_sum_ = 0;
  bool overloaded_ = false;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_HOST_MODEL_HPP_
