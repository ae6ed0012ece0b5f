#include "lab/scale/storms.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <cstdlib>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/http_client.hpp"
#include "lab/scale/process_usage.hpp"
#include "lab/scale/request_queue.hpp"

namespace gateway::lab {
namespace {

using base::ClientConnection;
using boost::system::error_code;

constexpr Millis kSamplePeriodMs = 100;
constexpr Millis kMinRateIntervalMs = 40;  // a rate over a shorter interval is not reliable
constexpr Millis kMetricsTimeoutMs = 30000;
constexpr Millis kConvergenceTimeoutMs = 60000;
constexpr Millis kSettleBeforeOutageMs = 1000;

struct Peaks {
  double bytes_per_s = 0, cpu_percent = 0, queue = 0;
};

// Samples the list service ten times a second: CPU time and request queue from the kernel, bytes from the
// service's metrics. At most one metrics request is pending at a time, to limit the load that the sampler
// adds to a busy service.
class StormSampler {
 public:
  explicit StormSampler(ScaleFleet& fleet)
      : fleet_(fleet), queue_(fleet.list_service_address()), timer_(fleet.loop().io()) {}

  void Start() {
    last_cpu_ = CpuTimeOf(fleet_.list_service());
    last_cpu_at_ = base::MonotonicNow();
    RecordBytes(fleet_.FetchCounts());
    Sample();
  }
  // Takes a last sample, so that the peaks include a storm that is shorter than the sample period.
  Peaks Stop() {
    fleet_.loop().RunFor(kMinRateIntervalMs);
    running_ = false;
    timer_.cancel();
    SampleCpu();
    RecordBytes(fleet_.FetchCounts());
    return peaks_;
  }

 private:
  void Sample() {
    if (!running_) return;
    SampleCpu();
    peaks_.queue = std::max<double>(peaks_.queue, queue_.PendingRequests());
    RequestMetrics();
    timer_.expires_after(base::TimerDuration(kSamplePeriodMs));
    timer_.async_wait([this](error_code ec) {
      if (!ec) Sample();
    });
  }

  void SampleCpu() {
    const Millis now = base::MonotonicNow(), cpu = CpuTimeOf(fleet_.list_service());
    if (now - last_cpu_at_ < kMinRateIntervalMs) return;
    peaks_.cpu_percent = std::max(peaks_.cpu_percent, 100 * (cpu - last_cpu_) / (now - last_cpu_at_));
    last_cpu_ = cpu;
    last_cpu_at_ = now;
  }

  void RequestMetrics() {
    if (std::exchange(metrics_pending_, true)) return;
    if (!connection_ || !connection_->usable()) {
      connection_ = std::make_shared<ClientConnection>(fleet_.loop().io(), fleet_.list_service_address());
    }
    connection_->Exchange(base::FormatGetRequest("/metrics", "scale"), kMetricsTimeoutMs,
                          [this](ClientConnection::Result result) {
                            metrics_pending_ = false;
                            if (running_ && result.failure == ClientConnection::Failure::kNone) {
                              RecordBytes(ParseListServiceCounts(result.response.body()));
                            }
                          });
  }

  void RecordBytes(const ListServiceCounts& counts) {
    const Millis now = base::MonotonicNow();
    const double bytes = counts.bytes_in + counts.bytes_out;
    if (last_bytes_at_ > 0 && now - last_bytes_at_ < kMinRateIntervalMs) return;
    if (last_bytes_at_ > 0) {
      peaks_.bytes_per_s =
          std::max(peaks_.bytes_per_s, 1000 * (bytes - last_bytes_) / (now - last_bytes_at_));
    }
    last_bytes_ = bytes;
    last_bytes_at_ = now;
  }

