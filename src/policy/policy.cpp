// The decisions of the gateway. Their interface (settings, events, actions): include/gateway/policy.hpp.
#include "gateway/policy.hpp"

#include <algorithm>
#include <cmath>

#include "policy/state.hpp"

namespace gateway::policy {

// ---- Constants. General choices of the mechanism, tied to no deployment. ------------------------

constexpr Millis kSweepEvery = 10;       // ms between sweeps: queue expiry
constexpr Millis kSummaryEvery = 5000;   // ms between the log lines that tell the state
constexpr Millis kAnswerBefore = 20;     // ms before the client leaves: two sweeps, timers may come late
constexpr double kStartRate = 1000;      // tokens/s a server: "starting high", far above any use
constexpr double kRaise = 0.3;           // tokens/s gained by each timely answer
constexpr double kRaiseShare = 0.05;     // part of the rate gained by it at the most
constexpr double kCut = 0.85;            // the rate keeps this much at a cut
constexpr double kTolerated = 0.2;       // failing share of recent outcomes that cuts the rate
constexpr double kToleratedMany = 0.25;  // the same where many share a server: none sees much, all add up
constexpr double kShareBurst = 3;        // requests of its share that a tenant may send at once, at the least
constexpr Millis kBurst = 50;            // ms of refill that the bucket holds
constexpr double kCreditCap = 4;         // MCF credit stays within +-this many requests
constexpr double kFast = 0.1;            // weight of a new sample in a server's latency
constexpr double kSteady = 0.02;         // the same in the average whose floor is the uncrowded latency
constexpr double kSlow = 0.01;           // weight of a new sample in a class's latency
constexpr double kBaseDrift = 0.001;     // how fast the uncrowded latency follows upwards
constexpr double kSlack = 1.1;           // uncrowded latency times this is no crowding yet
constexpr double kWarmSlack = 2;         // the same where latency moves with the keys too
constexpr double kBusySpare = 0.07;      // utilisation kept free of growth, times the root of the gateways
constexpr double kBusyGain = 4;          // how hard limits shrink beyond that
constexpr double kBusyWeight = 0.3;      // weight of a new report in a server's utilisation
constexpr double kSpareBusy = 0.6;       // utilisation above which spare traffic is held back
constexpr double kSpareShare = 0.3;      // part of a limit open to traffic beyond its share
constexpr double kManySharers = 8;       // gateways sharing a server beyond which none keeps a limit for it
constexpr double kHeadroom = 0.7;        // growth of a limit, times its root: small servers grow little
constexpr double kStartLimit = 8;        // requests, over all gateways, that an unmeasured server is given
constexpr double kReportStart = 2;       // the same where servers report: growth follows as they show room
constexpr double kLeastLimit = 1;        // the same, least that a crowded server keeps
constexpr double kErrWeight = 0.2;       // weight of a new outcome in a server's failing share
constexpr double kBrokenWeight = 0.05;   // the same of a connection that broke though the server answers
constexpr double kErrOut = 0.3;          // failing share above which a server is suspect
constexpr double kErrBack = 0.1;         // and below which, after trials, it is trusted again
constexpr Millis kTrialGap = 300;        // ms to the first trial of a suspect; doubles
constexpr Millis kTrialGapMost = 4000;   // ms; longest gap between trials
constexpr double kTrialShare = 0.05;     // trials earned by each request
constexpr double kTrialBurst = 2;        // trials that may be saved up
constexpr double kTrialTime = 0.5;  // part of the time to its aim that a trial takes: the rest is for another
constexpr std::size_t kSilentServers = 3;  // mute ones, with no answer since, that tell of a lost zone
constexpr Millis kLostAfter = 1000;        // ms of silence after which failed connections mean a death
constexpr Millis kTravel = 100;            // ms from a request's first byte to its arrival, at the most
constexpr double kRetryShare = 0.1;        // further attempts earned by each first one
constexpr double kRetryBurst = 20;         // further attempts that may be saved up
constexpr double kFirstTry = 0.95;         // part of the most time left below which it is a further try
constexpr double kWaitShare = 0.25;        // part of its time that a request waits for a token at most
constexpr double kSharers = 12;            // gateways that use a server, where there are more than that
constexpr double kLeastServers = 6;        // servers that a gateway uses at the least: some may fail together
constexpr double kOwnSpread = 3;           // servers used at the least for each own request that is out
constexpr double kWider = 1.25;       // times the servers in use that this must come to before more are used
constexpr double kHeldPart = 0.5;     // part of both where connections stay open: full tables cost capacity
constexpr double kFarShare = 0.4;     // part of the servers of other zones that come in like those of its own
constexpr double kCrossing = 1.3;     // cost of a server in another zone, times its own: crossing is priced
constexpr double kPooled = 2;         // samples that the latency of a server's kind counts for
constexpr double kColdShare = 0.7;    // part of the multiple that fells a cold server which it is sent
constexpr Millis kAskGap = 100;       // ms before a failed list call is made again; doubles
constexpr Millis kAskSpread = 40;     // ms the same at the least, for each gateway that may ask meanwhile
constexpr double kAskPart = 0.4;      // part of the longest time without asking that this may come to
constexpr Millis kFirstAskBy = 1000;  // ms from a start to the first list call at the most
constexpr Millis kAskBy = 4500;       // ms from the begin of a call that failed to the next one at the most
constexpr Millis kDoubt = 500;        // ms of each server's time that a first few answers are spread over
constexpr Millis kKindDoubt = 20000;  // ms of a server's time that the mean of all counts for in its kind's
constexpr Millis kSpentMemory = 1000;  // ms over which the spent rate is smoothed
constexpr double kLeastSpent = 0.05;   // part of that memory below which a rate can't be told yet
constexpr Millis kLongMemory = 10000;  // ms, the same where a few requests a second must give a rate
constexpr double kFailMemory = 0.05;   // least weight of an outcome in the failing share; else a second's
constexpr Millis kVerdictHalfLife = 15000;  // ms after which what a server failed counts half
constexpr Millis kLatencyHalfLife = 60000;  // ms, the same of its latency and limit
constexpr Millis kSumsHalfLife = 20000;     // ms, the same of rates and of what servers bear

class Policy::Impl : private State {
 public:
  Impl(Settings settings, std::uint64_t seed) {
    set_ = std::move(settings);
    random_.seed(seed);
    const double worth = Validate(set_);
    place_ = set_.gateway_index < 0 ? Uniform() : std::fmod(set_.gateway_index * 0.6180339887498949, 1.0);
    salt_ = Hash(std::to_string(place_));
    busy_at_ = std::ranges::find(set_.load_report_fields, "util") - set_.load_report_fields.begin();
    for (const TrafficClassSettings& c : set_.classes) {
      class_index_[c.name] = static_cast<int>(classes_.size());
      classes_.emplace_back().set = c;
      classes_.back().name = c.name;
      classes_.back().weight =
          worth > 0 ? c.priority_weight / worth : 1.0 / static_cast<double>(set_.classes.size());
    }
    for (const TenantSettings& t : set_.tenants) {
      tenants_[t.name].per_ms = t.quota_per_second / set_.gateway_count / 1000;
    }
  }

