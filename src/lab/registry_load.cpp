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

#include "base/histogram.hpp"
#include "lab/addresses.hpp"
#include "lab/http.hpp"
#include "lab/processes.hpp"
#include "lab/temporary_folder.hpp"
#include "registry/http_request.hpp"
#include "storage/file_system.hpp"

namespace gateway::lab {
namespace {

using boost::system::error_code;
using nlohmann::json;

constexpr Millis kPatience = 20000;
constexpr Millis kChangeEvery = 100;
constexpr Millis kSetUp = 120000;  // longest for any step

std::string ReadOf(const std::string& target) { return "GET " + target + " HTTP/1.1\r\nHost: r\r\n\r\n"; }

class Measurement {
 public:
  explicit Measurement(const RegistryLoad& load)
      : load_(load), addresses_(io_), renew_(io_), processes_(io_, [](const ProcessEnd&) {}) {}

  std::map<std::string, double> Run() {
    const double sync_rate = SyncRate();
    f_["disk_syncs_per_s"] = sync_rate;
    Start();
    // All register at once.
    Millis begun = MonotonicNow();
    WriteMany(load_.members, [this](int i) { return Register(i); });
    f_["register_all_s"] = (MonotonicNow() - begun) / 1000;
    Renew();
    const double rss_before = Rss();
    Watch();
    f_["memory_kb_per_watcher"] = (Rss() - rss_before) / std::max(1, load_.watchers);
    TimeChanges();
    // Writes a second beside renewals, with nobody watching.
    watching_ = false;
    watchers_.clear();
    const auto syncs_before = Metric("syncs_total"), writes_before = Metric("writes_total");
    begun = MonotonicNow();
    WriteMany(load_.history, [this](int i) { return Change(registry::Action::kSetSize, i); });
    const double seconds = (MonotonicNow() - begun) / 1000, syncs = Metric("syncs_total") - syncs_before;
    f_["writes_per_s"] = load_.history / seconds;
    f_["writes_per_disk_sync"] = load_.history / seconds / sync_rate;
    f_["writes_per_commit"] = (Metric("writes_total") - writes_before) / std::max(1.0, syncs);
    f_["rss_mb"] = Rss() / 1024;
    f_["renewals_failed"] = renewals_failed_;
    renewing_ = false;
    processes_.Signal(pid_, SIGKILL);
    begun = MonotonicNow();
    Start();
    f_["back_after_kill_ms"] = MonotonicNow() - begun;
    const json list = json::parse(Get("/registry/members"), nullptr, false);
    f_["members_after_kill"] = static_cast<double>(list["members"].size());
    processes_.EndAll();
    return f_;
  }

 private:
  std::string Id(int i) const { return fmt::format("m-{:05d}", i); }
  registry::Command Register(int i) const {
    registry::Command command;
    command.member.id = Id(i);
    command.member.address = fmt::format("10.{}.{}.{}:3000", 1 + i / 62500, i / 250 % 250, 1 + i % 250);
    command.member.zone = std::string(1, static_cast<char>('a' + i % 3));
    command.member.machine_type = "standard";
    command.member.incarnation = 1;
    command.member.lease_duration = load_.term;
    return command;
  }
  registry::Command Change(registry::Action action, int i) const {
    registry::Command command;
    command.action = action;
    command.member.id = Id(i % load_.members);
    command.member.size = 1 + i % 7;
    command.by_operator = true;
    return command;
  }

  // Records as large as the service's, one sync each, for a second.
  double SyncRate() {
    const auto files = storage::MakePosixFileSystem();
    std::unique_ptr<storage::File> file;
    if (const auto status = files->Create(folder_.path() / "syncs", file); !status.ok()) {
      throw std::runtime_error(status.Text());
    }
    const std::string record(160, 'x');
    int syncs = 0;
    const Millis begun = MonotonicNow();
    for (; MonotonicNow() < begun + 1000; ++syncs) {
      if (!file->Append(record).ok() || !file->Sync().ok()) throw std::runtime_error("the disk fails a sync");
    }
    return syncs / ((MonotonicNow() - begun) / 1000);
  }

  void Start() {
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
    const Millis until = MonotonicNow() + kSetUp;
    while (!up && MonotonicNow() < until) {
      const auto connection = std::make_shared<ClientConnection>(io_, addresses_.Registry());
      bool done = false;
      connection->Exchange(ReadOf("/registry/status"), kPatience, [&](ClientConnection::Result result) {
        done = true;
        up = result.failure == ClientConnection::Failure::kNone && result.response.result_int() == 200;
      });
      RunUntil([&] { return done; });
    }
    if (!up) throw std::runtime_error("the list service does not answer");
  }

  template <typename Done>
  void RunUntil(Done done) {
    const Millis until = MonotonicNow() + kSetUp;
    while (!done()) {
      if (MonotonicNow() > until) throw std::runtime_error("the list service is too slow for this load");
      io_.run_one_for(std::chrono::milliseconds(10));
    }
  }

  std::string Get(const std::string& target) {
    std::optional<std::string> body;
    std::make_shared<ClientConnection>(io_, addresses_.Registry())
        ->Exchange(ReadOf(target), kPatience,
                   [&](ClientConnection::Result result) { body = result.response.body(); });
    RunUntil([&] { return body.has_value(); });
    return *body;
  }

  double Metric(const std::string& name) {
    const std::string text = Get("/metrics"), line = "\nelderhead_registry_" + name + " ";
    const std::size_t at = text.find(line);
    return at == std::string::npos ? 0 : std::atof(text.c_str() + at + line.size());
  }

