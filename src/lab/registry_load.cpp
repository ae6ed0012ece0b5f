#include "lab/registry_load.hpp"

#include <fmt/format.h>
#include <signal.h>

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string_view>

#include "base/histogram.hpp"
#include "lab/addresses.hpp"
#include "lab/http_server.hpp"
#include "lab/processes.hpp"
#include "lab/temporary_folder.hpp"
#include "registry/http_request.hpp"
#include "storage/file_system.hpp"

namespace gateway::lab {
namespace {

using boost::system::error_code;
using nlohmann::json;

constexpr Millis kCallTimeout = 20000;
constexpr Millis kChangePeriod = 100;
constexpr Millis kStepTimeout = 120000;  // limit on the time of each step of the measurement
constexpr Millis kWatchTimeout = 60000;
constexpr Millis kWatchGrace = 10000;
constexpr Millis kRenewalTick = 2;
constexpr Millis kSyncMeasurementTime = 1000;
constexpr std::size_t kRecordBytes = 160;  // size of the records that the list service writes
constexpr std::size_t kRenewers = 64;      // number of connections that renew leases
constexpr int kRenewalsPerTerm = 3;
constexpr double kMillisPerSecond = 1000;
constexpr double kMicrosPerMilli = 1000;
constexpr double kKilobytesPerMegabyte = 1024;

std::string GetRequestText(const std::string& target) { return base::FormatGetRequest(target, "r"); }

std::uint64_t ToMicros(Millis time) {
  return static_cast<std::uint64_t>(std::max(0.0, kMicrosPerMilli * time));
}

class Measurement {
 public:
  explicit Measurement(const RegistryLoad& load)
      : load_(load), addresses_(io_), renewal_timer_(io_), processes_(io_, [](const ProcessEnd&) {}) {}

  std::map<std::string, double> Run() {
    figures_["disk_syncs_per_s"] = MeasureSyncRate();
    StartService();
    MeasureRegistration();
    RenewDueLeases();
    MeasureWatcherMemory();
    MeasureChanges();
    StopWatchers();
    MeasureWrites();
    MeasureRestart();
    processes_.KillAll();
    return figures_;
  }

 private:
  // Registers all members concurrently.
  void MeasureRegistration() {
    const Millis started_at = MonotonicNow();
    SendCommands(load_.members, [this](int i) { return MakeRegistration(i); });
    figures_["register_all_s"] = (MonotonicNow() - started_at) / kMillisPerSecond;
  }

  void MeasureWatcherMemory() {
    const double memory_before = ResidentKilobytes();
    StartWatchers();
    figures_["memory_kb_per_watcher"] = (ResidentKilobytes() - memory_before) / std::max(1, load_.watchers);
  }

  void StopWatchers() {
    watching_ = false;
    watchers_.clear();
  }

  // Measures writes without watchers, while leases are renewed.
  void MeasureWrites() {
    const double syncs_before = Metric("syncs_total");
    const double writes_before = Metric("writes_total");
    const Millis started_at = MonotonicNow();
    SendCommands(load_.history, [this](int i) { return MakeChange(registry::Action::kSetSize, i); });
    const double seconds = (MonotonicNow() - started_at) / kMillisPerSecond;
    const double syncs = Metric("syncs_total") - syncs_before;
    figures_["writes_per_s"] = load_.history / seconds;
    figures_["writes_per_disk_sync"] = load_.history / seconds / figures_["disk_syncs_per_s"];
    figures_["writes_per_commit"] = (Metric("writes_total") - writes_before) / std::max(1.0, syncs);
    figures_["rss_mb"] = ResidentKilobytes() / kKilobytesPerMegabyte;
  }

  void MeasureRestart() {
    figures_["renewals_failed"] = renewals_failed_;
    renewing_ = false;
    processes_.Signal(pid_, SIGKILL);
    const Millis started_at = MonotonicNow();
    StartService();
    figures_["back_after_kill_ms"] = MonotonicNow() - started_at;
    const json list = json::parse(Get("/registry/members"), nullptr, /*allow_exceptions=*/false);
    figures_["members_after_kill"] = static_cast<double>(list["members"].size());
  }

  static std::string MemberId(int i) { return fmt::format("m-{:05d}", i); }
  registry::Command MakeRegistration(int i) const {
    registry::Command command;
    command.member.id = MemberId(i);
    command.member.address = fmt::format("10.{}.{}.{}:3000", 1 + i / 62500, i / 250 % 250, 1 + i % 250);
    command.member.zone = std::string(1, static_cast<char>('a' + i % 3));
    command.member.machine_type = "standard";
    command.member.incarnation = 1;
    command.member.lease_duration = load_.term;
    return command;
  }
  registry::Command MakeChange(registry::Action action, int i) const {
    registry::Command command;
    command.action = action;
    command.member.id = MemberId(i % load_.members);
    command.member.size = 1 + i % 7;
    command.by_operator = true;
    return command;
  }