  void Handle(Millis now, const Event& event, std::vector<Action>& out) {
    out_ = &out;
    Refill(now);
    const bool first = !std::exchange(started_, true);
    std::visit([this](const auto& e) { On(e); }, event);
    if (first) Sweep();  // after the list, if that comes first
    Release();
  }

  std::size_t Avoided() const {
    const auto avoided = [](const auto& entry) { return entry.second.up && entry.second.ejected; };
    return static_cast<std::size_t>(std::ranges::count_if(servers_, avoided));
  }

  LearnedState Remember() const { return Remembered(*this, Spent()); }

  void Adopt(Millis now, const LearnedState& all) {
    Refill(now);
    const double kept = Kept(all.exported_at, kSumsHalfLife);
    const double part =
        all.gateway_count > 0 ? 1.0 * all.gateway_count / set_.gateway_count : 1;  // of what came here then
    // An old rate goes back to that of the start: what it was cut for is over.
    if (all.rate > 0) rate_ = std::min(kStartRate * std::max(1, up_), all.rate * part / kept);
    tokens_ = std::min(tokens_, std::max(2.0, rate_ * kBurst / 1000));
    spent_rate_ = all.sent_rate * part * kept;
    spent_part_ = kept;
    failing_ = all.failure_rate * kept;
    mean_latency_ = all.mean_latency;
    samples_ = all.samples;
    for (const LearnedState::MachineType& k : all.machine_types) {
      kinds_[k.name].served = k.served * kept * part;
      kinds_[k.name].endpoint_time = k.endpoint_time * kept;
    }
    swept_at_ = now_;
    LearnReference(0);
    for (const LearnedState::TrafficClass& known : all.classes) {
      const auto found = class_index_.find(known.name);
      if (found != class_index_.end())
        static_cast<LearnedState::TrafficClass&>(classes_[found->second]) = known;
    }
    std::map<const Kind*, int> kinds;
    for (const LearnedState::Endpoint& known : all.endpoints) {
      const auto found = servers_.find(known.id);
      if (found == servers_.end() || !found->second.up) continue;
      Backend& b = found->second;
      b.cold_credit = 0;  // a chance part of a request was given when the server came
      if (known.samples <= 0 || all.exported_at > now_) continue;
      if (b.info.started_at > 0 && b.info.started_at > known.started_at) continue;  // it has restarted since
      Age(b, known);
      if (b.samples <= 0) continue;
      Kind& k = *b.kind;  // the mean of its servers
      const double share = 1.0 / ++kinds[b.kind];
      k.latency += share * (b.latency - k.latency);
      k.long_term_latency += share * (b.long_term_latency - k.long_term_latency);
      k.base_latency += share * (b.base_latency - k.base_latency);
      k.samples += b.samples;
    }
    ChooseSubset();
  }

  // What is left of knowledge from then. From the future: the clock was set back, its age is unknown.
  double Kept(Millis then, Millis half_life) const {
    return then > now_ ? 0 : std::exp2((then - now_) / half_life);
  }

  // A verdict is tried again the sooner the older it is, and lapses; a latency gives way to fewer samples.
  void Age(Backend& b, const LearnedState::EndpointStatistics& known) {
    const double kept = Kept(known.last_outcome_at, kLatencyHalfLife);
    const double judged = Kept(known.last_outcome_at, kVerdictHalfLife);
    const double limit = b.concurrency_limit + kept * (known.concurrency_limit - b.concurrency_limit);
    static_cast<LearnedState::EndpointStatistics&>(b) = known;
    b.concurrency_limit = limit;
    b.places = std::max(1.0, std::floor(b.concurrency_limit));
    b.samples = static_cast<int>(kept * known.samples + 0.5);
    if (b.samples == 0) b.latency = b.long_term_latency = b.base_latency = b.samples = 0;
    if (b.samples > 0) measured_.insert(&b);
    b.failure_rate = judged * known.failure_rate;
    b.ejected = known.ejected && b.failure_rate >= kErrBack;
    if (b.ejected) b.next_trial = now_ + judged * b.trial_gap * (0.75 + 0.5 * Uniform());
  }

  void Scale(double part) {
    rate_ = std::clamp(rate_ * part, 1.0 * up_ / set_.gateway_count, kStartRate * std::max(1, up_));
    tokens_ = std::min(tokens_, std::max(2.0, rate_ * kBurst / 1000));
    for (auto& [name, k] : kinds_) k.served *= part;
    spent_rate_ *= part;
    for (auto& [id, b] : servers_) {
      b.concurrency_limit = std::max(LeastLimit(), b.concurrency_limit * part);
      b.places = std::max(1.0, std::floor(b.concurrency_limit));
    }
  }

