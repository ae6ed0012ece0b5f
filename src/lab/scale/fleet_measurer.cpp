#include "lab/scale/fleet_measurer.hpp"

#include <unistd.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>
#include <vector>

#include "lab/scale/process_usage.hpp"

namespace gateway::lab {
namespace {

using nlohmann::json;

constexpr int kCompleteLists = 8;         // asked for in a row, for the cost of one
constexpr Millis kWatchCall = 2500;       // a call of a watch that is at rest lasts at most so long
constexpr Millis kAfterReady = 50;        // what a start costs is read so long after it
constexpr Millis kLoneStart = 400;        // the same of a gateway that never becomes ready
constexpr Millis kHollowReady = 60000;    // for all of them to have a list
constexpr Millis kChangeTimeout = 20000;  // for the last change to come to all

constexpr double kUs = 1000;  // in a ms

// CPU times and counters at one moment.
struct Snapshot {
  Millis at = 0;
  Millis list_service = 0, own = 0, real = 0, lone = 0;
  std::vector<Millis> hollow;  // by process
  ListServiceCounts counts;
  RequestCounts requests;
};

// What happened between two of them.
struct Window {
  const Snapshot& from;
  const Snapshot& to;

  double seconds() const { return (to.at - from.at) / 1000; }
  double Percent(Millis Snapshot::*cpu) const { return 100 * (to.*cpu - from.*cpu) / (to.at - from.at); }
  double Rate(double ListServiceCounts::*count) const {
    return (to.counts.*count - from.counts.*count) / seconds();
  }
  double HollowPercent() const {
    double percent = 0;
    for (std::size_t i = 0; i < to.hollow.size(); ++i) percent += HollowPercent(i);
    return percent;
  }
  double BusiestHollowPercent() const {
    double busiest = 0;
    for (std::size_t i = 0; i < to.hollow.size(); ++i) busiest = std::max(busiest, HollowPercent(i));
    return busiest;
  }
  double HollowPercent(std::size_t process) const {
    return 100 * (to.hollow[process] - from.hollow[process]) / (to.at - from.at);
  }
};

// Percent of a core, and how often a second something was done: us for each.
double CostOf(double percent, double per_second) {
  return per_second > 0 ? std::max(0.0, percent / 100 * 1e6 / per_second) : 0;
}

// One run of a fleet of one size.
class FleetRun {
 public:
  FleetRun(const ScalePrograms& programs, const FleetSize& size, const ScaleWindows& windows,
           std::uint64_t seed, Millis deadline)
      : size_(size), windows_(windows), fleet_(programs, size, seed, deadline) {}

  RoleMeasures Run() {
    StartListService();
    MeasureCompleteLists();
    MeasureListServiceAlone();
    StartLoneGateways();
    StartGateways();
    MeasureRest();
    MeasureChanges();
    MeasureRequests();
    MeasureChangeDelays();
    MeasureMemory();
    return std::move(roles_);
  }

 private:
  using Figures = std::map<std::string, double>;
  Figures& Service() { return roles_["list_service"]; }
  Figures& Real() { return roles_["gateway"]; }
  Figures& Hollow() { return roles_["hollow_gateway"]; }
  bool has_real() const { return size_.gateways_real > 0; }
  bool has_hollow() const { return size_.gateways_hollow > 0; }
  double gateways() const { return size_.gateways_real + size_.gateways_hollow; }

  Snapshot TakeSnapshot() {
    Snapshot s;
    s.counts = fleet_.Counts();
    s.at = base::MonotonicNow();
    s.list_service = CpuTimeOf(fleet_.list_service());
    s.own = CpuTimeOf(getpid());
    for (const RealGateway& gateway : fleet_.real()) s.real += CpuTimeOf(gateway.pid);
    for (const HollowGroup& group : fleet_.hollow()) s.hollow.push_back(CpuTimeOf(group.pid));
    if (lone_ != 0) s.lone = CpuTimeOf(lone_);
    if (has_real() && !fleet_.real().empty()) s.requests = fleet_.requests().counts();
    return s;
  }

