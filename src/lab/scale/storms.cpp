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

constexpr Millis kSampleEvery = 100;
constexpr Millis kLeastInterval = 40;  // for a rate
constexpr Millis kMetricsPatience = 30000;
constexpr Millis kCurrentWithin = 60000;
constexpr Millis kBeforeOutage = 1000;

struct Peaks {
  double bytes_per_s = 0, cpu_percent = 0, queue = 0;
};

// Looks at the list service ten times a second: its CPU and queue from outside, its bytes by its own
// counters, with one question out at a time, so that a busy service is not asked more.
class StormSampler {
 public:
  explicit StormSampler(ScaleFleet& fleet)
      : fleet_(fleet), queue_(fleet.list_service_address()), timer_(fleet.loop().io()) {}

  void Start() {
    cpu_ = CpuTimeOf(fleet_.list_service());
    cpu_at_ = base::MonotonicNow();
    NoteBytes(fleet_.Counts());
    Sample();
  }
  // The last interval counts too, so a storm shorter than a sample is seen.
  Peaks Stop() {
    fleet_.loop().RunFor(kLeastInterval);
    on_ = false;
    timer_.cancel();
    SampleCpu();
    NoteBytes(fleet_.Counts());
    return peaks_;
  }

 private:
  void Sample() {
    if (!on_) return;
    SampleCpu();
    peaks_.queue = std::max<double>(peaks_.queue, queue_.Waiting());
    AskBytes();
    timer_.expires_after(base::TimerDuration(kSampleEvery));
    timer_.async_wait([this](error_code ec) {
      if (!ec) Sample();
    });
  }

  void SampleCpu() {
    const Millis now = base::MonotonicNow(), cpu = CpuTimeOf(fleet_.list_service());
    if (now - cpu_at_ < kLeastInterval) return;
    peaks_.cpu_percent = std::max(peaks_.cpu_percent, 100 * (cpu - cpu_) / (now - cpu_at_));
    cpu_ = cpu;
    cpu_at_ = now;
  }

  void AskBytes() {
    if (std::exchange(asking_, true)) return;
    if (!connection_ || !connection_->usable()) {
      connection_ = std::make_shared<ClientConnection>(fleet_.loop().io(), fleet_.list_service_address());
    }
    connection_->Exchange(base::FormatGetRequest("/metrics", "scale"), kMetricsPatience,
                          [this](ClientConnection::Result result) {
                            asking_ = false;
                            if (on_ && result.failure == ClientConnection::Failure::kNone) {
                              NoteBytes(ParseListServiceCounts(result.response.body()));
                            }
                          });
  }

  void NoteBytes(const ListServiceCounts& counts) {
    const Millis now = base::MonotonicNow();
    const double bytes = counts.bytes_in + counts.bytes_out;
    if (bytes_at_ > 0 && now - bytes_at_ < kLeastInterval) return;
    if (bytes_at_ > 0) {
      peaks_.bytes_per_s = std::max(peaks_.bytes_per_s, 1000 * (bytes - bytes_) / (now - bytes_at_));
    }
    bytes_ = bytes;
    bytes_at_ = now;
  }

  ScaleFleet& fleet_;
  RequestQueue queue_;
  boost::asio::steady_timer timer_;
  std::shared_ptr<ClientConnection> connection_;
  Peaks peaks_;
  bool on_ = true, asking_ = false;
  Millis cpu_ = 0, cpu_at_ = 0, bytes_at_ = 0;
  double bytes_ = 0;
};

struct Outcome {
  Peaks peaks;
  Millis all_current = 0;
};

// A fleet whose hosts are listed and renew.
std::unique_ptr<ScaleFleet> ListedFleet(const ScalePrograms& programs, const FleetSize& size,
                                        std::uint64_t seed, Millis deadline) {
  auto fleet = std::make_unique<ScaleFleet>(programs, size, seed, deadline);
  fleet->StartListService();
  fleet->members().RegisterAll();
  fleet->members().StartRenewing();
  return fleet;
}

