#include "lab/experiment_run.hpp"

#include <fmt/format.h>
#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <cmath>
#include <cstdio>
#include <utility>

#include "base/clock.hpp"
#include "lab/gateway_config.hpp"

namespace gateway::lab {
namespace {

using boost::system::error_code;

constexpr Millis kTrafficDelay = 300;  // time from the gateways' readiness to the start of the traffic
constexpr Millis kTickPeriod = 50;
constexpr Millis kProgressPeriod = 1000;
// Subtracted from the times of events before the traffic. It makes these times negative, so that reports can
// skip the events.
constexpr Millis kPreTrafficOffset = 1e6;
constexpr double kMillisPerSecond = 1000;
constexpr double kMicrosPerMilli = 1000;
// The protocol allows a gateway to close a new connection without processing its first request, for at most
// this share of all requests. Requests above this share count as lost.
constexpr double kMaxClosedUnprocessed = 1.0 / 200;

std::atomic<bool> interrupted{false};

Millis ToMillis(const timeval& time) {
  return static_cast<double>(time.tv_sec) * kMillisPerSecond +
         static_cast<double>(time.tv_usec) / kMicrosPerMilli;
}

// Returns the CPU time that the lab itself has used.
Millis OwnCpuTime() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return ToMillis(usage.ru_utime) + ToMillis(usage.ru_stime);
}

std::string HostId(int host) { return fmt::format("s-{:04x}", host); }

// The targets of clients that call the gateways. The front balancer decides which gateways get new
// connections.
class GatewayTargets : public ClientTargets {
 public:
  GatewayTargets(const Experiment& experiment, const Addresses& addresses, const GatewayProcesses& gateways,
                 FirstAnswers& first_answers)
      : experiment_(experiment), addresses_(addresses), gateways_(gateways), first_answers_(first_answers) {}

  int count() const override { return gateways_.count(); }
  tcp::endpoint Address(int target) const override { return addresses_.Gateway(target); }
  int Zone(int target) const override { return GatewayZoneIndex(experiment_, target); }
  bool AcceptsConnections(int target, Millis now) const override {
    return gateways_.AcceptsConnections(target, now);
  }
  bool WasDisruptedSince(int target, Millis since) const override {
    return gateways_.WasDisruptedSince(target, since);
  }
  void OnServed(int target, Millis sent_at) override {
    first_answers_.OnServed(MonotonicNow(), target, sent_at);
  }

 private:
  const Experiment& experiment_;
  const Addresses& addresses_;
  const GatewayProcesses& gateways_;
  FirstAnswers& first_answers_;
};

// The targets of clients that call the hosts directly.
class HostTargets : public ClientTargets {
 public:
  HostTargets(const Experiment& experiment, const Addresses& addresses, FirstAnswers& first_answers)
      : experiment_(experiment), addresses_(addresses), first_answers_(first_answers) {}

  int count() const override { return experiment_.HostCount(); }
  tcp::endpoint Address(int target) const override { return addresses_.Host(0, target); }
  int Zone(int target) const override { return target % static_cast<int>(experiment_.fleet.zones.size()); }
  bool AcceptsConnections(int, Millis) const override { return true; }
  bool WasDisruptedSince(int, Millis) const override { return false; }
  void OnServed(int target, Millis sent_at) override {
    first_answers_.OnServed(MonotonicNow(), target, sent_at);
  }

 private:
  const Experiment& experiment_;
  const Addresses& addresses_;
  FirstAnswers& first_answers_;
};

}  // namespace

ExperimentRun::ExperimentRun(const Experiment& experiment, Options options)
    : experiment_(experiment),
      options_(std::move(options)),
      without_gateways_(options_.variant == "direct"),
      addresses_(io_),
      links_(io_, without_gateways_ ? 1 : experiment.fleet.gateways, experiment.HostCount(), options_.seed),
      rules_(experiment.fleet.max_attempts, experiment.fleet.drain_grace),
      recorder_(experiment),
      first_answers_(experiment),
      tick_timer_(io_) {
  result_.variant = options_.variant;
  result_.seed = options_.seed;
  rules_.SetSeed(options_.seed);
  hosts_ = std::make_unique<HostEmulator>(HostEmulator::Environment{
      io_, experiment_, addresses_, links_, rules_,
      [this](int gateway, int host) { return without_gateways_ ? -1 : list_->NotifiedAt(gateway, host); },
      options_.seed, without_gateways_ ? 1 : experiment_.fleet.gateways});
  MakeListService();
  if (!without_gateways_) MakeGateways();
  MakeClients();
}

