#include "lab/scale/fleet_measurer.hpp"

#include <fmt/format.h>
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

constexpr int kCompleteListRequests = 8;  // sent one after the other, to get the mean cost of one
constexpr Millis kMaxWatchCallMs = 2500;  // longest duration of a watch call without changes
constexpr Millis kStartCostDelayMs = 50;  // from the readiness of a gateway until its CPU time is read
constexpr Millis kIsolatedStartMs = 400;  // from the start of an isolated gateway until its CPU time is read
// Timeout for the first list of every hollow gateway. Hollow gateways call the list service but forward no
// requests.
constexpr Millis kHollowReadyTimeoutMs = 60000;
constexpr Millis kChangeTimeoutMs = 20000;  // timeout until all gateways have the last change

constexpr double kUsPerMs = 1000;
constexpr double kUsPerSecond = 1e6;

// CPU times and counters at one time.
struct Snapshot {
  Millis at = 0;
  // CPU times. `tool` is this process. `real` is the sum over all real gateways. `isolated` is the gateway
  // without a reachable list service. `hollow` has one value for each process.
  Millis list_service = 0, tool = 0, real = 0, isolated = 0;
  std::vector<Millis> hollow;
  ListServiceCounts counts;
  RequestCounts requests;
};

// Rates and CPU shares between two snapshots.
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