  double Rss() const {
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

  // `count` writes over the writers' connections, each sending its next one at its answer.
  template <typename Make>
  void WriteMany(int count, Make make) {
    int next = 0, done = 0, failed = 0;
    std::function<void(std::shared_ptr<ClientConnection>)> write = [&](std::shared_ptr<ClientConnection> on) {
      if (next >= count) return;
      on->Exchange(EncodeRequest(make(next++)), kPatience, [&, on](ClientConnection::Result result) {
        ++done;
        failed += result.failure != ClientConnection::Failure::kNone || result.response.result_int() != 200;
        if (on->usable()) write(on);
      });
    };
    for (int i = 0; i < std::min(load_.writers, count); ++i) {
      write(std::make_shared<ClientConnection>(io_, addresses_.Registry()));
    }
    RunUntil([&] { return done >= count || failed > 0; });
    if (failed > 0) throw std::runtime_error("a write failed");
  }

  // Members renew in turn, spread evenly over a third of the term.
  void Renew() {
    if (!renewing_) return;
    const Millis now = MonotonicNow();
    if (renewed_at_ == 0) renewed_at_ = now;
    while (renewed_at_ < now) {
      renewed_at_ += load_.term / 3 / load_.members;
      const auto place = static_cast<std::size_t>(next_renewal_ % 64);
      auto& on = renewers_[place];
      auto& busy = busy_[place];
      if (std::exchange(busy, true)) {  // its last renewal is under way
        ++next_renewal_;
        continue;
      }
      if (!on || !on->usable()) on = std::make_shared<ClientConnection>(io_, addresses_.Registry());
      on->Exchange(EncodeRequest(registry::RenewalRequest{Id(next_renewal_++ % load_.members), 1}), kPatience,
                   [&](ClientConnection::Result result) {
                     busy = false;
                     renewals_failed_ += renewing_ && (result.failure != ClientConnection::Failure::kNone ||
                                                       result.response.result_int() != 200);
                   });
    }
    renew_.expires_after(TimerDuration(2));
    renew_.async_wait([this](error_code ec) {
      if (!ec) Renew();
    });
  }

  void Watch() {
    const json list = json::parse(Get("/discovery/hosts"), nullptr, false);
    for (int i = 0; i < load_.watchers; ++i) {
      watchers_.push_back(std::make_shared<ClientConnection>(io_, addresses_.Registry()));
      Wait(i, list["revision"]);
    }
    RunUntil([this] { return Metric("watches") >= load_.watchers; });
  }

  void Wait(int watcher, std::int64_t after) {
    watchers_[static_cast<std::size_t>(watcher)]->Exchange(
        ReadOf(fmt::format("/discovery/hosts?after={}&wait_ms=60000", after)), 70000,
        [this, watcher, after](ClientConnection::Result result) {
          if (!watching_) return;
          if (result.failure != ClientConnection::Failure::kNone) return void(++watch_failures_);
          // The head of the answer is enough: {"revision":N,
          const std::int64_t revision = std::atoll(result.response.body().c_str() + 12);
          if (revision > after && answered_at_ > 0) {
            ways_.Add(static_cast<std::uint64_t>(std::max(0.0, 1000 * (MonotonicNow() - answered_at_))));
            ++told_;
          } else if (revision > after) {
            early_.push_back(MonotonicNow());
          }
          Wait(watcher, revision);
        });
  }

  void TimeChanges() {
    const auto writer = std::make_shared<ClientConnection>(io_, addresses_.Registry());
    for (int i = 0; i < load_.changes; ++i) {
      told_ = 0;
      answered_at_ = 0;
      early_.clear();
      writer->Exchange(EncodeRequest(Change(registry::Action::kDrain, i)), kPatience,
                       [this](ClientConnection::Result) {
                         answered_at_ = MonotonicNow();  // at the writer, which is told as the sync is done
                         for (const Millis at : early_)
                           ways_.Add(static_cast<std::uint64_t>(std::max(0.0, 1000 * (at - answered_at_))));
                         told_ += static_cast<int>(early_.size());
                       });
      RunUntil([this] { return answered_at_ > 0 && told_ + watch_failures_ >= load_.watchers; });
      const Millis next = answered_at_ + kChangeEvery;
      RunUntil([next] { return MonotonicNow() >= next; });
    }
    for (const auto& [name, share] : {std::pair("p50", 0.5), {"p99", 0.99}, {"max", 1.0}}) {
      f_[fmt::format("change_to_watcher_{}_ms", name)] = static_cast<double>(ways_.Quantile(share)) / 1000;
    }
    f_["watches_failed"] = watch_failures_;
  }

  const RegistryLoad load_;
  boost::asio::io_context io_{1};
  TemporaryFolder folder_;
  Addresses addresses_;
  boost::asio::steady_timer renew_;
  std::array<std::shared_ptr<ClientConnection>, 64> renewers_;
  std::array<bool, 64> busy_{};
  std::vector<std::shared_ptr<ClientConnection>> watchers_;
  std::map<std::string, double> f_;
  base::Histogram ways_;
  std::vector<Millis> early_;
  Millis renewed_at_ = 0, answered_at_ = 0;
  int next_renewal_ = 0, renewals_failed_ = 0, told_ = 0, watch_failures_ = 0;
  bool renewing_ = true, watching_ = true;
  pid_t pid_ = 0;
  Processes processes_;
};

}  // namespace

std::map<std::string, double> MeasureRegistry(const RegistryLoad& load) { return Measurement(load).Run(); }

}  // namespace gateway::lab