void ExperimentRun::MakeListService() {
  std::vector<ListedHost> hosts;
  std::vector<registry::Member> members;
  for (int host = 0; host < hosts_->count(); ++host) {
    ListedHost& listed = hosts.emplace_back();
    listed.id = HostId(host);
    listed.zone = hosts_->zone(host);
    listed.machine_type = hosts_->group(host).name;
    registry::Member& member = members.emplace_back();
    member.id = listed.id;
    member.address = Addresses::Text(addresses_.Host(0, host));
    member.zone = listed.zone;
    member.machine_type = listed.machine_type;
    member.cell = "0";
  }
  if (!without_gateways_ && experiment_.fleet.uses_registry_process) {
    const std::string log = options_.log_folder.empty() ? "/dev/null" : options_.log_folder + "/registry.log";
    registry_ = std::make_unique<RegistryProcess>(
        RegistryProcess::Environment{io_, addresses_.Registry(), options_.gatewayctl, folder_.path(), log,
                                     experiment_.fleet.lease_term, experiment_.fleet.lease_grace,
                                     [this](const std::string& text) { AddEvent(text); }},
        std::move(members));
  }
  list_ = std::make_unique<ListService>(
      ListService::Environment{io_, addresses_, links_, without_gateways_ ? 0 : experiment_.fleet.gateways,
                               experiment_.fleet.list_delay, registry_.get()},
      std::move(hosts));
}

void ExperimentRun::MakeGateways() {
  const int gateways = experiment_.fleet.gateways;
  if (experiment_.fleet.peer_network) {
    peers_ = std::make_unique<PeerNetwork>(io_, addresses_, gateways, options_.seed);
  }
  std::vector<std::string> known_lists;
  known_lists.reserve(static_cast<std::size_t>(gateways));
  for (int gateway = 0; gateway < gateways; ++gateway) known_lists.push_back(list_->CompleteList(gateway));
  gateways_ = std::make_unique<GatewayProcesses>(
      GatewayProcesses::Environment{io_, experiment_, addresses_, rules_, options_.command, options_.seed,
                                    folder_.path(), options_.log_folder, std::move(known_lists),
                                    [this](int gateway) { list_->ForgetNotifications(gateway); },
                                    [this](const std::string& text) { AddEvent(text); }});
  faults_.emplace(experiment_, FaultInjector::Components{*gateways_, *hosts_, *list_, links_, peers_.get(),
                                                         registry_.get()});
}

void ExperimentRun::MakeClients() {
  if (without_gateways_) {
    targets_ = std::make_unique<HostTargets>(experiment_, addresses_, first_answers_);
  } else {
    targets_ = std::make_unique<GatewayTargets>(experiment_, addresses_, *gateways_, first_answers_);
  }
  clients_ = std::make_unique<Clients>(
      Clients::Environment{io_, experiment_, *targets_, rules_, recorder_, options_.seed});
}

void ExperimentRun::Interrupt() { interrupted = true; }

bool ExperimentRun::IsInterrupted() { return interrupted; }

RunResult ExperimentRun::Run() {
  run_started_at_ = MonotonicNow();
  own_cpu_before_ = OwnCpuTime();
  if (registry_) {
    registry_->Start();
  } else if (gateways_) {
    StartGateways();
  }
  Tick();
  io_.run();
  if (gateways_) gateways_->KillAll();
  if (registry_) registry_->KillAll();
  WriteFigures();
  return std::move(result_);
}

void ExperimentRun::AddEvent(const std::string& text) {
  const Millis now = MonotonicNow();
  result_.events.emplace_back(
      traffic_started() ? now - traffic_start_ : now - run_started_at_ - kPreTrafficOffset, text);
}

void ExperimentRun::StartGateways() {
  gateways_started_ = true;
  gateways_->StartAll();
}

void ExperimentRun::Fail(const std::string& reason) {
  result_.failure = reason;
  io_.stop();
}

// Called every kTickPeriod. Starts the gateways and the traffic when these can start, and detects the end of
// the run.
void ExperimentRun::Tick() {
  const Millis now = MonotonicNow();
  if (interrupted) return Fail("interrupted");
  if (now > run_started_at_ + experiment_.ends_within) {
    return Fail(fmt::format("did not finish within {:g} s: {} requests were still open",
                            experiment_.ends_within / kMillisPerSecond, clients_->open_requests()));
  }
  MeasureListLag(now);
  if (!traffic_started()) {
    WaitForReadiness(now);
    if (!result_.failure.empty()) return;
  } else if (clients_->done()) {
    return io_.stop();
  }
  if (options_.progress) PrintProgress(now);
  tick_timer_.expires_after(TimerDuration(kTickPeriod));
  tick_timer_.async_wait([this](error_code ec) {
    if (!ec) Tick();
  });
}

// Starts the traffic once all gateways are ready. If the project's list service runs, the gateways are
// started once all hosts are registered. The run fails if this takes too long.
void ExperimentRun::WaitForReadiness(Millis now) {
  const bool timed_out = now > run_started_at_ + experiment_.fleet.ready_within;
  if (registry_ && !gateways_started_) {
    if (registry_->ready()) StartGateways();
    if (timed_out) {
      Fail(fmt::format("the list service did not register all hosts within {:g} s",
                       experiment_.fleet.ready_within / kMillisPerSecond));
    }
  } else if (!gateways_ || gateways_->AllReady()) {
    BeginTraffic(now + kTrafficDelay);
  } else if (timed_out) {
    Fail(gateways_->DescribeNotReady() +
         fmt::format(" after {:g} s", experiment_.fleet.ready_within / kMillisPerSecond));
  }
}