  // Returns the number of syncs per second of a file to which records of the service's size are appended.
  double MeasureSyncRate() {
    const auto files = storage::MakePosixFileSystem();
    std::unique_ptr<storage::File> file;
    if (const auto status = files->Create(folder_.path() / "syncs", file); !status.ok()) {
      throw std::runtime_error(status.Text());
    }
    const std::string record(kRecordBytes, 'x');
    int syncs = 0;
    const Millis started_at = MonotonicNow();
    for (; MonotonicNow() < started_at + kSyncMeasurementTime; ++syncs) {
      if (!file->Append(record).ok() || !file->Sync().ok()) {
        throw std::runtime_error("can't write or sync the file '" + (folder_.path() / "syncs").string() +
                                 "'");
      }
    }
    return syncs / ((MonotonicNow() - started_at) / kMillisPerSecond);
  }

  void StartService() {
    const auto config = folder_.path() / "registry.toml";
    std::ofstream(config) << "listen = \"" << Addresses::Text(addresses_.Registry()) << "\"\nstate_dir = \""
                          << (folder_.path() / "state").string()
                          << "\"\n[history]\nchanges = " << std::max(1000, load_.history)
                          << "\n[watches]\ncallers = " << load_.watchers + load_.members + 1000
                          << "\nwhole_lists_per_s = 5000\n";
    ProcessSpec spec;
    spec.command = fmt::format("{} registry serve {}", load_.program, config.string());
    spec.log = (folder_.path() / "log").string();
    pid_ = processes_.Start(spec);
    bool up = false;
    const Millis until = MonotonicNow() + kStepTimeout;
    while (!up && MonotonicNow() < until) {
      const auto connection = std::make_shared<ClientConnection>(io_, addresses_.Registry());
      bool done = false;
      connection->Exchange(GetRequestText("/registry/status"), kCallTimeout,
                           [&](ClientConnection::Result result) {
                             done = true;
                             up = result.ok();
                           });
      RunUntil([&] { return done; });
    }
    if (!up) {
      throw std::runtime_error(
          fmt::format("the list service does not respond within {:g} s", kStepTimeout / kMillisPerSecond));
    }
  }

  template <typename Done>
  void RunUntil(Done done) {
    const Millis until = MonotonicNow() + kStepTimeout;
    while (!done()) {
      if (MonotonicNow() > until) {
        throw std::runtime_error(
            fmt::format("a step of the measurement did not finish within {:g} s: the list service is too "
                        "slow for this load",
                        kStepTimeout / kMillisPerSecond));
      }
      io_.run_one_for(std::chrono::milliseconds(10));
    }
  }

  std::string Get(const std::string& target) {
    std::optional<std::string> body;
    std::make_shared<ClientConnection>(io_, addresses_.Registry())
        ->Exchange(GetRequestText(target), kCallTimeout,
                   [&](ClientConnection::Result result) { body = result.response.body(); });
    RunUntil([&] { return body.has_value(); });
    return *body;
  }

  double Metric(const std::string& name) {
    const std::string text = Get("/metrics"), line = "\nelderhead_registry_" + name + " ";
    const std::size_t at = text.find(line);
    return at == std::string::npos ? 0 : std::atof(text.c_str() + at + line.size());
  }

  double ResidentKilobytes() const {
    std::ifstream status(fmt::format("/proc/{}/status", pid_));
    for (std::string word; status >> word;) {
      if (word == "VmRSS:") {
        double kb = 0;
        status >> kb;
        return kb;
      }
    }
    return 0;
  }

  // Sends `count` commands over the connections of the writers. Each connection sends its next command when
  // the previous command has been answered. `make_command` returns the i-th command.
  template <typename MakeCommand>
  void SendCommands(int count, MakeCommand make_command) {
    int next = 0;
    int done = 0;
    int failed = 0;
    std::function<void(std::shared_ptr<ClientConnection>)> write =
        [&](std::shared_ptr<ClientConnection> connection) {
          if (next >= count) return;
          connection->Exchange(EncodeRequest(make_command(next++)), kCallTimeout,
                               [&, connection](ClientConnection::Result result) {
                                 ++done;
                                 failed += result.ok() ? 0 : 1;
                                 if (connection->usable()) write(connection);
                               });
        };
    for (int i = 0; i < std::min(load_.writers, count); ++i) {
      write(std::make_shared<ClientConnection>(io_, addresses_.Registry()));
    }
    RunUntil([&] { return done >= count || failed > 0; });
    if (failed > 0) {
      throw std::runtime_error(
          fmt::format("{} of the first {} writes to the list service failed", failed, done));
    }
  }

  // Renews the leases of the members in turn, evenly distributed over time.
  void RenewDueLeases() {
    if (!renewing_) return;
    const Millis now = MonotonicNow();
    if (last_renewal_due_at_ == 0) last_renewal_due_at_ = now;
    while (last_renewal_due_at_ < now) {
      last_renewal_due_at_ += load_.term / kRenewalsPerTerm / load_.members;
      RenewNextLease();
    }
    renewal_timer_.expires_after(TimerDuration(kRenewalTick));
    renewal_timer_.async_wait([this](error_code ec) {
      if (!ec) RenewDueLeases();
    });
  }