 private:
  // ---- Membership ------------------------------------------------------------------------------

  void On(const EndpointListEvent& news) {
    if (news.kind == EndpointListEvent::Kind::kFailure) {
      // The list service may be swamped, by calls given up too: ask later each time, never all at once. But
      // what it tells must come in time, whatever failed before.
      const double jitter = ask_gap_ > 0 ? 0.75 + Uniform() / 4 : Uniform();
      ask_gap_ = std::min(std::max({kAskGap, AskSpread(), ask_gap_ * 2}),
                          std::max(set_.maximum_poll_interval / 4, 2 * AskSpread()));
      ask_at_ =
          now_ +
          std::clamp(kAskBy - news.call_duration, 0.0, set_.poll_endpoint_list ? ask_gap_ : kAskGap) * jitter;
      return;
    }
    ask_gap_ = 0;
    ++lists_;
    for (const EndpointInfo& s : news.endpoints) Learn(s);
    if (news.kind == EndpointListEvent::Kind::kSnapshot) {
      for (auto& [id, b] : servers_) SetUp(b, b.up && b.list == lists_);
    }
    up_ = static_cast<int>(ring_.size());
    ChooseSubset();  // before any is forgotten: the subset until now names servers
    std::erase_if(down_, [this](Backend* b) { return b->up || (b->refs == 0 && Forget(*b)); });
  }

  Millis AskSpread() const {
    return std::min({kAskSpread * (set_.gateway_count - 1), kAskPart * set_.maximum_poll_interval, kAskBy});
  }

  // Servers that own requests need, however few others share them: clients may come to one gateway most.
  double Busy() const {
    return kOwnSpread * arriving_ / std::max(arriving_part_, kLeastSpent) * mean_latency_;
  }

  // Subsetting: where many gateways share the servers each keeps to a few, for a few requests a second over
  // all tell nothing of any, and connections fill the servers' tables. Gateways start by the golden ratio of
  // their index: any run of them covers the ring, on which kinds lie evenly. The next comes in for an ejected
  // one.
  void ChooseSubset() {
    for (Backend* b : subset_) b->mine = false;
    subset_.clear();
    const double part = set_.streams_per_connection > 1 ? kHeldPart : 1;
    const double wanted = used_ =
        part * std::max({kLeastServers, kSharers * up_ / set_.gateway_count, Busy()});
    sharers_ = std::max(1.0, set_.gateway_count * std::min(1.0, wanted / std::max(1.0, 1.0 * up_)));
    double chosen = 0;
    ServerRing::Walk walk(ring_, static_cast<std::size_t>(place_ * up_));
    for (std::size_t i = 0; i < 2 * ring_.size() && chosen < wanted; ++i) {
      Backend& b = walk.Next();
      const bool far = near_up_ > 0 && !Near(b) && Fraction(b.hash ^ salt_) > kFarShare;
      if (b.mine || (far && i < ring_.size())) continue;
      b.mine = true;
      chosen += !b.ejected;
      subset_.push_back(&b);
    }
    std::ranges::sort(subset_, {}, [](const Backend* b) -> const std::string& { return b->info.id; });
  }
  bool Near(const Backend& b) const { return b.info.zone == set_.zone; }
  bool ManySharers() const { return sharers_ > kManySharers; }

  void Learn(const EndpointInfo& s) {
    const auto [entry, added] = servers_.try_emplace(s.id);
    Backend& b = entry->second;
    const bool restarted = added || s.started_at > b.info.started_at;
    if (s.machine_type != b.info.machine_type || s.zone != b.info.zone)
      SetUp(b, false);  // its place is another one
    b.info = s;
    b.list = lists_;
    b.kind = &kinds_[s.machine_type];
    b.zone = &zones_[s.zone];
    if (added) b.hash = Hash(s.id);
    SetUp(b, s.state == EndpointState::kUp);
    if (!(b.info.weight > 0) || !std::isfinite(b.info.weight)) b.info.weight = 1;
    if (restarted) Renew(b, s.started_at > 0 ? s.started_at : kNever);  // 0: up for long
  }

  void SetUp(Backend& b, bool up) {
    if (!up) down_.insert(&b);
    if (std::exchange(b.up, up) == up) return;
    up ? ring_.Insert(b) : ring_.Erase(b);
    near_up_ += Near(b) ? (up ? 1 : -1) : 0;
  }

  bool Forget(Backend& b) {
    measured_.erase(&b);
    return servers_.erase(b.info.id) > 0;
  }

  // A new process: cold, and nothing known of the old one holds for it.
  void Renew(Backend& b, Millis since) {
    b.started_at = std::max(b.started_at, since);
    b.cold_credit = Uniform();
    b.credit_at = now_;
    b.latency = b.long_term_latency = b.base_latency = b.failure_rate = b.busy = b.samples = 0;
    b.concurrency_limit = b.places = StartLimit();
    b.ejected = b.restart_suspected = false;
    b.turned_away = 0;
    b.errors.assign(classes_.size(), {});
    b.trial_gap = kTrialGap;
  }

  // ---- EndpointInfo readiness ------------------------------------------------------------------------

  // The share of its capacity that a started server surely has by now.
  double Warmth(const Backend& b) const {
    const Millis age = now_ - b.started_at;
    if (age >= set_.warm_up_duration) return 1;
    return set_.warm_up_initial_fraction +
           (1 - set_.warm_up_initial_fraction) * std::max(0.0, age) / set_.warm_up_duration;
  }

  // Rule 4: a cold server earns credit by what warm ones answer here. It starts with a chance part of a
  // request: one request each from hundreds of gateways at once would push it over.
  bool WithinBudget(Backend& b) {
    const double warmth = Warmth(b);
    if (warmth >= 1) return true;
    const double earned =
        kColdShare * set_.overload_factor * warmth * b.info.weight * Bears(*b.kind) * (now_ - b.credit_at);
    b.cold_credit = std::min(1.0, b.cold_credit + earned);
    b.credit_at = now_;
    return b.cold_credit >= 1;
  }