void ExperimentRun::BeginTraffic(Millis start) {
  traffic_start_ = start;
  clients_->Begin(start);
  first_answers_.Begin(start);
  if (faults_) ScheduleFaults();
}

void ExperimentRun::ScheduleFaults() {
  for (const Fault& fault : experiment_.faults) {
    ScheduleAt(traffic_start_ + fault.at, [this, &fault] {
      AddEvent(fault.description);
      faults_->Begin(fault);
    });
    if (fault.duration <= 0) continue;
    ScheduleAt(traffic_start_ + fault.at + fault.duration, [this, &fault] {
      AddEvent("end of " + fault.description);
      faults_->End(fault);
    });
  }
}

void ExperimentRun::ScheduleAt(Millis time, std::function<void()> callback) {
  const auto timer = std::make_shared<boost::asio::steady_timer>(io_, TimerDuration(time - MonotonicNow()));
  timer->async_wait([timer, callback = std::move(callback)](error_code ec) {
    if (!ec) callback();
  });
}

// Records the longest time for which any gateway did not have the newest list. The time starts at the change
// of the list. If a fault that can keep changes from the gateways began or ended later, it starts at that
// moment.
void ExperimentRun::MeasureListLag(Millis now) {
  if (!registry_ || !registry_->up() || faults_->list_fault_active()) return;
  if (!traffic_started() || now < traffic_start_ + experiment_.traffic.warm_up) return;
  for (int gateway = 0; gateway < gateways_->count(); ++gateway) {
    const bool is_current = list_->DeliveredRevision(gateway) >= registry_->newest_revision();
    if (is_current || gateways_->WasDisruptedSince(gateway, now)) continue;
    list_lag_ = std::max(list_lag_,
                         now - std::max(registry_->newest_revision_at(), faults_->list_fault_changed_at()));
  }
}

void ExperimentRun::PrintProgress(Millis now) {
  if (now <= next_progress_at_) return;
  next_progress_at_ = now + kProgressPeriod;
  std::fprintf(stderr, "\r%-14s seed %llu: %5.1f of %.0f s, %llu requests, %zu open   ",
               result_.variant.c_str(), static_cast<unsigned long long>(result_.seed),
               std::max(0.0, traffic_started() ? now - traffic_start_ : 0) / kMillisPerSecond,
               experiment_.traffic.duration / kMillisPerSecond,
               static_cast<unsigned long long>(recorder_.arrived()), clients_->open_requests());
}

double ExperimentRun::RequestCount() const { return std::max(1.0, static_cast<double>(recorder_.arrived())); }

void ExperimentRun::WriteFigures() {
  recorder_.WriteTo(result_);
  WriteRuleFigures();
  WriteClientFigures();
  WriteServerFigures();
  WriteCostFigures();
  first_answers_.WriteTo(result_);
  result_.violations = rules_.examples();
}

void ExperimentRun::WriteRuleFigures() {
  auto& figures = result_.figures;
  for (const auto& [name, count] : rules_.violations().ByName()) figures[name] = static_cast<double>(count);
  const auto closed = static_cast<double>(clients_->closed_unprocessed());
  figures["lost"] += std::max(0.0, std::floor(closed - kMaxClosedUnprocessed * RequestCount()));
}

void ExperimentRun::WriteClientFigures() {
  auto& figures = result_.figures;
  figures["unheard"] = static_cast<double>(clients_->closed_unprocessed());
  figures["excused"] = static_cast<double>(clients_->lost_to_faults());
  figures["unplaced"] = static_cast<double>(clients_->unroutable());
  figures["client_tries"] = static_cast<double>(clients_->attempts());
}

void ExperimentRun::WriteServerFigures() {
  auto& figures = result_.figures;
  const HostEmulator::Counts& hosts = hosts_->counts();
  figures["attempts_per_request"] = static_cast<double>(hosts.attempts) / RequestCount();
  figures["turned_away"] = static_cast<double>(hosts.rejected);
  figures["host_connections"] = static_cast<double>(hosts.connections);
  figures["list_calls"] = static_cast<double>(list_->calls());
  if (registry_) figures["list_lag_ms"] = list_lag_;
  if (!peers_) return;
  figures["peer_datagrams"] = static_cast<double>(peers_->counts().sent);
  figures["peer_too_long"] = static_cast<double>(peers_->counts().too_long);
}

void ExperimentRun::WriteCostFigures() {
  auto& figures = result_.figures;
  const double requests = RequestCount();
  figures["lab_cpu_us_per_request"] = (OwnCpuTime() - own_cpu_before_) * kMicrosPerMilli / requests;
  if (!gateways_) return;
  const Millis cpu_time = gateways_->cpu_time();
  figures["cpu_us_per_request"] = cpu_time * kMicrosPerMilli / requests;
  if (cpu_time > 0) figures["core_requests_per_s"] = requests * kMillisPerSecond / cpu_time;
  figures["rss_mb"] = gateways_->max_memory_mb();
}

}  // namespace gateway::lab