  ScaleFleet& fleet_;
  RequestQueue queue_;
  boost::asio::steady_timer timer_;
  std::shared_ptr<ClientConnection> connection_;
  Peaks peaks_;
  bool running_ = true, metrics_pending_ = false;
  Millis last_cpu_ = 0, last_cpu_at_ = 0, last_bytes_at_ = 0;
  double last_bytes_ = 0;
};

struct StormMeasures {
  Peaks peaks;
  Millis convergence = 0;
};

// Starts a fleet whose hosts are registered and renew their leases.
std::unique_ptr<ScaleFleet> StartRegisteredFleet(const ScalePrograms& programs, const FleetSize& size,
                                                 std::uint64_t seed, Millis deadline) {
  auto fleet = std::make_unique<ScaleFleet>(programs, size, seed, deadline);
  fleet->StartListService();
  fleet->members().RegisterAll();
  fleet->members().StartRenewing();
  return fleet;
}

void StartHollowGatewaysAndWait(ScaleFleet& fleet, int gateways) {
  fleet.StartHollowGateways(0, gateways, InitialHollowList(gateways, fleet.FetchCompleteList()));
  fleet.WaitForHollowReady(kConvergenceTimeoutMs);
}

// Starts the gateways of all zones except one and waits until they are ready. Then starts the gateways of the
// remaining zone together, without an initial list, and measures the time until they have the list.
StormMeasures RunZoneStart(ScaleFleet& fleet) {
  const int all_gateways = fleet.size().gateways_hollow,
            zone_gateways = std::max(1, all_gateways / fleet.size().zones);
  if (all_gateways > zone_gateways) StartHollowGatewaysAndWait(fleet, all_gateways - zone_gateways);
  const std::size_t processes_before = fleet.hollow().size();
  StormSampler sampler(fleet);
  sampler.Start();
  fleet.StartHollowGateways(all_gateways - zone_gateways, zone_gateways, nullptr);
  StormMeasures measures;
  measures.convergence = fleet.WaitForHollowReady(kConvergenceTimeoutMs, processes_before);
  measures.peaks = sampler.Stop();
  return measures;
}

// Stops the list service and restarts it after `outage`. Measures the time from the start of the new process
// until every gateway has received a change, which an operator sends as soon as the list service answers.
StormMeasures RunListServiceRestart(ScaleFleet& fleet, Millis outage) {
  StartHollowGatewaysAndWait(fleet, fleet.size().gateways_hollow);
  fleet.loop().RunFor(kSettleBeforeOutageMs);
  fleet.KillListService();
  fleet.loop().RunFor(outage);
  const Millis restarted_at = base::MonotonicNow();
  fleet.StartListService();
  StormSampler sampler(fleet);
  sampler.Start();
  FleetMembers& members = fleet.members();
  members.TakeCommittedChanges();
  members.SendChange();
  fleet.loop().RunUntil("the response to a change", kConvergenceTimeoutMs,
                        [&] { return members.all_changes_answered(); });
  const std::vector<CommittedChange> committed = members.TakeCommittedChanges();
  if (committed.empty()) throw std::runtime_error("the list service refused a change after its restart");
  fleet.WaitForHollowRevision(committed.back().revision, kConvergenceTimeoutMs);
  StormMeasures measures;
  measures.convergence = base::MonotonicNow() - restarted_at;
  measures.peaks = sampler.Stop();
  return measures;
}

void KeepLargest(StormResult& result, const StormMeasures& measures) {
  result.peak_bytes_per_s = std::max(result.peak_bytes_per_s, measures.peaks.bytes_per_s);
  result.peak_cpu_percent = std::max(result.peak_cpu_percent, measures.peaks.cpu_percent);
  result.peak_queue = std::max(result.peak_queue, measures.peaks.queue);
  result.convergence_ms = std::max(result.convergence_ms, measures.convergence);
}

}  // namespace

std::vector<StormResult> RunStorms(const ScaleExperiment& experiment, const ScalePrograms& programs,
                                   const StormOptions& options) {
  const FleetSize& size = options.quick ? experiment.quick_fixed : experiment.fixed;
  const Millis outage = options.quick ? experiment.quick_outage : experiment.outage;
  const int runs = options.runs > 0 ? options.runs : options.quick ? 1 : experiment.runs;
  const std::uint64_t seed = options.seed > 0 ? options.seed : experiment.seed;
  StormResult unmeasured;
  unmeasured.experiment = experiment.file;
  unmeasured.seed = seed;
  unmeasured.runs = static_cast<unsigned>(runs);
  unmeasured.fixed = FixedSizes(size);
  unmeasured.fixed["outage_s"] = outage / 1000;
  StormResult zone_start = unmeasured, restart = unmeasured;
  zone_start.storm = "zone_starts";
  restart.storm = "list_service_returns";
  const auto report_progress = [&](const StormResult& result, int run) {
    if (!options.on_progress) return;
    options.on_progress(
        fmt::format("{}: {}, run {} of {}: all gateways had the latest list after at most {:.0f} ms",
                    experiment.name, result.storm, run + 1, runs, result.convergence_ms));
  };
  for (int run = 0; run < runs; ++run) {
    const std::uint64_t run_seed = seed + static_cast<std::uint64_t>(run);
    KeepLargest(zone_start, RunZoneStart(*StartRegisteredFleet(programs, size, run_seed, options.deadline)));
    report_progress(zone_start, run);
    KeepLargest(restart, RunListServiceRestart(
                             *StartRegisteredFleet(programs, size, run_seed, options.deadline), outage));
    report_progress(restart, run);
  }
  return {std::move(zone_start), std::move(restart)};
}

}  // namespace gateway::lab
