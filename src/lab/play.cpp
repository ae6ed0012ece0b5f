// One play: the parties, the timeline of faults, and the figures at its end.
#include <fmt/format.h>
#include <sys/resource.h>

#include <atomic>
#include <cmath>
#include <cstdio>
#include <filesystem>
#include <map>

#include "lab/clients.hpp"
#include "lab/gateways.hpp"
#include "lab/hosts.hpp"
#include "lab/lab.hpp"
#include "lab/list_service.hpp"
#include "lab/peer_net.hpp"
#include "lab/temporary_folder.hpp"

namespace gateway::lab {
namespace {

using boost::system::error_code;

constexpr Millis kFirst = 300;  // from the gateways' yes to the first arrival
constexpr Millis kTick = 50;
constexpr double kMostUnheard = 1.0 / 200;  // STANDING: beyond this share they are lost

std::atomic<bool> interrupted{false};

double UnixMillis() {
  return std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

Millis OwnCpu() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto ms = [](const timeval& t) {
    return static_cast<double>(t.tv_sec) * 1000 + static_cast<double>(t.tv_usec) / 1000;
  };
  return ms(usage.ru_utime) + ms(usage.ru_stime);
}

// All parties of one play of one variant.
class Stage {
 public:
  Stage(const Experiment& experiment, std::string variant, std::string command, const std::string& self,
        std::uint64_t seed, const std::string& logs, bool progress)
      : e_(experiment),
        progress_(progress),
        direct_(variant == "direct"),
        addresses_(io_),
        rules_(experiment.fleet.max_attempts, experiment.fleet.drain_grace),
        recorder_(experiment),
        tick_(io_) {
    play_.variant = std::move(variant);
    play_.seed = seed;
    rules_.SetSeed(seed);
    const int gateways = direct_ ? 1 : e_.fleet.gateways;
    for (int g = 0; g < gateways; ++g) {
      list_links_.push_back(std::make_unique<Link>(io_));
      for (int h = 0; h < e_.HostCount(); ++h)
        host_links_[{g, h}] = std::make_unique<Link>(io_, seed + static_cast<std::uint64_t>(g * 1000 + h));
    }
    hosts_ = std::make_unique<Hosts>(
        Hosts::Setting{io_, e_, addresses_, rules_,
                       [this](int g, int h) {
                         return host_links_.at({g, h}).get();
                       },
                       [this](int g, int h) { return direct_ ? -1 : list_->Told(g, h); }, seed, gateways});
    std::vector<ListService::Member> members;
    members.reserve(static_cast<std::size_t>(hosts_->count()));
    for (int h = 0; h < hosts_->count(); ++h) {
      members.push_back({fmt::format("s-{:04x}", h), hosts_->zone(h), hosts_->kind(h).name, "up", 1.0, 0, 1});
    }
    if (!direct_ && e_.fleet.registry) {
      std::vector<registry::Member> listed;
      for (int h = 0; h < hosts_->count(); ++h) {
        registry::Member& m = listed.emplace_back();
        m.id = members[static_cast<std::size_t>(h)].id;
        m.address = Addresses::Text(addresses_.Host(0, h));
        m.zone = hosts_->zone(h);
        m.machine_type = hosts_->kind(h).name;
        m.cell = "0";
      }
      registry_ = std::make_unique<RegistryProcess>(
          RegistryProcess::Setting{io_, addresses_.Registry(), self, folder_.path(),
                                   logs.empty() ? "/dev/null" : logs + "/registry.log", e_.fleet.lease_term,
                                   e_.fleet.lease_grace, [this](const std::string& what) { Note(what); }},
          std::move(listed));
    }
    list_ = std::make_unique<ListService>(
        ListService::Setting{io_, addresses_, direct_ ? 0 : gateways, e_.fleet.list_delay,
                             [this](int g) { return list_links_[static_cast<std::size_t>(g)].get(); },
                             registry_.get()},
        std::move(members));
    if (!direct_ && e_.fleet.peers) peers_ = std::make_unique<PeerNet>(io_, addresses_, gateways, seed);
    if (!direct_) {
      std::vector<std::string> known;
      known.reserve(static_cast<std::size_t>(gateways));
      for (int g = 0; g < gateways; ++g) known.push_back(list_->Whole(g));
      gateways_ = std::make_unique<Gateways>(Gateways::Setting{
          io_, e_, addresses_, rules_, std::move(command), seed, folder_.path(), logs,
          [known](int g) { return known[static_cast<std::size_t>(g)]; }, [this](int g) { list_->Forget(g); },
          [this](const std::string& what) { Note(what); }});
    }
    clients_ = std::make_unique<Clients>(Clients::Setting{
        io_, e_, rules_, recorder_, seed, direct_ ? hosts_->count() : gateways,
        [this](int t) { return direct_ ? addresses_.Host(0, t) : addresses_.Gateway(t); },
        [this](int t) {
          return direct_ ? t % static_cast<int>(e_.fleet.zones.size()) : gateways_->ZoneOf(t);
        },
        [this](int t, Millis now) { return direct_ || gateways_->Deals(t, now); },
        [this](int t, Millis since) { return !direct_ && gateways_->Excused(t, since); },
        [this](int t, Millis sent) { Answered(t, sent); }});
  }