  // What a warm server of size 1 answers to this gateway, per ms: answers, not sends, for in a jam more is
  // sent than any server can do. Only servers that this gateway uses count: with those of all that use it, a
  // cold one's parts add up to the whole. What warm ones have not shown yet, or no more, is taken from what
  // clients ask for first. Slow kinds bear less than the mean, so each kind's own answers come in.
  void LearnReference(Millis passed) {
    double all = 0;
    const double keep = std::exp(-passed / kLongMemory);
    for (auto& [name, k] : kinds_) k.served *= keep, k.endpoint_time *= keep;
    for (const Backend* b : subset_) {
      if (b->ejected) continue;
      all += b->info.weight;
      if (Warmth(*b) >= 1) b->kind->endpoint_time += passed * b->info.weight;
    }
    double served = 0, time = 0;
    for (const auto& [name, k] : kinds_) served += k.served, time += k.endpoint_time;
    const double asked = arriving_ / std::max(arriving_part_, kLeastSpent);
    reference_ = (served + kDoubt * asked) / std::max(1.0, time + kDoubt * all);
  }
  double Bears(const Kind& k) const {
    return (k.served + kKindDoubt * reference_) / (k.endpoint_time + kKindDoubt);
  }

  double Slack() const { return set_.endpoints_cache_keys ? kWarmSlack : kSlack; }
  bool Ready(Backend& b, bool in_share) {
    // Where many share a server, a limit each is a fraction of a request learned from next to nothing. There
    // the rate alone admits, and what is beyond a share goes only while all goes well: it took tokens too.
    if (ManySharers()) return (in_share || failing_ < kToleratedMany) && WithinBudget(b);
    if (now_ < b.rests_until) return false;
    const double part = in_share || b.kind->busy < kSpareBusy ? 1 : kSpareShare;
    return b.in_flight < b.places * part && WithinBudget(b);
  }

  // A zone is lost before each of its servers could show it: several were mute, with no answer since.
  bool Silent(const Backend& b) const { return zones_.size() > 1 && b.zone->silent.size() >= kSilentServers; }

  void Suspect(Backend& b) {
    if (!std::exchange(b.ejected, true)) {
      Say("server " + b.info.id + " not ready: failing");
      ChooseSubset();
    }
    b.next_trial = now_ + b.trial_gap * (0.75 + 0.5 * Uniform());
    b.trial_gap = std::min(b.trial_gap * 2, kTrialGapMost);
  }

  // How far it reports to be too busy for many gateways, none knowing what the others send next.
  double Overuse(const Backend& b) const {
    return (b.busy + b.kind->busy) / 2 - (1 - kBusySpare * std::sqrt(set_.gateway_count));
  }

  void Hear(Backend& b, const std::vector<double>& load) {
    if (busy_at_ >= load.size() || !(load[busy_at_] >= 0)) return;
    const double busy = std::min(load[busy_at_], 1.1);  // noise may show more than all
    b.busy += kBusyWeight * (busy - b.busy);
    b.kind->busy += kBusyWeight / 3 * (busy - b.kind->busy);
  }

  void Judge(Backend& b, const Flow& flow, const AttemptOutcome& outcome) {
    const bool served = outcome.result == AttemptResult::kServed;
    if (outcome.result == AttemptResult::kRejected) {  // full is not ill; its latency shows the crowding
      if (b.ejected) Suspect(b);  // but one that hangs fills up: a trial that it turns away has failed
      // It needs time to work off what it has, and one that drains takes nothing more before the list tells.
      b.rests_until = now_ + std::min(kTrialGap, b.latency * std::exp2(std::min(b.turned_away++, 30)));
      return;
    }
    if (served) b.turned_away = 0;
    b.last_outcome_at = now_;
    // A server may fail one class alone: what only that needs is broken. The others hide it in its share.
    Backend::Errors& errors = b.errors[flow.cls];
    if (served) errors = {};
    if (outcome.result == AttemptResult::kError) {
      errors.avoid_until =
          now_ + std::min(kTrialGapMost, kTrialGap * std::exp2(std::min(errors.in_a_row++, 30)));
    }
    // A crowded server fails connections too: only one that long served nothing may be a new process.
    const bool dropped =
        outcome.result == AttemptResult::kConnectFailed || outcome.result == AttemptResult::kReset;
    if (dropped && b.failure_rate >= kErrWeight && now_ - b.last_served > kLostAfter)
      b.restart_suspected = true;
    // One slow request among others that were answered meanwhile says nothing about the server.
    const bool heavy = outcome.result == AttemptResult::kTimedOut && b.last_served > now_ - outcome.latency;
    // A connection that broke while the process lives says little: the network may break a share of all.
    const bool broken = outcome.result == AttemptResult::kReset && b.last_served > now_ - kLostAfter;
    if (served) b.last_served = now_, b.zone->answered = now_, b.zone->silent.clear();
    const bool mute =
        outcome.result == AttemptResult::kTimedOut || outcome.result == AttemptResult::kConnectFailed;
    if (mute && now_ - outcome.latency > b.zone->answered) b.zone->silent.insert(b.info.id);
    if (served && Warmth(b) >= 1) b.kind->served += 1;
    if (!heavy)
      b.failure_rate += (broken ? kBrokenWeight : kErrWeight) * ((served ? 0.0 : 1.0) - b.failure_rate);
    if (served && b.ejected) {
      b.next_trial = now_;
      b.trial_gap = kTrialGap;
      b.ejected = b.failure_rate >= kErrBack;
      if (b.restart_suspected) Renew(b, now_);
      if (!b.ejected) {
        Say("server " + b.info.id + " ready again");
        ChooseSubset();
      }
    } else if (!served && !heavy && (b.failure_rate > kErrOut || b.ejected)) {
      Suspect(b);
    }
    // Nor do they show crowding: a silent attempt has the length of its time-out, not of any queue.
    if (heavy || broken) return;
    const double sample = outcome.latency / Relative(flow.cls);
    // A failure never lowers the latency: fast errors would look like a fast server.
    if (served || sample > b.latency) Measure(b, sample, served);
    // A few gateways may have to share a server that takes fewer requests than there are gateways.
    if (b.concurrency_limit < 1) b.rests_until = now_ + outcome.latency * (1 / b.concurrency_limit - 1);
    // Drawn anew each time: rounding up would crowd a server by a request for each gateway.
    b.places = std::max(1.0, std::floor(b.concurrency_limit + Uniform()));
  }