// Returns the CPU time of one operation in us. `percent` is the share of a core that the operations use.
double CostPerOperationUs(double percent, double per_second) {
  return per_second > 0 ? std::max(0.0, percent / 100 * kUsPerSecond / per_second) : 0;
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
    StartIsolatedGateways();
    StartGateways();
    MeasureUnloadedFleet();
    MeasureChanges();
    MeasureRequests();
    MeasureChangeDelays();
    MeasureMemory();
    return std::move(roles_);
  }

 private:
  using Figures = std::map<std::string, double>;
  Figures& ListServiceFigures() { return roles_["list_service"]; }
  Figures& RealGatewayFigures() { return roles_["gateway"]; }
  Figures& HollowGatewayFigures() { return roles_["hollow_gateway"]; }
  bool has_real() const { return size_.gateways_real > 0; }
  bool has_hollow() const { return size_.gateways_hollow > 0; }
  double gateways() const { return size_.gateways_real + size_.gateways_hollow; }

  Snapshot TakeSnapshot() {
    Snapshot snapshot;
    snapshot.counts = fleet_.FetchCounts();
    snapshot.at = base::MonotonicNow();
    snapshot.list_service = CpuTimeOf(fleet_.list_service());
    snapshot.tool = CpuTimeOf(getpid());
    for (const RealGateway& gateway : fleet_.real()) snapshot.real += CpuTimeOf(gateway.pid);
    for (const HollowProcess& process : fleet_.hollow()) snapshot.hollow.push_back(CpuTimeOf(process.pid));
    if (isolated_gateway_pid_ != 0) snapshot.isolated = CpuTimeOf(isolated_gateway_pid_);
    if (has_real() && !fleet_.real().empty()) snapshot.requests = fleet_.requests().counts();
    return snapshot;
  }

  std::pair<Snapshot, Snapshot> MeasureWindow(Millis time) {
    Snapshot from = TakeSnapshot();
    fleet_.loop().RunFor(time);
    Snapshot to = TakeSnapshot();
    RecordToolLoad({from, to});
    return {std::move(from), std::move(to)};
  }

  // Records the CPU load of the measuring tool, so that the result shows whether the tool was the bottleneck.
  void RecordToolLoad(const Window& window) {
    Figures& load = roles_["load"];
    double& tool = load["cpu_busiest_percent"];
    double& hollow = load["cpu_busiest_hollow_process_percent"];
    tool = std::max(tool, window.Percent(&Snapshot::tool));
    hollow = std::max(hollow, window.BusiestHollowPercent());
    load["saturated"] = tool > kSaturatedPercent || hollow > kSaturatedPercent ? 1 : 0;
  }

  void StartListService() {
    ListServiceFigures()["ready_ms"] = fleet_.StartListService();
    fleet_.members().RegisterAll();
  }

  // Runs before the first lease renewal, so that the list service does no other work.
  void MeasureCompleteLists() {
    complete_list_ =
        fleet_.FetchCompleteList();  // not measured: the service encodes the list at the first request
    const Millis before = CpuTimeOf(fleet_.list_service());
    const double bytes = fleet_.FetchCounts().bytes_out;
    for (int i = 0; i < kCompleteListRequests; ++i) fleet_.FetchCompleteList();
    ListServiceFigures()["cpu_per_whole_list_us"] =
        kUsPerMs * (CpuTimeOf(fleet_.list_service()) - before) / kCompleteListRequests;
    // Includes the bytes of the first FetchCounts response, which `bytes` does not contain yet.
    ListServiceFigures()["bytes_per_whole_list"] =
        (fleet_.FetchCounts().bytes_out - bytes) / kCompleteListRequests;
  }

  void MeasureListServiceAlone() {
    fleet_.members().StartRenewing();
    const auto [from, to] = MeasureWindow(windows_.window);
    ListServiceFigures()["cpu_idle_percent"] = Window{from, to}.Percent(&Snapshot::list_service);
  }

  // Starts two gateways whose list service never answers. The gateway without a list gives the CPU time of a
  // start. The gateway with the list continues to run and gives the CPU load of an idle gateway.
  void StartIsolatedGateways() {
    if (!has_real()) return;
    const pid_t gateway_without_list = fleet_.StartIsolatedGateway(nullptr);
    isolated_gateway_pid_ = fleet_.StartIsolatedGateway(json::parse(complete_list_));
    fleet_.loop().RunFor(kIsolatedStartMs);
    fleet_.CheckAlive();
    start_cost_ms_ = CpuTimeOf(gateway_without_list);
    fleet_.Kill(gateway_without_list);
  }

  void StartGateways() {
    if (has_real()) {
      fleet_.StartRealGateways();
      fleet_.loop().RunFor(kStartCostDelayMs);
      double cpu = 0, ready = 0;
      for (const RealGateway& gateway : fleet_.real()) {
        cpu += CpuTimeOf(gateway.pid);
        ready = std::max(ready, gateway.ready_at - gateway.started_at);
      }
      RealGatewayFigures()["ready_ms"] = ready;
      RealGatewayFigures()["cpu_per_whole_list_us"] =
          kUsPerMs * std::max(0.0, cpu / size_.gateways_real - start_cost_ms_);
      RealGatewayFigures()["bytes_per_whole_list"] = ListServiceFigures()["bytes_per_whole_list"];
    }
    if (!has_hollow()) return;
    fleet_.StartHollowGateways(0, size_.gateways_hollow,
                               InitialHollowList(size_.gateways_hollow, complete_list_));
    HollowGatewayFigures()["ready_ms"] = fleet_.WaitForHollowReady(kHollowReadyTimeoutMs);
  }

  void MeasureUnloadedFleet() {
    if (gateways() == 0) return;
    fleet_.loop().RunFor(windows_.settle);
    const auto [from, to] = MeasureWindow(windows_.unloaded);
    const Window window{from, to};
    list_service_unloaded_percent_ = ListServiceFigures()["cpu_rest_percent"] =
        window.Percent(&Snapshot::list_service);
    // A window shorter than a watch call may contain no complete call, so its rates would be random.
    const bool measures_traffic = windows_.unloaded >= kMaxWatchCallMs;
    if (measures_traffic) {
      ListServiceFigures()["bytes_in_per_s"] = window.Rate(&ListServiceCounts::bytes_in);
      ListServiceFigures()["bytes_out_per_s"] = window.Rate(&ListServiceCounts::bytes_out);
      ListServiceFigures()["messages_in_per_s"] = ListServiceFigures()["messages_out_per_s"] =
          window.Rate(&ListServiceCounts::calls);
    }
    unloaded_list_bytes_per_s_ = window.Rate(&ListServiceCounts::list_bytes_out);
    if (has_real()) {
      real_unloaded_percent_ = RealGatewayFigures()["cpu_rest_percent"] =
          window.Percent(&Snapshot::real) / size_.gateways_real;
      RealGatewayFigures()["cpu_idle_percent"] = window.Percent(&Snapshot::isolated);
      if (measures_traffic) RecordTraffic(RealGatewayFigures(), window);
    }
    if (has_hollow()) {
      hollow_unloaded_percent_ = HollowGatewayFigures()["cpu_rest_percent"] =
          window.HollowPercent() / size_.gateways_hollow;
      if (measures_traffic) RecordTraffic(HollowGatewayFigures(), window);
    }
  }

  // Records the traffic between one gateway and the list service: the total divided by the number of
  // gateways.
  void RecordTraffic(Figures& figures, const Window& window) {
    figures["bytes_out_per_s"] = window.Rate(&ListServiceCounts::list_bytes_in) / gateways();
    figures["bytes_in_per_s"] = window.Rate(&ListServiceCounts::list_bytes_out) / gateways();
    figures["messages_out_per_s"] = figures["messages_in_per_s"] =
        window.Rate(&ListServiceCounts::list_calls) / gateways();
  }

  // Starts the changes. MeasureChangeDelays stops them.
  void MeasureChanges() {
    if (gateways() == 0 || size_.changes_per_s <= 0) return;
    FleetMembers& members = fleet_.members();
    if (has_hollow()) fleet_.TakeRevisionArrivals();
    members.StartChanging(size_.changes_per_s);
    const double before = members.changes_committed();
    const auto [from, to] = MeasureWindow(windows_.window);
    const Window window{from, to};
    const double committed = members.changes_committed() - before;
    if (committed <= 0)
      throw std::runtime_error(
          fmt::format("no change was committed in the window of {:.0f} ms", windows_.window));
    RecordChangeCosts(window, committed / window.seconds());
  }

  // Runs while changes are sent.
  void MeasureRequests() {
    if (!has_real() || size_.requests_per_s <= 0) return;
    fleet_.requests().Start();
    fleet_.loop().RunFor(windows_.settle);
    fleet_.requests().TakeAddedLatency();
    fleet_.requests().TakeLateness();
    const auto [from, to] = MeasureWindow(windows_.window);
    const Window window{from, to};
    const base::Histogram added = fleet_.requests().TakeAddedLatency();
    const double busy = window.Percent(&Snapshot::real) / size_.gateways_real;
    const double served = static_cast<double>(to.requests.served - from.requests.served);
    const double failed = static_cast<double>(to.requests.not_served - from.requests.not_served);
    RealGatewayFigures()["cpu_busy_percent"] = busy;
    RealGatewayFigures()["cpu_per_request_us"] =
        CostPerOperationUs(busy - real_changing_percent_, served / window.seconds() / size_.gateways_real);
    RealGatewayFigures()["added_ms_p50"] = static_cast<double>(added.Quantile(0.5)) / kUsPerMs;
    RealGatewayFigures()["added_ms_p99"] = static_cast<double>(added.Quantile(0.99)) / kUsPerMs;
    RealGatewayFigures()["served_percent"] = served > 0 ? 100 * served / (served + failed) : 0;
    roles_["load"]["lateness_ms_p99"] =
        static_cast<double>(fleet_.requests().TakeLateness().Quantile(0.99)) / kUsPerMs;
    fleet_.requests().Stop();
  }

  void RecordChangeCosts(const Window& window, double per_second) {
    const double service = window.Percent(&Snapshot::list_service);
    ListServiceFigures()["cpu_busy_percent"] = service;
    ListServiceFigures()["cpu_per_change_us"] =
        CostPerOperationUs(service - list_service_unloaded_percent_, per_second);
    const double bytes =
        std::max(0.0, window.Rate(&ListServiceCounts::list_bytes_out) - unloaded_list_bytes_per_s_) /
        per_second;
    ListServiceFigures()["bytes_per_change"] = bytes;
    if (has_real()) {
      real_changing_percent_ = window.Percent(&Snapshot::real) / size_.gateways_real;
      RealGatewayFigures()["cpu_per_change_us"] =
          CostPerOperationUs(real_changing_percent_ - real_unloaded_percent_, per_second);
      RealGatewayFigures()["bytes_per_change"] = bytes / gateways();
    }
    if (has_hollow()) {
      const double busy = window.HollowPercent() / size_.gateways_hollow;
      HollowGatewayFigures()["cpu_busy_percent"] = busy;
      HollowGatewayFigures()["cpu_per_change_us"] =
          CostPerOperationUs(busy - hollow_unloaded_percent_, per_second);
      HollowGatewayFigures()["bytes_per_change"] = bytes / gateways();
    }
  }

  // Measures, for each change and each hollow gateway, the delay from the operator's request until the
  // gateway receives a list that contains the change.
  void MeasureChangeDelays() {
    FleetMembers& members = fleet_.members();
    members.StopChanging();
    fleet_.loop().RunUntil("the response to the last change", kChangeTimeoutMs,
                           [&] { return members.all_changes_answered(); });
    const std::vector<CommittedChange> committed = members.TakeCommittedChanges();
    if (!has_hollow() || committed.empty()) return;
    std::int64_t newest = 0;
    for (const CommittedChange& change : committed) newest = std::max(newest, change.revision);
    fleet_.WaitForHollowRevision(newest, kChangeTimeoutMs);
    base::Histogram delays;  // in microseconds
    for (const auto& arrivals : fleet_.TakeRevisionArrivals()) {
      for (const CommittedChange& change : committed) {
        const auto found = std::ranges::find_if(
            arrivals, [&](const RevisionArrival& arrival) { return arrival.revision >= change.revision; });
        if (found == arrivals.end())
          throw std::runtime_error(
              fmt::format("a hollow gateway did not receive a change: revision {}", change.revision));
        delays.Add(static_cast<std::uint64_t>(std::max(0.0, kUsPerMs * (found->at - change.sent_at))));
      }
    }
    HollowGatewayFigures()["change_to_gateway_ms_p50"] = static_cast<double>(delays.Quantile(0.5)) / kUsPerMs;
    HollowGatewayFigures()["change_to_gateway_ms_p99"] =
        static_cast<double>(delays.Quantile(0.99)) / kUsPerMs;
    HollowGatewayFigures()["change_to_gateway_ms_max"] = static_cast<double>(delays.max()) / kUsPerMs;
  }

  void MeasureMemory() {
    ListServiceFigures()["memory_mb"] = ResidentMemoryOf(fleet_.list_service());
    roles_["load"]["memory_mb"] = ResidentMemoryOf(getpid());
    if (has_real()) {
      double memory = 0;
      for (const RealGateway& gateway : fleet_.real()) memory += ResidentMemoryOf(gateway.pid);
      RealGatewayFigures()["memory_mb"] = memory / size_.gateways_real;
      RealGatewayFigures()["bytes_per_scrape"] = fleet_.ScrapeBytes(fleet_.real().front());
    }
    if (has_hollow()) {
      double memory = 0;
      for (const HollowProcess& process : fleet_.hollow()) memory += ResidentMemoryOf(process.pid);
      HollowGatewayFigures()["memory_mb"] = memory / size_.gateways_hollow;
    }
    roles_["load"]["renewals_late"] = fleet_.members().renewals_skipped();
    roles_["load"]["renewals_failed"] = fleet_.members().renewals_failed();
    roles_["load"]["changes_failed"] = fleet_.members().changes_failed();
  }

  const FleetSize size_;
  const ScaleWindows windows_;
  ScaleFleet fleet_;
  RoleMeasures roles_;
  std::string complete_list_;       // fetched before the gateways start
  pid_t isolated_gateway_pid_ = 0;  // has the list but no reachable list service
  Millis start_cost_ms_ = 0;
  double list_service_unloaded_percent_ = 0, real_unloaded_percent_ = 0, hollow_unloaded_percent_ = 0,
         unloaded_list_bytes_per_s_ = 0, real_changing_percent_ = 0;
};

}  // namespace

RoleMeasures MeasureFleet(const ScalePrograms& programs, const FleetSize& size, const ScaleWindows& windows,
                          std::uint64_t seed, Millis deadline) {
  return FleetRun(programs, size, windows, seed, deadline).Run();
}

}  // namespace gateway::lab