  std::pair<Snapshot, Snapshot> Watch(Millis time) {
    Snapshot from = TakeSnapshot();
    fleet_.loop().RunFor(time);
    Snapshot to = TakeSnapshot();
    NoteLoad({from, to});
    return {std::move(from), std::move(to)};
  }

  // The tool's own use, so that a saturated one is seen.
  void NoteLoad(const Window& window) {
    Figures& load = roles_["load"];
    double& own = load["cpu_busiest_percent"];
    double& hollow = load["cpu_busiest_hollow_process_percent"];
    own = std::max(own, window.Percent(&Snapshot::own));
    hollow = std::max(hollow, window.BusiestHollowPercent());
    load["saturated"] = own > kSaturatedPercent || hollow > kSaturatedPercent ? 1 : 0;
  }

  void StartListService() {
    Service()["ready_ms"] = fleet_.StartListService();
    fleet_.members().RegisterAll();
  }

  // Before any renewal, so that nothing else costs CPU.
  void MeasureCompleteLists() {
    list_ = fleet_.CompleteList();  // the first one is also encoded
    const Millis before = CpuTimeOf(fleet_.list_service());
    const double bytes = fleet_.Counts().bytes_out;
    for (int i = 0; i < kCompleteLists; ++i) fleet_.CompleteList();
    Service()["cpu_per_whole_list_us"] = kUs * (CpuTimeOf(fleet_.list_service()) - before) / kCompleteLists;
    // The first answer to /metrics is among them.
    Service()["bytes_per_whole_list"] = (fleet_.Counts().bytes_out - bytes) / kCompleteLists;
  }

  void MeasureListServiceAlone() {
    fleet_.members().StartRenewing();
    const auto [from, to] = Watch(windows_.window);
    Service()["cpu_idle_percent"] = Window{from, to}.Percent(&Snapshot::list_service);
  }

  // One tells what a start costs, the other what a gateway costs whose list service never answers.
  void StartLoneGateways() {
    if (!has_real()) return;
    const pid_t empty = fleet_.StartLoneGateway(nullptr);
    lone_ = fleet_.StartLoneGateway(json::parse(list_));
    fleet_.loop().RunFor(kLoneStart);
    fleet_.CheckAlive();
    start_cost_ = CpuTimeOf(empty);
    fleet_.End(empty);
  }

  void StartGateways() {
    if (has_real()) {
      fleet_.StartRealGateways();
      fleet_.loop().RunFor(kAfterReady);
      double cpu = 0, ready = 0;
      for (const RealGateway& gateway : fleet_.real()) {
        cpu += CpuTimeOf(gateway.pid);
        ready = std::max(ready, gateway.ready_at - gateway.started_at);
      }
      Real()["ready_ms"] = ready;
      Real()["cpu_per_whole_list_us"] = kUs * std::max(0.0, cpu / size_.gateways_real - start_cost_);
      Real()["bytes_per_whole_list"] = Service()["bytes_per_whole_list"];
    }
    if (!has_hollow()) return;
    fleet_.StartHollowGateways(0, size_.gateways_hollow, HollowStartList(size_.gateways_hollow, list_));
    Hollow()["ready_ms"] = fleet_.WaitForHollowReady(kHollowReady);
  }