  // Learns the limit of own requests that a server takes uncrowded, from how its latency grows.
  void Measure(Backend& b, double sample, bool served) {
    ++b.samples;
    measured_.insert(&b);
    b.latency += std::max(kFast, 1.0 / b.samples) * (sample - b.latency);
    Kind& k = *b.kind;
    ++k.samples;
    k.latency += std::max(kFast / 2, 1.0 / k.samples) * (sample - k.latency);
    if (served) LearnBase(b, sample);
    if (b.base_latency <= 0) return;
    const double ratio = std::sqrt(b.latency / b.base_latency * k.latency / k.base_latency);
    const double overuse = Overuse(b);
    const double gradient = std::clamp(std::min(Slack() / ratio, 1 - kBusyGain * overuse), 0.2, 1.0);
    const double growth = overuse > 0 || !served ? 0 : kHeadroom * std::sqrt(b.concurrency_limit / sharers_);
    const double target = b.concurrency_limit * gradient + growth;
    if (target > b.concurrency_limit && 2.0 * (b.in_flight + 1) < b.concurrency_limit)
      return;  // not in use: no evidence
    b.concurrency_limit =
        std::max(LeastLimit(),
                 b.concurrency_limit + (target - b.concurrency_limit) / std::max(2.0, b.concurrency_limit));
  }

  void LearnBase(Backend& b, double sample) {
    Kind& k = *b.kind;
    k.long_term_latency += std::max(kSteady, 1.0 / k.samples) * (sample - k.long_term_latency);
    if (k.samples < 20 || k.long_term_latency < k.base_latency) k.base_latency = k.long_term_latency;
    k.base_latency += kBaseDrift / 4 * (k.long_term_latency - k.base_latency);
    b.long_term_latency += std::max(kSteady, 1.0 / b.samples) * (sample - b.long_term_latency);
    const double known = std::min(1.0, b.samples * kSteady);
    b.base_latency = known < 1 ? known * b.long_term_latency + (1 - known) * k.base_latency
                               : std::min(b.base_latency, b.long_term_latency);
    b.base_latency += kBaseDrift * (b.latency - b.base_latency);
  }

  // A server that keeps warm for its keys holds more before it is crowded, from the start on.
  double StartLimit() const {
    return (busy_at_ < set_.load_report_fields.size() ? kReportStart : kStartLimit * Slack() / kSlack) /
           sharers_;
  }
  double LeastLimit() const { return kLeastLimit / sharers_; }

  // ---- Pick ------------------------------------------------------------------------------------

  double Cost(const Backend& b) {
    // A few samples of a server tell little: where many share it they are shrunk toward those of its kind.
    const double pooled = ManySharers() && b.kind->latency > 0 ? kPooled : 0;
    const double own = std::min(1.0 * b.samples, 1 / kFast), all = own + pooled;
    const double latency = (own * b.latency + pooled * b.kind->latency) / std::max(1.0, all);
    return (Near(b) ? 1 : kCrossing) * (b.in_flight + 1) * (all > 0 ? latency : std::max(1.0, Median()));
  }

  // Rule 2: a keyed request that may have run stays with the servers that drop its repeats.
  bool Allowed(const Flow& flow, const Backend& b) const {
    const TrafficClassSettings& c = classes_[flow.cls].set;
    const Attempt* first = c.idempotency == Idempotency::kIdempotencyKey ? flow.FirstRun() : nullptr;
    if (first == nullptr) return true;
    if (now_ >= flow.repeat_by) return false;
    const EndpointInfo& at = first->server->info;
    return c.deduplication_scope == DeduplicationScope::kAll ||
           (c.deduplication_scope == DeduplicationScope::kZone ? at.zone == b.info.zone
                                                               : at.cell == b.info.cell);
  }

  // The better of two ready servers by (own in-flight + 1) x smoothed latency, or null.
  Backend* Pick(const Flow& flow) {
    const bool safe = classes_[flow.cls].set.idempotency == Idempotency::kIdempotent && flow.attempts.empty();
    const Backend* last = flow.attempts.empty() ? nullptr : flow.attempts.back().server;
    candidates_.clear();
    avoided_.clear();
    trials_.clear();
    for (Backend* b : subset_) {
      if (b == last || !Allowed(flow, *b)) continue;
      // A suspect returns by one trial at a time, with a request that may run again.
      if (b->ejected || Silent(*b)) {
        if (safe && now_ >= b->next_trial && b->in_flight == 0 && WithinBudget(*b)) trials_.push_back(b);
        continue;
      }
      if (!Ready(*b, flow.in_share)) continue;
      (now_ < b->errors[flow.cls].avoid_until ? avoided_ : candidates_).push_back({0, b});
    }
    if (candidates_.empty()) candidates_.swap(avoided_);  // where all fail the class, one may have recovered
    // Trials cost requests, and those of all gateways add up at a server: few, unless nobody else is there.
    if (!trials_.empty() && (trial_budget_ >= 1 || candidates_.empty())) {
      trial_budget_ = std::max(0.0, trial_budget_ - 1);
      return trials_[random_() % trials_.size()];
    }
    if (candidates_.empty()) return nullptr;
    if (candidates_.size() > 2) {
      if (set_.endpoints_cache_keys && flow.key != 0) {
        // Weighted rendezvous: lowest first; a server's coming or going moves only its own keys.
        for (auto& [rank, b] : candidates_) rank = -std::log(Fraction(flow.key ^ b->hash)) / b->info.weight;
        std::ranges::partial_sort(candidates_, candidates_.begin() + 2, {}, &Ranked::first);
      } else {
        const std::size_t n = candidates_.size();
        std::swap(candidates_[0], candidates_[random_() % n]);
        std::swap(candidates_[1], candidates_[1 + random_() % (n - 1)]);
      }
    }
    Backend* const one = candidates_.front().second;
    Backend* const two = candidates_.size() > 1 ? candidates_[1].second : one;
    return Cost(*two) < Cost(*one) ? two : one;
  }