  Play Run() {
    began_ = MonotonicNow();
    cpu_before_ = OwnCpu();
    if (registry_) registry_->Start();
    if (gateways_ && !registry_) StartGateways();
    Tick();
    io_.run();
    if (gateways_) gateways_->EndAll();
    if (registry_) registry_->EndAll();
    Write();
    return std::move(play_);
  }

 private:
  void Note(const std::string& what) {
    play_.events.emplace_back(start_ < 0 ? MonotonicNow() - began_ - 1e6 : MonotonicNow() - start_, what);
  }

  void StartGateways() {
    gateways_started_ = true;
    gateways_->StartAll();
  }

  // How long any gateway has not had the newest list, counted from the end of the last fault that kept it
  // from it.
  void WatchLists(Millis now) {
    if (!registry_ || start_ < 0 || now < start_ + e_.traffic.warm_up || list_faults_ > 0 || !registry_->up())
      return;
    for (int g = 0; g < gateways_->count(); ++g) {
      if (list_->Passed(g) >= registry_->newest() || gateways_->Excused(g, now)) continue;
      list_lag_ = std::max(list_lag_, now - std::max(registry_->newest_at(), list_well_at_));
    }
  }

  void End(const std::string& failure) {
    play_.failure = failure;
    io_.stop();
  }

  // Every 50 ms: whether to begin, and whether it is over.
  void Tick() {
    const Millis now = MonotonicNow();
    if (interrupted) return End("interrupted");
    if (now > began_ + e_.ends_within) {
      return End(fmt::format("not over within {:g} s: {} requests were still out", e_.ends_within / 1000,
                             clients_->waiting()));
    }
    WatchLists(now);
    if (start_ < 0) {
      if (registry_ && !gateways_started_) {
        if (registry_->ready()) StartGateways();
        if (now > began_ + e_.fleet.ready_within)
          return End("the list service did not take all hosts in time");
      } else if (!gateways_ || gateways_->AllReady()) {
        Begin(now + kFirst);
      } else if (now > began_ + e_.fleet.ready_within) {
        return End(gateways_->NotReady() + fmt::format(" after {:g} s", e_.fleet.ready_within / 1000));
      }
    } else if (clients_->done()) {
      return io_.stop();
    }
    if (progress_ && now > progress_at_) {
      progress_at_ = now + 1000;
      std::fprintf(stderr, "\r%-14s seed %llu: %5.1f of %.0f s, %llu requests, %zu out   ",
                   play_.variant.c_str(), static_cast<unsigned long long>(play_.seed),
                   std::max(0.0, start_ < 0 ? 0 : now - start_) / 1000, e_.traffic.seconds / 1000,
                   static_cast<unsigned long long>(recorder_.arrived()), clients_->waiting());
    }
    tick_.expires_after(TimerDuration(kTick));
    tick_.async_wait([this](error_code ec) {
      if (!ec) Tick();
    });
  }