  // Skips a renewal if the previous renewal on its connection has not been answered.
  void RenewNextLease() {
    Renewer& renewer = renewers_[static_cast<std::size_t>(next_renewal_) % kRenewers];
    if (std::exchange(renewer.busy, true)) {
      ++next_renewal_;
      return;
    }
    auto& connection = renewer.connection;
    if (!connection || !connection->usable()) {
      connection = std::make_shared<ClientConnection>(io_, addresses_.Registry());
    }
    connection->Exchange(
        EncodeRequest(registry::RenewalRequest{MemberId(next_renewal_++ % load_.members), 1}), kCallTimeout,
        [this, &renewer](const ClientConnection::Result& result) {
          renewer.busy = false;
          renewals_failed_ += renewing_ && !result.ok() ? 1 : 0;
        });
  }

  void StartWatchers() {
    const json list = json::parse(Get("/discovery/hosts"), nullptr, false);
    for (int i = 0; i < load_.watchers; ++i) {
      watchers_.push_back(std::make_shared<ClientConnection>(io_, addresses_.Registry()));
      WatchNextRevision(i, list["revision"]);
    }
    RunUntil([this] { return Metric("watches") >= load_.watchers; });
  }

  // Returns the revision N of a list. The list must start with {"revision":N; the rest of the list is not
  // parsed.
  static std::int64_t ParseRevision(const std::string& list) {
    constexpr std::string_view kPrefix = "{\"revision\":";
    return std::atoll(list.c_str() + kPrefix.size());
  }

  void WatchNextRevision(int watcher, std::int64_t after) {
    watchers_[static_cast<std::size_t>(watcher)]->Exchange(
        GetRequestText(fmt::format("/discovery/hosts?after={}&wait_ms={:.0f}", after, kWatchTimeout)),
        kWatchTimeout + kWatchGrace, [this, watcher, after](ClientConnection::Result result) {
          if (!watching_) return;
          if (result.failure != ClientConnection::Failure::kNone) return void(++watch_failures_);
          const std::int64_t revision = ParseRevision(result.response.body());
          if (revision > after && change_answered_at_ > 0) {
            notification_delays_.Add(ToMicros(MonotonicNow() - change_answered_at_));
            ++notified_;
          } else if (revision > after) {
            early_events_.push_back(MonotonicNow());
          }
          WatchNextRevision(watcher, revision);
        });
  }

  void MeasureChanges() {
    const auto writer = std::make_shared<ClientConnection>(io_, addresses_.Registry());
    for (int i = 0; i < load_.changes; ++i) {
      notified_ = 0;
      change_answered_at_ = 0;
      early_events_.clear();
      writer->Exchange(EncodeRequest(MakeChange(registry::Action::kDrain, i)), kCallTimeout,
                       [this](ClientConnection::Result) {
                         // The service answers after it has synced the change to disk.
                         change_answered_at_ = MonotonicNow();
                         for (const Millis at : early_events_) {
                           notification_delays_.Add(ToMicros(at - change_answered_at_));
                         }
                         notified_ += static_cast<int>(early_events_.size());
                       });
      RunUntil([this] { return change_answered_at_ > 0 && notified_ + watch_failures_ >= load_.watchers; });
      const Millis next = change_answered_at_ + kChangePeriod;
      RunUntil([next] { return MonotonicNow() >= next; });
    }
    WriteNotificationDelays();
  }

  void WriteNotificationDelays() {
    for (const auto& [name, share] : {std::pair("p50", 0.5), {"p99", 0.99}, {"max", 1.0}}) {
      figures_[fmt::format("change_to_watcher_{}_ms", name)] =
          static_cast<double>(notification_delays_.Quantile(share)) / kMicrosPerMilli;
    }
    figures_["watches_failed"] = watch_failures_;
  }

  struct Renewer {
    std::shared_ptr<ClientConnection> connection;
    bool busy = false;
  };

  const RegistryLoad load_;
  boost::asio::io_context io_{1};
  TemporaryFolder folder_;
  Addresses addresses_;
  boost::asio::steady_timer renewal_timer_;
  std::array<Renewer, kRenewers> renewers_;
  std::vector<std::shared_ptr<ClientConnection>> watchers_;
  std::map<std::string, double> figures_;
  base::Histogram notification_delays_;  // from the response to a change to its watch event, in microseconds
  std::vector<Millis> early_events_;  // times of watch events that arrived before the response to the change
  Millis last_renewal_due_at_ = 0;    // when the latest renewal was due; 0: no renewal yet
  Millis change_answered_at_ = 0;     // when the current change was answered; 0: not answered yet
  int next_renewal_ = 0;
  int renewals_failed_ = 0;
  int notified_ = 0;  // watchers that have received the current change
  int watch_failures_ = 0;
  bool renewing_ = true;
  bool watching_ = true;
  pid_t pid_ = 0;
  Processes processes_;
};

}  // namespace

std::map<std::string, double> MeasureRegistry(const RegistryLoad& load) { return Measurement(load).Run(); }

}  // namespace gateway::lab