  // ---- Bucket and rate -------------------------------------------------------------------------

  void Refill(Millis now) {
    const Millis passed = started_ ? std::max(0.0, now - now_) : 0;
    now_ = started_ ? std::max(now_, now) : std::isfinite(now) ? now : 0;  // this order also outlives NaN
    const bool first = rate_ <= 0 && up_ > 0;
    if (first) rate_ = kStartRate * up_;
    const double full = std::max(2.0, rate_ * kBurst / 1000);
    tokens_ = first ? full : std::min(tokens_ + rate_ * passed / 1000, full);
    const double kept = std::exp(-passed / SpentMemory());
    spent_rate_ *= kept;
    spent_part_ = 1 - kept * (1 - spent_part_);
    const double remembered = std::exp(-passed / kLongMemory);
    arriving_ *= remembered;
    arriving_part_ = 1 - remembered * (1 - arriving_part_);
  }

  // Tokens spent a second. What the smoothing has not seen yet counts for nothing: a process that has sent
  // for a tenth of a second would pass for one that hardly sends, and a cut would leave it next to no rate.
  double Spent() const { return spent_rate_ / std::max(spent_part_, kLeastSpent); }
  Millis SpentMemory() const { return kSpentMemory * (ManySharers() ? 4 : 1); }

  // Failures that one server explains eject it; only those of servers held ready move the rate. A broken
  // connection tells nothing of load: one that can't take more rejects, is late, or fails to connect.
  void MoveRate(const Backend& b, const Flow& flow, const AttemptOutcome& outcome, Millis sent) {
    if (b.ejected || Silent(b) || outcome.result == AttemptResult::kReset) return;
    const bool served = outcome.result == AttemptResult::kServed;
    const bool timely = served && now_ <= flow.aim_at;
    if (!timely && sent < cut_at_) return;  // sent at the old rate: it has been cut for that
    failing_ += std::clamp(1 / (1 + rate_), kFailMemory, kErrWeight) * ((timely ? 0.0 : 1.0) - failing_);
    if (timely) {
      rate_ = std::min(rate_ + std::min(kRaise, kRaiseShare * rate_), kStartRate * std::max(1, up_));
    } else if (failing_ > (ManySharers() ? kToleratedMany : kTolerated) && now_ >= cut_after_) {
      rate_ = std::max(1.0 * up_ / set_.gateway_count, std::min(rate_, Spent()) * kCut);
      cut_at_ = now_;
      cut_after_ = now_ + std::max(100.0, Median());  // one cut a round trip
      Say("rate cut to " + std::to_string(static_cast<int>(rate_)) + "/s");
    }
  }

  // ---- Queues and Most Credit First ------------------------------------------------------------

  bool InShare(const std::string& tenant) {
    if (tenants_.empty()) return true;
    const auto it = tenants_.find(tenant);
    if (it == tenants_.end()) return false;  // an unknown tenant has no share
    Tenant& t = it->second;
    if (t.per_ms <= 0) return true;
    t.tokens = std::min(t.tokens + (now_ - t.at) * t.per_ms, std::max(kShareBurst, t.per_ms * 1000));
    t.at = now_;
    if (t.tokens < 1) return false;
    t.tokens -= 1;
    return true;
  }

  void On(const Request& r) {
    const auto found = class_index_.find(r.class_name);
    if (flows_.contains(r.id)) return;
    if (found == class_index_.end()) return Emit(Reject{r.id, 0});  // no such class: never sent
    Flow& flow = flows_[r.id];
    Tier& c = classes_[found->second];
    flow.id = r.id;
    flow.cls = found->second;
    flow.key = r.key.empty() ? 0 : Hash(r.key) | 1;
    flow.arrived = now_;
    ++counts_.arrived;
    const Millis left = std::isfinite(r.time_left) ? std::max(0.0, r.time_left) : 0.0;
    flow.leaves_at = now_ + left;
    // A further try has less time left than a first one. If its aim is long past, it is worth as little
    // as what a tenant sends beyond its share: a jam would feed on answers that come too late.
    c.longest_time_left = std::max(c.longest_time_left, left);
    const Millis spent = left < kFirstTry * c.longest_time_left ? std::max(0.0, c.set.deadline - left) : 0;
    const bool late = spent >= c.set.latency_objective;
    if (spent <= 0) arriving_ += 1 / kLongMemory;
    flow.aim_at = std::min(now_ + c.set.latency_objective, flow.leaves_at);
    flow.in_share = !late && InShare(r.tenant);
    retry_budget_ = std::min(retry_budget_ + kRetryShare, kRetryBurst);
    trial_budget_ = std::min(trial_budget_ + (ManySharers() ? kTrialShare : 1), kTrialBurst);
    const bool in_vain = late && c.set.late_weight <= 0;      // worth nothing any more
    if (in_vain || now_ >= flow.leaves_at - kAnswerBefore) {  // or no sweep may come in time
      ++counts_.late;
      return Answer(flow);
    }
    if (queued_ == 0 && tokens_ > 0) {
      if (Backend* b = Pick(flow)) {
        ++counts_.direct;
        return Dispatch(flow, *b);
      }
    }
    Enqueue(flow);
  }