  void Begin(Millis start) {
    start_ = start;
    clients_->Begin(start);
    first_answers_.assign(e_.faults.size(), -1);
    if (direct_) return;
    for (const Fault& fault : e_.faults) {
      At(start + fault.at, [this, &fault] {
        Note(fault.text);
        Strike(fault);
      });
      if (fault.lasts > 0) {
        At(start + fault.at + fault.lasts, [this, &fault] {
          Note("end of " + fault.text);
          Relieve(fault);
        });
      }
    }
  }

  void At(Millis time, std::function<void()> what) {
    const auto timer = std::make_shared<boost::asio::steady_timer>(io_, TimerDuration(time - MonotonicNow()));
    timer->async_wait([timer, what = std::move(what)](error_code ec) {
      if (!ec) what();
    });
  }

  void Strike(const Fault& fault) {
    for (const int g : fault.gateways) {
      if (fault.kind == FaultKind::kKill) gateways_->Kill(g, fault.lasts);
      if (fault.kind == FaultKind::kStop) gateways_->Stop(g);
      if (fault.kind == FaultKind::kTerm) gateways_->Terminate(g, fault.lasts);
      if (fault.kind == FaultKind::kReplace) gateways_->Replace(g);
      if (fault.kind == FaultKind::kCut) {
        for (const int h : fault.hosts) host_links_.at({g, h})->Cut(fault.there, fault.back);
      }
      if (fault.kind == FaultKind::kReset) {
        for (const int h : fault.hosts) hosts_->Reset(h, g);
      }
      if (fault.kind == FaultKind::kDelay) Delay(g, fault.size, fault.jitter);
      if (fault.kind == FaultKind::kPeers) peers_->SetWeather(g, fault.weather);
      if (fault.kind == FaultKind::kPeerCut) CutPeers(g, fault.peers, true);
    }
    if (fault.kind == FaultKind::kCut || fault.kind == FaultKind::kReset) return;
    for (const int h : fault.hosts) {
      if (fault.kind == FaultKind::kSlow) hosts_->SetSpeed(h, fault.size);
      if (fault.kind == FaultKind::kFail) hosts_->SetErrors(h, fault.size);
      if (fault.kind == FaultKind::kMute) hosts_->SetMute(h, true);
      if (fault.kind == FaultKind::kHostKill) {
        hosts_->Kill(h);
        list_->Change(h, "removed", 0);
      }
      if (fault.kind == FaultKind::kHostDrain) list_->Change(h, "draining", 0);
      if (fault.kind == FaultKind::kHostVanish) {
        for (int g = 0; g < gateways_->count(); ++g) host_links_.at({g, h})->Cut(true, true);
        list_->Change(h, "removed", 0);
      }
    }
    if (fault.kind == FaultKind::kListDown) list_->SetDown(true);
    StrikeList(fault, true);
    if (fault.kind == FaultKind::kZoneCut) CutZone(fault.zone, true);
  }

  void Relieve(const Fault& fault) {
    for (const int g : fault.gateways) {
      if (fault.kind == FaultKind::kStop) gateways_->Continue(g);
      if (fault.kind == FaultKind::kCut) {
        for (const int h : fault.hosts) host_links_.at({g, h})->Heal(fault.there, fault.back);
      }
      if (fault.kind == FaultKind::kDelay) Delay(g, -fault.size, -fault.jitter);
      if (fault.kind == FaultKind::kPeers) peers_->SetWeather(g, {});
      if (fault.kind == FaultKind::kPeerCut) CutPeers(g, fault.peers, false);
    }
    if (fault.kind == FaultKind::kCut) return;
    for (const int h : fault.hosts) {
      if (fault.kind == FaultKind::kSlow) hosts_->SetSpeed(h, 1);
      if (fault.kind == FaultKind::kFail) hosts_->SetErrors(h, hosts_->kind(h).errors);
      if (fault.kind == FaultKind::kMute) hosts_->SetMute(h, false);
      if (fault.kind == FaultKind::kHostKill) {
        hosts_->Start(h);
        list_->Change(h, "up", UnixMillis());
      }
      if (fault.kind == FaultKind::kHostVanish) {
        hosts_->Kill(h);  // what was on its way to it is lost
        for (int g = 0; g < gateways_->count(); ++g) host_links_.at({g, h})->Heal(true, true);
        hosts_->Start(h);
        list_->Change(h, "up", UnixMillis());
      }
      if (fault.kind == FaultKind::kHostDrain) {
        hosts_->SetDraining(h, true);
        list_->Change(h, "removed", 0);
      }
    }
    if (fault.kind == FaultKind::kListDown) list_->SetDown(false);
    StrikeList(fault, false);
    if (fault.kind == FaultKind::kZoneCut) CutZone(fault.zone, false);
  }

