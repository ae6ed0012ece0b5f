// What a Policy remembers: plain data without decisions, and the check of its settings.
#ifndef GATEWAY_POLICY_STATE_HPP_
#define GATEWAY_POLICY_STATE_HPP_

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <limits>
#include <map>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "gateway/policy.hpp"
#include "policy/counts.hpp"
#include "policy/hash.hpp"
#include "policy/server_ring.hpp"

namespace gateway::policy {

constexpr Millis kForever = std::numeric_limits<Millis>::infinity();

// Throws std::invalid_argument naming the field that can't work. Returns the classes' summed worth.
double Validate(const Settings& settings);

struct Kind {  // what servers of one kind have in common
  double latency = 0, long_term_latency = 0, base_latency = 0;
  double busy = 0;                       // reported utilisation, smoothed
  double served = 0, endpoint_time = 0;  // answers of warm servers, and their time, both fading
  int samples = 0;
};

struct Backend;
struct Zone {
  Millis answered = kNever;      // last, by any of its servers
  std::set<std::string> silent;  // ids of those that timed out or could not be reached since
};

struct Backend : LearnedState::EndpointStatistics {
  EndpointInfo info;
  Kind* kind = nullptr;
  Zone* zone = nullptr;
  std::uint64_t hash = 0, list = 0;  // list: the last one that named it
  bool up = false, mine = false;     // listed as such; in this gateway's subset
  int refs = 0;                      // attempts of living requests that name it
  int in_flight = 0;                 // own attempts out
  double busy = 0;                   // reported utilisation, smoothed
  double places = 1;                 // the limit rounded by chance to whole requests
  Millis rests_until = kNever;
  int turned_away = 0;  // requests in a row
  struct Errors {       // of one class
    int in_a_row = 0;
    Millis avoid_until = kNever;
  };
  std::vector<Errors> errors;  // by class
  Millis next_trial = 0;
  Millis trial_gap = 0;
  Millis last_served = kNever;
  double cold_credit = 0;  // requests that it may be sent while cold
  Millis credit_at = 0;
};

struct Attempt {
  Backend* server;
  Millis sent;
  bool out = true;
  bool may_have_run = true;
  bool streaming = false;  // its answer has begun: what is left is its end
};

// A request that the gateway has taken, until it is answered and all its attempts have ended.
struct Flow {
  std::string id;
  int cls = 0;
  std::uint64_t key = 0;  // 0 = none
  Millis arrived = 0, aim_at = 0, leaves_at = 0;
  Millis repeat_by = kForever;  // a repeat of what may have run has to arrive while repeats are dropped
  bool in_share = true;
  bool answered = false;
  bool queued = false;
  bool held = true;  // could be sent again
  std::vector<Attempt> attempts;

  bool AnyOut() const { return std::ranges::any_of(attempts, &Attempt::out); }
  // The first attempt that may have run decides where a keyed request may still go.
  const Attempt* FirstRun() const {
    const auto found = std::ranges::find_if(attempts, &Attempt::may_have_run);
    return found == attempts.end() ? nullptr : &*found;
  }
  bool NeverRan() const { return FirstRun() == nullptr; }
};

struct Tier
    : LearnedState::TrafficClass {  // one class: its settings, what was learned of it, credit and queues
  TrafficClassSettings set;
  double weight = 0;
  double credit = 0;
  std::deque<Flow*> retries, in_share, over_share;

  std::size_t Size() const { return retries.size() + in_share.size() + over_share.size(); }
  std::deque<Flow*>& Line() { return !retries.empty() ? retries : !in_share.empty() ? in_share : over_share; }
};

struct Tenant {
  double per_ms = 0;
  double tokens = 0;
  Millis at = 0;
};

// All that one Policy remembers.
struct State {
  Settings set_;
  std::mt19937_64 random_;
  std::vector<Tier> classes_;
  std::unordered_map<std::string, int> class_index_;  // looked up, never iterated
  std::unordered_map<std::string, Tenant> tenants_;   // the same
  std::unordered_map<std::string, Flow> flows_;       // the same
  std::map<std::string, Kind> kinds_;
  std::map<std::string, Zone> zones_;
  std::map<std::string, Backend> servers_;  // ordered: iteration must be repeatable
  using Ranked = std::pair<double, Backend*>;
  std::vector<Ranked> candidates_, avoided_;
  ServerRing ring_;                        // those that are up
  std::vector<Backend*> subset_, trials_;  // what this gateway uses, by id; due for a trial
  std::set<Backend*> measured_, down_;     // ever measured; not up, kept while a request names them
  std::vector<double> scratch_;
  std::vector<Flow*> due_;
  std::vector<Action>* out_ = nullptr;
  bool started_ = false;
  std::size_t busy_at_ = 0;  // place of the utilisation in a load report; past its end if not reported
  Millis now_ = 0;
  Millis ask_at_ = kNever, ask_gap_ = 0;
  Millis cut_after_ = kNever, cut_at_ = kNever, quiet_until_ = kNever;
  double tokens_ = 1, rate_ = 0, spent_rate_ = 0, failing_ = 0;
  double spent_part_ = 0;                    // part of its memory that the spent rate has seen
  double arriving_ = 0, arriving_part_ = 0;  // first tries per ms, smoothed; part of its memory seen
  Millis swept_at_ = kNever, counted_at_ = kNever;
  double mean_latency_ = 0, reference_ = 0, retry_budget_ = 1, trial_budget_ = 1;
  int samples_ = 0, up_ = 0, near_up_ = 0;  // near: in the own zone
  std::size_t queued_ = 0, lists_ = 0;      // lists that have come, changes too
  Counts counts_;
  double place_ = 0;        // of this gateway on the ring of servers
  std::uint64_t salt_ = 0;  // its own, by which it draws servers of other zones
  double sharers_ = 1;      // gateways that use each server
  double used_ = 0;         // servers that this one wants to use

  Flow* Find(const std::string& id) {
    const auto found = flows_.find(id);
    return found == flows_.end() ? nullptr : &found->second;
  }

  void Hold(Flow& flow, std::deque<Flow*>& line) {
    flow.queued = true;
    ++queued_;
    line.push_back(&flow);
  }

  void Unqueue(Flow& flow) {
    if (!flow.queued) return;
    Tier& c = classes_[flow.cls];
    for (auto* line : {&c.retries, &c.in_share, &c.over_share}) std::erase(*line, &flow);
    flow.queued = false;
    --queued_;
  }

  double Median() {
    scratch_.clear();
    for (const Backend* b : measured_) {
      if (b->up && b->latency > 0) scratch_.push_back(b->latency);
    }
    if (scratch_.empty()) return 0;
    const auto middle = scratch_.begin() + static_cast<std::ptrdiff_t>(scratch_.size() / 2);
    std::nth_element(scratch_.begin(), middle, scratch_.end());
    return *middle;
  }

  // A class's latency over the mean of all: 1 until something was learned.
  double Relative(int cls) const {
    const double latency = classes_[cls].latency;
    return latency > 0 && mean_latency_ > 0 ? latency / mean_latency_ : 1;
  }

  double Uniform() { return static_cast<double>(random_() >> 11) / 9007199254740992.0; }
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_STATE_HPP_