  void Enqueue(Flow& flow) {
    Tier& c = classes_[flow.cls];
    const double most = Spent() * c.set.latency_objective / 1000 + 32;  // more can't be served in time
    if (static_cast<double>(c.Size()) >= most) {
      ++counts_.full;
      if (!flow.in_share || c.over_share.empty()) return Answer(flow);
      Flow* evicted = c.over_share.back();
      Unqueue(*evicted);
      Answer(*evicted);
    }
    Hold(flow, flow.in_share ? c.in_share : c.over_share);
  }

  // A token must come soon: what waits longer is sent with too little time left, fails, and has the rate cut
  // again. And the answer must come before the client leaves.
  Millis HoldUntil(const Flow& flow) const {
    return std::min(flow.arrived + kWaitShare * (flow.aim_at - flow.arrived), flow.leaves_at - kAnswerBefore);
  }

  // All, not the heads alone: one with less time than those before it must not run out of it behind them.
  void ExpireQueued() {
    due_.clear();
    for (Tier& c : classes_) {
      for (auto* line : {&c.retries, &c.in_share, &c.over_share}) {
        for (Flow* flow : *line) {
          if (now_ >= HoldUntil(*flow)) due_.push_back(flow);
        }
      }
    }
    for (Flow* flow : due_) {
      ++counts_.waited;
      Unqueue(*flow);
      Answer(*flow);
    }
  }

  // Spends tokens on the queues: each token goes to the backlogged class with the most credit.
  void Release() {
    std::uint64_t stuck = 0;  // classes whose head no server can take now
    while (queued_ > 0 && tokens_ > 0) {
      Tier* best = nullptr;
      for (Tier& c : classes_) {
        if (c.Size() == 0 || (stuck >> (&c - classes_.data()) & 1)) continue;
        if (best == nullptr || c.credit + c.weight > best->credit + best->weight) best = &c;
      }
      if (best == nullptr) return;
      Flow& flow = *best->Line().front();
      Backend* b = Pick(flow);
      if (b == nullptr) {
        stuck |= std::uint64_t{1} << (best - classes_.data());
        continue;
      }
      // Where all backlogged classes are in debt the least indebted goes: a token never idles.
      for (Tier& c : classes_) c.credit = std::min(kCreditCap, c.credit + (c.Size() > 0 ? c.weight : 0));
      best->credit = std::max(-kCreditCap, best->credit - 1);
      Unqueue(flow);
      ++counts_.released;
      counts_.held += now_ - flow.arrived;
      Dispatch(flow, *b);
    }
  }

  // ---- Attempts and answers --------------------------------------------------------------------

  void Dispatch(Flow& flow, Backend& b) {
    Millis until = classes_[flow.cls].set.late_weight > 0 ? flow.leaves_at : flow.aim_at;
    if ((b.ejected || Silent(b)) && ManySharers() && flow.attempts.empty())
      until = now_ + kTrialTime * (flow.aim_at - now_);
    tokens_ -= 1;
    spent_rate_ += 1000 / SpentMemory();
    if (Warmth(b) < 1) b.cold_credit -= 1;
    ++b.in_flight;
    ++b.refs;
    flow.attempts.push_back({&b, now_});
    Emit(Send{flow.id, b.info.id, std::max(1.0, until - now_), flow.repeat_by - now_});
  }

  void On(AttemptOutcome o) {
    Flow* const known = Find(o.request);
    if (!known || o.attempt < 0 || o.attempt >= static_cast<int>(known->attempts.size())) return;
    Flow& flow = *known;
    Attempt& attempt = flow.attempts[o.attempt];
    if (!std::exchange(attempt.out, false)) return;
    if (!std::isfinite(o.latency) || o.latency < 0)
      o.latency = now_ - attempt.sent;  // never into an estimate
    attempt.may_have_run = o.result != AttemptResult::kRejected &&
                           o.result != AttemptResult::kConnectFailed && o.result != AttemptResult::kNotSent;
    const TrafficClassSettings& c = classes_[flow.cls].set;
    if (attempt.may_have_run && c.idempotency == Idempotency::kIdempotencyKey)
      flow.repeat_by = std::min(flow.repeat_by, attempt.sent + c.deduplication_window - kTravel);
    Backend& b = *attempt.server;
    flow.held = o.request_buffered;
    if (attempt.streaming) {  // judged by its begin; an answer that broke off counts against the server still
      if (o.result == AttemptResult::kReset || o.result == AttemptResult::kTimedOut) {
        o.result = AttemptResult::kReset;
        o.latency = 0;
        Judge(b, flow, o);
      }
      return Settle(flow);
    }
    --b.in_flight;
    Heard(flow, attempt, o);
    if (o.request_finished || o.result == AttemptResult::kServed) flow.answered = true;
    if (!flow.answered && !flow.AnyOut() && !flow.queued) return TryAgain(flow, o.result);
    Settle(flow);
  }

  // What an outcome tells of the class, of the rate and of the server.
  void Heard(const Flow& flow, const Attempt& attempt, const AttemptOutcome& o) {
    Backend& b = *attempt.server;
    ++counts_.outcomes[static_cast<int>(o.result)];
    counts_.slow += o.result == AttemptResult::kServed && now_ > flow.aim_at;
    if (o.result == AttemptResult::kServed) LearnClass(classes_[flow.cls], o.latency);
    if (o.result != AttemptResult::kCancelled &&
        o.result != AttemptResult::kNotSent) {  // these tell nothing of the server
      MoveRate(b, flow, o, attempt.sent);       // first: by whether the server was held ready until now
      Hear(b, o.load);
      Judge(b, flow, o);
    }
  }