  // Faults of the list service as a process, and of the ways to it.
  void StrikeList(const Fault& fault, bool begins) {
    switch (fault.kind) {
      case FaultKind::kListKill:
        if (begins) registry_->Kill(fault.lasts);
        break;
      case FaultKind::kListStop: begins ? registry_->Stop() : registry_->Continue(); break;
      case FaultKind::kListFull: registry_->SetFull(begins); break;
      case FaultKind::kListTruncate: list_->SetTruncation(begins ? fault.size : 0); break;
      case FaultKind::kMemberCut:
        for (const int h : fault.hosts) registry_->CutMember(h, begins);
        return;
      case FaultKind::kListCut:
        for (const int g : fault.gateways) {
          Link& link = *list_links_[static_cast<std::size_t>(g)];
          begins ? link.Cut(true, true) : link.Heal(true, true);
        }
        break;
      default: return;
    }
    list_faults_ += begins ? 1 : -1;
    list_well_at_ = MonotonicNow();
  }

  void Delay(int gateway, Millis more, Millis jitter) {
    for (int h = 0; h < hosts_->count(); ++h) host_links_.at({gateway, h})->AddDelay(more, jitter);
    list_links_[static_cast<std::size_t>(gateway)]->AddDelay(more, jitter);
  }

  void CutPeers(int gateway, const std::vector<int>& others, bool cut) {
    for (const int other : others) {
      if (other == gateway) continue;
      peers_->Cut(gateway, other, cut);
      peers_->Cut(other, gateway, cut);
    }
  }

  // The list service lives in the first zone.
  void CutZone(const std::string& zone, bool cut) {
    const auto change = [cut](Link& link) { cut ? link.Cut(true, true) : link.Heal(true, true); };
    for (int g = 0; g < gateways_->count(); ++g) {
      const bool inside = e_.fleet.zones[static_cast<std::size_t>(gateways_->ZoneOf(g))] == zone;
      for (int h = 0; h < hosts_->count(); ++h) {
        if (inside != (hosts_->zone(h) == zone)) change(*host_links_.at({g, h}));
      }
      if (peers_ && inside) {
        std::vector<int> outside;
        for (int p = 0; p < gateways_->count(); ++p) {
          if (e_.fleet.zones[static_cast<std::size_t>(gateways_->ZoneOf(p))] != zone) outside.push_back(p);
        }
        CutPeers(g, outside, cut);
      }
      if (inside != (e_.fleet.zones.front() == zone)) change(*list_links_[static_cast<std::size_t>(g)]);
    }
  }

  // From a fault to a gateway to the first answer that a client has of it afterwards.
  void Answered(int target, Millis sent) {
    const Millis now = MonotonicNow();
    for (std::size_t i = 0; i < e_.faults.size(); ++i) {
      const Fault& fault = e_.faults[i];
      if (first_answers_[i] >= 0 || sent < start_ + fault.at) continue;
      for (const int g : fault.gateways) {
        if (g == target) first_answers_[i] = now - start_ - fault.at;
      }
    }
  }

