// An emulated host without sockets: what it does with the requests that reach it, in the time that it is
// handed.
#ifndef GATEWAY_LAB_HOST_MODEL_HPP_
#define GATEWAY_LAB_HOST_MODEL_HPP_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "lab/experiment.hpp"

namespace gateway::lab {

// Requests take a slot or wait in order of arrival; those in slots share the cores evenly, none faster than
// one core (so with as many slots as cores this is the queue M/M/c). A host that has just started is slower,
// evenly less so until it is warm, and falls over when it is sent too much before (the operators' rule 8.2).
// Times never run back.
class HostModel {
 public:
  using Job = std::uint64_t;
  enum class Fate { kInWork, kWaiting, kTurnedAway };
  enum class EventKind { kBegun, kDone, kExpired };  // expired: its time was over before its work was done
  struct Event {
    EventKind kind;
    Job job;
    bool ran;  // had begun; of kExpired
  };

  // `started`: when it started, for its warmth; nothing: long ago.
  HostModel(const HostKind& kind, const ColdStart& cold, std::optional<Millis> started);

  // A request has come whole. It is given up at `gives_up`. What happened to others until now comes with
  // Advance().
  Fate Offer(Millis now, Job job, Millis work, Millis gives_up);
  void Cancel(Millis now, Job job);  // nobody wants it any more: its work stops
  void SetSpeed(Millis now, double factor);

  std::optional<Millis> NextAt() const;  // when Advance() has something to tell, as things stand
  void Advance(Millis now, std::vector<Event>& events);

  std::size_t held() const { return jobs_.size(); }
  bool cold(Millis now) const { return Warmth(now) < 1; }
  bool fallen() const { return fallen_; }  // more was sent to it while cold than the rule allows

 private:
  struct State {
    Millis work = 0;  // all of it
    Millis gives_up = 0;
    double ends_at = 0;  // of the service given to each job in work
    bool in_work = false;
  };

  double Warmth(Millis time) const;
  double WarmTime(Millis from, Millis to) const;  // the integral of the warmth
  Millis AfterWarmTime(Millis from, double warm_time) const;
  double Share() const;    // of a core of speed 1, for each job in work, when warm
  void Serve(Millis now);  // brings service_ up to now
  void Begin(Job job, State& state);
  void Remove(Job job);
  void FillSlots();
  void CountCold(Millis now, Millis work);

  const HostKind kind_;
  const ColdStart cold_;
  const std::optional<Millis> started_;
  double factor_ = 1;
  Millis now_ = 0;
  double service_ = 0;  // work done so far for a job that was in work all the time
  std::unordered_map<Job, State> jobs_;
  std::set<std::pair<double, Job>> in_work_;  // by where the service has to get to
  std::deque<Job> waiting_;                   // cancelled ones stay until their turn
  std::set<std::pair<Millis, Job>> expiries_;
  std::vector<Event> events_;
  std::deque<std::pair<Millis, Millis>> sent_cold_;  // time and work
  Millis sent_cold_sum_ = 0;
  bool fallen_ = false;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_HOST_MODEL_HPP_