  void MeasureRest() {
    if (gateways() == 0) return;
    fleet_.loop().RunFor(windows_.settle);
    const auto [from, to] = Watch(windows_.rest);
    const Window window{from, to};
    rest_service_ = Service()["cpu_rest_percent"] = window.Percent(&Snapshot::list_service);
    // In a shorter window it is chance whether any call of a watch ends.
    const bool traffic = windows_.rest >= kWatchCall;
    if (traffic) {
      Service()["bytes_in_per_s"] = window.Rate(&ListServiceCounts::bytes_in);
      Service()["bytes_out_per_s"] = window.Rate(&ListServiceCounts::bytes_out);
      Service()["messages_in_per_s"] = Service()["messages_out_per_s"] =
          window.Rate(&ListServiceCounts::calls);
    }
    rest_list_bytes_ = window.Rate(&ListServiceCounts::list_bytes_out);
    if (has_real()) {
      rest_real_ = Real()["cpu_rest_percent"] = window.Percent(&Snapshot::real) / size_.gateways_real;
      Real()["cpu_idle_percent"] = window.Percent(&Snapshot::lone);
      if (traffic) NoteTraffic(Real(), window);
    }
    if (has_hollow()) {
      rest_hollow_ = Hollow()["cpu_rest_percent"] = window.HollowPercent() / size_.gateways_hollow;
      if (traffic) NoteTraffic(Hollow(), window);
    }
  }

  // With the list service, of one gateway: all have the same part in it.
  void NoteTraffic(Figures& figures, const Window& window) {
    figures["bytes_out_per_s"] = window.Rate(&ListServiceCounts::list_bytes_in) / gateways();
    figures["bytes_in_per_s"] = window.Rate(&ListServiceCounts::list_bytes_out) / gateways();
    figures["messages_out_per_s"] = figures["messages_in_per_s"] =
        window.Rate(&ListServiceCounts::list_calls) / gateways();
  }

  // Changes go on from here to the end.
  void MeasureChanges() {
    if (gateways() == 0 || size_.changes_per_s <= 0) return;
    FleetMembers& members = fleet_.members();
    if (has_hollow()) fleet_.TakeRevisionArrivals();
    members.StartChanging(size_.changes_per_s);
    const double before = members.changes_committed();
    const auto [from, to] = Watch(windows_.window);
    const Window window{from, to};
    const double kept = members.changes_committed() - before;
    if (kept <= 0) throw std::runtime_error("no change was kept in the window");
    NoteChanges(window, kept / window.seconds());
  }

  // Beside the changes.
  void MeasureRequests() {
    if (!has_real() || size_.requests_per_s <= 0) return;
    fleet_.requests().Start();
    fleet_.loop().RunFor(windows_.settle);
    fleet_.requests().TakeAdded();
    fleet_.requests().TakeLateness();
    const auto [from, to] = Watch(windows_.window);
    const Window window{from, to};
    const base::Histogram added = fleet_.requests().TakeAdded();
    const double busy = window.Percent(&Snapshot::real) / size_.gateways_real;
    const double served = static_cast<double>(to.requests.served - from.requests.served);
    const double failed = static_cast<double>(to.requests.not_served - from.requests.not_served);
    Real()["cpu_busy_percent"] = busy;
    Real()["cpu_per_request_us"] =
        CostOf(busy - changing_real_, served / window.seconds() / size_.gateways_real);
    Real()["added_ms_p50"] = static_cast<double>(added.Quantile(0.5)) / kUs;
    Real()["added_ms_p99"] = static_cast<double>(added.Quantile(0.99)) / kUs;
    Real()["served_percent"] = served > 0 ? 100 * served / (served + failed) : 0;
    roles_["load"]["lateness_ms_p99"] =
        static_cast<double>(fleet_.requests().TakeLateness().Quantile(0.99)) / kUs;
    fleet_.requests().Stop();
  }