  void LearnClass(Tier& c, Millis latency) {
    c.latency += std::max(kSlow, 1.0 / ++c.samples) * (latency - c.latency);
    mean_latency_ += std::max(kSlow, 1.0 / ++samples_) * (latency - mean_latency_);
  }

  // Another attempt only where it is legal, can still be in time, and the server was to blame.
  void TryAgain(Flow& flow, AttemptResult result) {
    const TrafficClassSettings& c = classes_[flow.cls].set;
    const bool legal = flow.NeverRan() || c.idempotency != Idempotency::kNotIdempotent;
    const bool heavy = result == AttemptResult::kTimedOut && !flow.attempts.back().server->ejected;
    const bool in_time = now_ + classes_[flow.cls].latency < flow.aim_at;
    const bool more = static_cast<int>(flow.attempts.size()) < set_.max_attempts && flow.held;
    if (!legal || heavy || !in_time || !more || retry_budget_ < 1) {
      ++counts_.spoiled;
      return Answer(flow);
    }
    retry_budget_ -= 1;
    Hold(flow, classes_[flow.cls].retries);
  }

  // The final answer to a request with no attempt out. A refusal says that trying again is harmless.
  void Answer(Flow& flow) {
    const TrafficClassSettings& c = classes_[flow.cls].set;
    const bool harmless =
        flow.NeverRan() || c.idempotency == Idempotency::kIdempotent ||
        (c.idempotency == Idempotency::kIdempotencyKey && c.deduplication_scope == DeduplicationScope::kAll);
    Emit(harmless ? Action(Reject{flow.id, RetryAfter()}) : Action(Fail{flow.id}));
    flow.answered = true;
    Settle(flow);
  }

  Millis RetryAfter() const {
    if (!set_.send_retry_after) return 0;
    return std::min(set_.maximum_retry_after, 1000 * static_cast<double>(queued_) / std::max(Spent(), 1.0));
  }

  // Forgets a request that is answered and has nothing out. `flow` may be gone afterwards.
  void Settle(Flow& flow) {
    if (!flow.answered || flow.queued || flow.AnyOut()) return;
    for (const Attempt& a : flow.attempts) --a.server->refs;
    flows_.erase(flow.id);
  }

  void On(const ClientDisconnected& gone) {
    Flow* const known = Find(gone.request);
    if (known == nullptr) return;
    Flow& flow = *known;
    Unqueue(flow);
    flow.answered = true;
    for (std::size_t i = 0; set_.can_cancel_attempts && i < flow.attempts.size(); ++i) {
      if (flow.attempts[i].out) Emit(Cancel{flow.id, static_cast<int>(i)});
    }
    Settle(flow);
  }

  // The client owns it now, and the server has done its work: all is learned. Its outcome is still awaited.
  void On(const ResponseStarted& s) {
    Flow* const flow = Find(s.request);
    if (flow == nullptr) return;
    flow->answered = true;
    if (s.attempt < 0 || s.attempt >= static_cast<int>(flow->attempts.size())) return;
    Attempt& attempt = flow->attempts[s.attempt];
    if (!attempt.out || std::exchange(attempt.streaming, true)) return;
    --attempt.server->in_flight;
    Heard(*flow, attempt,
          {s.request,
           s.attempt,
           attempt.server->info.id,
           AttemptResult::kServed,
           true,
           now_ - attempt.sent,
           {}});
  }

  void On(const RequestComplete& whole) {
    Flow* const flow = Find(whole.request);
    if (flow == nullptr || flow->answered) return;
    flow->arrived = now_;
    flow->leaves_at = now_ + (std::isfinite(whole.time_left) ? std::max(0.0, whole.time_left) : 0.0);
    flow->aim_at = std::min(now_ + classes_[flow->cls].set.latency_objective, flow->leaves_at);
    for (Attempt& a : flow->attempts) {
      if (a.out) a.sent = now_;
    }
  }

  void On(const TimerFired&) { Sweep(); }

  void Sweep() {
    Emit(SetTimer{kSweepEvery, "sweep"});
    // Gateways that start together must not ask together, but what changed while they were down binds soon.
    const Millis spread = up_ > 0 ? std::min(AskSpread(), kFirstAskBy) : 0;  // evenly, by their places
    if (ask_at_ == kNever) ask_at_ = set_.poll_endpoint_list ? now_ + spread * place_ : kForever;
    if (now_ >= ask_at_) {
      Emit(WatchEndpointList{});
      ask_at_ = kForever;
    }
    const Millis last = std::exchange(swept_at_, now_);  // before the first nobody was known to be warm
    LearnReference(last == kNever ? 0 : std::min(kLongMemory, now_ - last));
    if (Busy() > kWider * used_) ChooseSubset();
    ExpireQueued();
    const bool due = now_ >= counted_at_ + kSummaryEvery;
    if (due && std::exchange(counted_at_, now_) != kNever) Emit(LogLine{Summary(*this)});
  }

  void Emit(Action action) { out_->push_back(std::move(action)); }

  // A log line, at most a few a second: trouble must not flood the gateway's log.
  void Say(std::string text) {
    if (now_ < quiet_until_) return;
    quiet_until_ = now_ + 200;
    Emit(LogLine{std::move(text)});
  }
};

Policy::Policy(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Policy::~Policy() = default;
Policy::Policy(Policy&&) noexcept = default;
Policy& Policy::operator=(Policy&&) noexcept = default;

void Policy::Handle(Millis now, const Event& event, std::vector<Action>& actions) {
  impl_->Handle(now, event, actions);
}

std::size_t Policy::EjectedEndpoints() const { return impl_->Avoided(); }
LearnedState Policy::ExportState() const { return impl_->Remember(); }
void Policy::ImportState(Millis now, const LearnedState& state) { impl_->Adopt(now, state); }
void Policy::ScaleToShare(double factor) { impl_->Scale(factor); }

}  // namespace gateway::policy