void StartAndWait(ScaleFleet& fleet, int gateways) {
  fleet.StartHollowGateways(0, gateways, HollowStartList(gateways, fleet.CompleteList()));
  fleet.WaitForHollowReady(kCurrentWithin);
}

// The other zones' gateways are up; then those of one zone start together and know nothing.
Outcome ZoneStarts(ScaleFleet& fleet) {
  const int all = fleet.size().gateways_hollow, zone = std::max(1, all / fleet.size().zones);
  if (all > zone) StartAndWait(fleet, all - zone);
  const std::size_t before = fleet.hollow().size();
  StormSampler sampler(fleet);
  sampler.Start();
  fleet.StartHollowGateways(all - zone, zone, nullptr);
  Outcome outcome;
  outcome.all_current = fleet.WaitForHollowReady(kCurrentWithin, before);
  outcome.peaks = sampler.Stop();
  return outcome;
}

// From the start of its process to the moment when every gateway has a change that was made at once.
Outcome ListServiceReturns(ScaleFleet& fleet, Millis outage) {
  StartAndWait(fleet, fleet.size().gateways_hollow);
  fleet.loop().RunFor(kBeforeOutage);
  fleet.KillListService();
  fleet.loop().RunFor(outage);
  const Millis back_at = base::MonotonicNow();
  fleet.StartListService();
  StormSampler sampler(fleet);
  sampler.Start();
  FleetMembers& members = fleet.members();
  members.TakeCommitted();
  members.MakeChange();
  fleet.loop().RunUntil("the answer to a change", kCurrentWithin,
                        [&] { return members.all_changes_answered(); });
  const std::vector<CommittedChange> kept = members.TakeCommitted();
  if (kept.empty()) throw std::runtime_error("the list service refused a change after its return");
  fleet.WaitForHollowRevision(kept.back().revision, kCurrentWithin);
  Outcome outcome;
  outcome.all_current = base::MonotonicNow() - back_at;
  outcome.peaks = sampler.Stop();
  return outcome;
}

void Worsen(StormResult& result, const Outcome& outcome) {
  result.peak_bytes_per_s = std::max(result.peak_bytes_per_s, outcome.peaks.bytes_per_s);
  result.peak_cpu_percent = std::max(result.peak_cpu_percent, outcome.peaks.cpu_percent);
  result.peak_queue = std::max(result.peak_queue, outcome.peaks.queue);
  result.all_current_ms = std::max(result.all_current_ms, outcome.all_current);
}

}  // namespace

std::vector<StormResult> RunStorms(const ScaleExperiment& e, const ScalePrograms& programs,
                                   const StormOptions& options) {
  const FleetSize& size = options.quick ? e.quick_fixed : e.fixed;
  const Millis outage = options.quick ? e.quick_outage : e.outage;
  const int runs = options.runs > 0 ? options.runs : options.quick ? 1 : e.runs;
  const std::uint64_t seed = options.seed > 0 ? options.seed : e.seed;
  StormResult blank;
  blank.experiment = e.file;
  blank.seed = seed;
  blank.runs = static_cast<unsigned>(runs);
  blank.fixed = FixedFigures(size);
  blank.fixed["outage_s"] = outage / 1000;
  StormResult starts = blank, returns = blank;
  starts.storm = "zone_starts";
  returns.storm = "list_service_returns";
  const auto note = [&](const StormResult& result, int run) {
    if (!options.note) return;
    options.note(fmt::format("{}: {}, play {} of {}: all current after {:.0f} ms at worst", e.name,
                             result.storm, run + 1, runs, result.all_current_ms));
  };
  for (int run = 0; run < runs; ++run) {
    const std::uint64_t its_seed = seed + static_cast<std::uint64_t>(run);
    Worsen(starts, ZoneStarts(*ListedFleet(programs, size, its_seed, options.deadline)));
    note(starts, run);
    Worsen(returns, ListServiceReturns(*ListedFleet(programs, size, its_seed, options.deadline), outage));
    note(returns, run);
  }
  return {std::move(starts), std::move(returns)};
}

}  // namespace gateway::lab