  void NoteChanges(const Window& window, double per_second) {
    const double service = window.Percent(&Snapshot::list_service);
    Service()["cpu_busy_percent"] = service;
    Service()["cpu_per_change_us"] = CostOf(service - rest_service_, per_second);
    const double bytes =
        std::max(0.0, window.Rate(&ListServiceCounts::list_bytes_out) - rest_list_bytes_) / per_second;
    Service()["bytes_per_change"] = bytes;
    if (has_real()) {
      changing_real_ = window.Percent(&Snapshot::real) / size_.gateways_real;
      Real()["cpu_per_change_us"] = CostOf(changing_real_ - rest_real_, per_second);
      Real()["bytes_per_change"] = bytes / gateways();
    }
    if (has_hollow()) {
      const double busy = window.HollowPercent() / size_.gateways_hollow;
      Hollow()["cpu_busy_percent"] = busy;
      Hollow()["cpu_per_change_us"] = CostOf(busy - rest_hollow_, per_second);
      Hollow()["bytes_per_change"] = bytes / gateways();
    }
  }

  // From each change's call to the first list of each hollow gateway that holds it.
  void MeasureChangeDelays() {
    FleetMembers& members = fleet_.members();
    members.StopChanging();
    fleet_.loop().RunUntil("the answer to the last change", kChangeTimeout,
                           [&] { return members.all_changes_answered(); });
    const std::vector<CommittedChange> kept = members.TakeCommitted();
    if (!has_hollow() || kept.empty()) return;
    std::int64_t newest = 0;
    for (const CommittedChange& change : kept) newest = std::max(newest, change.revision);
    fleet_.WaitForHollowRevision(newest, kChangeTimeout);
    base::Histogram delays;  // in microseconds
    for (const auto& arrivals : fleet_.TakeRevisionArrivals()) {
      for (const CommittedChange& change : kept) {
        const auto found = std::ranges::find_if(
            arrivals, [&](const RevisionArrival& arrival) { return arrival.revision >= change.revision; });
        if (found == arrivals.end()) throw std::runtime_error("a hollow gateway missed a change");
        delays.Add(static_cast<std::uint64_t>(std::max(0.0, kUs * (found->at - change.sent_at))));
      }
    }
    Hollow()["change_to_gateway_ms_p50"] = static_cast<double>(delays.Quantile(0.5)) / kUs;
    Hollow()["change_to_gateway_ms_p99"] = static_cast<double>(delays.Quantile(0.99)) / kUs;
    Hollow()["change_to_gateway_ms_max"] = static_cast<double>(delays.max()) / kUs;
  }

  void MeasureMemory() {
    Service()["memory_mb"] = ResidentMemoryOf(fleet_.list_service());
    roles_["load"]["memory_mb"] = ResidentMemoryOf(getpid());
    if (has_real()) {
      double memory = 0;
      for (const RealGateway& gateway : fleet_.real()) memory += ResidentMemoryOf(gateway.pid);
      Real()["memory_mb"] = memory / size_.gateways_real;
      Real()["bytes_per_scrape"] = fleet_.ScrapeBytes(fleet_.real().front());
    }
    if (has_hollow()) {
      double memory = 0;
      for (const HollowGroup& group : fleet_.hollow()) memory += ResidentMemoryOf(group.pid);
      Hollow()["memory_mb"] = memory / size_.gateways_hollow;
    }
    roles_["load"]["renewals_late"] = fleet_.members().renewals_late();
    roles_["load"]["renewals_failed"] = fleet_.members().renewals_failed();
    roles_["load"]["changes_failed"] = fleet_.members().changes_failed();
  }

  const FleetSize size_;
  const ScaleWindows windows_;
  ScaleFleet fleet_;
  RoleMeasures roles_;
  std::string list_;  // the whole one, before the gateways
  pid_t lone_ = 0;    // knows the list and has no list service
  Millis start_cost_ = 0;
  double rest_service_ = 0, rest_real_ = 0, rest_hollow_ = 0, rest_list_bytes_ = 0, changing_real_ = 0;
};

}  // namespace

RoleMeasures MeasureFleet(const ScalePrograms& programs, const FleetSize& size, const ScaleWindows& windows,
                          std::uint64_t seed, Millis deadline) {
  return FleetRun(programs, size, windows, seed, deadline).Run();
}

}  // namespace gateway::lab