  void Write() {
    recorder_.Write(play_);
    auto& f = play_.figures;
    const auto unheard = static_cast<double>(clients_->unheard());
    const double requests = std::max(1.0, static_cast<double>(recorder_.arrived()));
    for (const auto& [name, count] : rules_.broken().Named()) f[name] = static_cast<double>(count);
    f["lost"] += std::max(0.0, std::floor(unheard - kMostUnheard * requests));
    f["unheard"] = unheard;
    f["excused"] = static_cast<double>(clients_->excused());
    f["unplaced"] = static_cast<double>(clients_->unplaced());
    f["client_tries"] = static_cast<double>(clients_->tries());
    const Hosts::Counts& h = hosts_->counts();
    f["attempts_per_request"] = static_cast<double>(h.reached) / requests;
    f["turned_away"] = static_cast<double>(h.turned_away);
    f["host_connections"] = static_cast<double>(h.connections);
    f["list_calls"] = static_cast<double>(list_->calls());
    if (gateways_) {
      f["cpu_us_per_request"] = gateways_->cpu() * 1000 / requests;
      if (gateways_->cpu() > 0) f["core_requests_per_s"] = requests * 1000 / gateways_->cpu();
      f["rss_mb"] = gateways_->most_memory_mb();
    }
    if (registry_) f["list_lag_ms"] = list_lag_;
    if (peers_) {
      f["peer_datagrams"] = static_cast<double>(peers_->counts().sent);
      f["peer_too_long"] = static_cast<double>(peers_->counts().too_long);
    }
    f["lab_cpu_us_per_request"] = (OwnCpu() - cpu_before_) * 1000 / requests;
    for (std::size_t i = 0; i < first_answers_.size(); ++i) {
      if (first_answers_[i] >= 0) f[fmt::format("first_answer_ms/{}", i + 1)] = first_answers_[i];
    }
    play_.breaches = rules_.examples();
  }

  const Experiment& e_;
  const bool progress_, direct_;
  boost::asio::io_context io_{1};
  Play play_;
  TemporaryFolder folder_;
  Addresses addresses_;
  std::map<std::pair<int, int>, std::unique_ptr<Link>> host_links_;
  std::vector<std::unique_ptr<Link>> list_links_;
  Rules rules_;
  Recorder recorder_;
  std::unique_ptr<PeerNet> peers_;
  std::unique_ptr<RegistryProcess> registry_;
  std::unique_ptr<ListService> list_;
  std::unique_ptr<Hosts> hosts_;
  std::unique_ptr<Gateways> gateways_;
  std::unique_ptr<Clients> clients_;
  boost::asio::steady_timer tick_;
  Millis began_ = 0, start_ = -1, cpu_before_ = 0, progress_at_ = 0;
  std::vector<Millis> first_answers_;
  bool gateways_started_ = false;
  int list_faults_ = 0;  // that are on
  Millis list_well_at_ = 0, list_lag_ = 0;
};

}  // namespace

void Interrupt() { interrupted = true; }

Results Run(const Experiment& experiment, const RunOptions& options) {
  std::vector<std::pair<std::string, std::string>> variants{{"gateway", options.gateway}};
  if (!options.earlier.empty()) variants.emplace_back("earlier", options.earlier);
  for (const std::string& name : experiment.baselines) {
    variants.emplace_back(name, name == "no_fault" || name == "no_state"
                                    ? options.gateway
                                    : options.self + " lab stand-in --policy " + name);
  }
  const Experiment calm = experiment.WithoutFaults();
  Experiment stateless = experiment;
  stateless.fleet.state = false;
  Results results{experiment.name, experiment.about, {}};
  for (int k = 0; k < options.repeats; ++k) {
    const std::uint64_t seed = options.seed + static_cast<std::uint64_t>(k);
    for (const auto& [name, command] : variants) {
      std::string logs;
      if (!options.logs.empty()) {
        logs = fmt::format("{}/{}-{}-{}", options.logs, experiment.name, seed, name);
        std::filesystem::create_directories(logs);
      }
      results.plays.push_back(Stage(name == "no_fault"   ? calm
                                    : name == "no_state" ? stateless
                                                         : experiment,
                                    name, command, options.self, seed, logs, options.progress)
                                  .Run());
      if (interrupted) return results;
    }
  }
  return results;
}

}  // namespace gateway::lab
