#include "lab/gateway_processes.hpp"

#include <fmt/format.h>
#include <signal.h>

#include <algorithm>
#include <fstream>
#include <limits>
#include <utility>

#include "base/clock.hpp"
#include "lab/gateway_config.hpp"
#include "lab/management_check.hpp"

namespace gateway::lab {
namespace {

using base::ClientConnection;
using base::MonotonicNow;
using base::TimerDuration;
using boost::system::error_code;

constexpr Millis kProbePeriod = 100;  // time between two probes of the front balancer
constexpr Millis kProbeTimeout = 1000;
constexpr Millis kKillDelay = 3700;  // from SIGTERM to SIGKILL: the longest deadline, 3 s, plus a margin
constexpr Millis kSuccessorReadyWithin = 6000;
constexpr Millis kSuccessorCheckPeriod = 50;
// The time after SIGCONT, or after a restarted process is ready, in which the fault may still affect
// requests. A request that is sent to the gateway in this time and gets no response does not count as lost.
constexpr Millis kDisruptionAfterFault = 1000;
constexpr Millis kForever = std::numeric_limits<double>::infinity();
constexpr std::uint64_t kBytesPerKb = 1024;
constexpr double kMillisPerSecond = 1000;

Millis ToMillis(const timeval& time) {
  return kMillisPerSecond * static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1000;
}

}  // namespace

GatewayProcesses::GatewayProcesses(Environment environment)
    : env_(std::move(environment)),
      processes_(env_.io, [this](const ProcessEnd& end) { OnProcessEnd(end); }) {
  for (int gateway = 0; gateway < count(); ++gateway) {
    gateways_.push_back(std::make_unique<Gateway>(env_.io, env_.experiment.fleet.front_detection_delay));
  }
}

void GatewayProcesses::KillAll() {
  shutting_down_ = true;
  processes_.KillAll();
}

pid_t GatewayProcesses::Start(int gateway) {
  const Fleet& fleet = env_.experiment.fleet;
  const int start_number = GatewayAt(gateway).start_count++;
  const std::filesystem::path folder = env_.folder / fmt::format("g{}", gateway);
  const std::filesystem::path temporary = folder / "tmp";
  std::filesystem::create_directories(temporary);
  GatewayStart start;
  start.gateway = gateway;
  start.number = start_number;
  start.seed = env_.seed;
  start.known_list = env_.known_lists[static_cast<std::size_t>(gateway)];
  if (fleet.saves_state) start.state_folder = (folder / "state").string();
  const std::filesystem::path config = folder / fmt::format("config-{}.json", start_number);
  std::ofstream(config) << GatewayConfigText(env_.experiment, env_.addresses, start);
  env_.on_start(gateway);
  return processes_.Start(MakeProcessSpec(gateway, start_number, config, temporary));
}

ProcessSpec GatewayProcesses::MakeProcessSpec(int gateway, int start, const std::filesystem::path& config,
                                              const std::filesystem::path& temporary) const {
  const Fleet& fleet = env_.experiment.fleet;
  ProcessSpec spec;
  spec.command = env_.command;
  spec.log =
      env_.log_folder.empty() ? "/dev/null" : fmt::format("{}/gateway-{}.log", env_.log_folder, gateway);
  spec.max_file_bytes = static_cast<std::uint64_t>(fleet.max_file_kb) * kBytesPerKb;
  spec.max_descriptors = static_cast<std::uint64_t>(fleet.max_descriptors);
  spec.variables = {{"NODE_NAME", fmt::format("n{}", gateway)},
                    {"NODE_LISTEN", Addresses::Text(env_.addresses.Gateway(gateway))},
                    {"NODE_DISCOVERY", Addresses::Text(env_.addresses.List(gateway))},
                    {"NODE_MGMT", Addresses::Text(env_.addresses.Management(gateway, start))},
                    {"NODE_CONFIG", config.string()},
                    {"TMPDIR", temporary.string()}};
  if (fleet.sync_delay > 0) {
    spec.variables.emplace_back("ELDERHEAD_SLOW_SYNC_MS", fmt::format("{:g}", fleet.sync_delay));
  }
  return spec;
}

void GatewayProcesses::StartAll() {
  for (int gateway = 0; gateway < count(); ++gateway) {
    GatewayAt(gateway).pid = Start(gateway);
    Probe(gateway);
  }
}

bool GatewayProcesses::AllReady() const {
  return std::ranges::all_of(gateways_, [](const auto& gateway) { return gateway->ready; });
}

std::string GatewayProcesses::DescribeNotReady() const {
  std::string text;
  for (int gateway = 0; gateway < count(); ++gateway) {
    if (GatewayAt(gateway).ready) continue;
    text += fmt::format("{}gateway {} is not ready", text.empty() ? "" : ", ", gateway);
  }
  return text;
}

bool GatewayProcesses::AcceptsConnections(int gateway, Millis now) const {
  return GatewayAt(gateway).balancer_view.SendsConnections(now);
}

bool GatewayProcesses::WasDisruptedSince(int gateway, Millis since) const {
  return GatewayAt(gateway).disrupted_from >= 0 && GatewayAt(gateway).disrupted_until >= since;
}

void GatewayProcesses::Probe(int gateway) {
  auto& connection = GatewayAt(gateway).probe_connection;
  if (!connection || !connection->usable()) {
    connection = std::make_shared<ClientConnection>(env_.io, env_.addresses.Gateway(gateway));
  }
  connection->Exchange(base::FormatGetRequest("/up", "backend.local"), kProbeTimeout,
                       [this, gateway, sent_at = MonotonicNow()](const ClientConnection::Result& result) {
                         OnProbeResult(gateway, result);
                         auto& timer = GatewayAt(gateway).probe_timer;
                         timer.expires_after(TimerDuration(kProbePeriod - (MonotonicNow() - sent_at)));
                         timer.async_wait([this, gateway](error_code ec) {
                           if (!ec) Probe(gateway);
                         });
                       });
}

void GatewayProcesses::OnProbeResult(int index, const ClientConnection::Result& result) {
  Gateway& gateway = GatewayAt(index);
  const bool answered = result.failure == ClientConnection::Failure::kNone;
  gateway.balancer_view.OnProbe(MonotonicNow(), !answered     ? FrontBalancerView::Probe::kNoAnswer
                                                : result.ok() ? FrontBalancerView::Probe::kReady
                                                              : FrontBalancerView::Probe::kNotReady);
  if (!result.ok() || gateway.pid == 0 || std::exchange(gateway.ready, true)) return;
  env_.add_event(fmt::format("gateway {} is ready", index));
  if (gateway.disrupted_until == kForever) gateway.disrupted_until = MonotonicNow() + kDisruptionAfterFault;
}

void GatewayProcesses::BeginDisruption(Gateway& gateway) {
  if (gateway.disrupted_until != kForever) gateway.disrupted_from = MonotonicNow();
  gateway.disrupted_until = kForever;
}

void GatewayProcesses::Kill(int index, Millis restart_delay) {
  Gateway& gateway = GatewayAt(index);
  BeginDisruption(gateway);
  gateway.end_expected = true;
  gateway.restart_delay = restart_delay;
  gateway.ready = false;
  processes_.Signal(gateway.pid, SIGKILL);
}

void GatewayProcesses::Stop(int gateway) {
  BeginDisruption(GatewayAt(gateway));
  processes_.Signal(GatewayAt(gateway).pid, SIGSTOP);
}

void GatewayProcesses::Continue(int gateway) {
  processes_.Signal(GatewayAt(gateway).pid, SIGCONT);
  GatewayAt(gateway).disrupted_until = MonotonicNow() + kDisruptionAfterFault;
}

void GatewayProcesses::KillLater(Gateway& gateway, std::function<void()> kill) {
  gateway.process_timer.expires_after(TimerDuration(kKillDelay));
  gateway.process_timer.async_wait([kill = std::move(kill)](error_code ec) {
    if (!ec) kill();
  });
}

void GatewayProcesses::Terminate(int index, Millis restart_delay) {
  Gateway& gateway = GatewayAt(index);
  gateway.end_expected = true;
  gateway.restart_delay = restart_delay;
  gateway.ready = false;
  processes_.Signal(gateway.pid, SIGTERM);
  KillLater(gateway, [this, index, pid = gateway.pid] {
    if (GatewayAt(index).pid != pid) return;
    env_.add_event(fmt::format("gateway {} did not exit within {:.1f} s after SIGTERM and is killed", index,
                               kKillDelay / kMillisPerSecond));
    processes_.Signal(pid, SIGKILL);
  });
}

void GatewayProcesses::Replace(int gateway) {
  GatewayAt(gateway).successor = Start(gateway);
  CheckSuccessor(gateway, MonotonicNow() + kSuccessorReadyWithin);
}

// Asks the new process at its management address whether it is ready.
void GatewayProcesses::CheckSuccessor(int gateway, Millis until) {
  lab::CheckGateway(env_.io, env_.addresses.Management(gateway, GatewayAt(gateway).start_count - 1),
                    [this, gateway, until](bool success) { OnSuccessorCheck(gateway, until, success); });
}

// Sends SIGTERM to the old process if the new process is ready. Otherwise checks the new process again later,
// until the time limit.
void GatewayProcesses::OnSuccessorCheck(int index, Millis until, bool success) {
  Gateway& gateway = GatewayAt(index);
  if (success && gateway.successor != 0) {
    env_.add_event(fmt::format("the replacement of gateway {} is ready", index));
    const pid_t old = std::exchange(gateway.pid, std::exchange(gateway.successor, 0));
    processes_.Signal(old, SIGTERM);
    return KillLater(gateway, [this, old] { processes_.Signal(old, SIGKILL); });
  }
  if (MonotonicNow() > until) {
    env_.rules.OnGatewayCrashed(fmt::format("the replacement of gateway {} was not ready within {:g} s",
                                            index, kSuccessorReadyWithin / kMillisPerSecond));
    return;
  }
  gateway.process_timer.expires_after(TimerDuration(kSuccessorCheckPeriod));
  gateway.process_timer.async_wait([this, index, until](error_code ec) {
    if (!ec) CheckSuccessor(index, until);
  });
}

void GatewayProcesses::OnProcessEnd(const ProcessEnd& end) {
  cpu_time_ += ToMillis(end.usage.ru_utime) + ToMillis(end.usage.ru_stime);
  max_memory_mb_ = std::max(max_memory_mb_, static_cast<double>(end.usage.ru_maxrss) / kBytesPerKb);
  if (shutting_down_) return;
  for (int index = 0; index < count(); ++index) {
    Gateway& gateway = GatewayAt(index);
    if (gateway.successor == end.pid) {
      gateway.successor = 0;
      env_.rules.OnGatewayCrashed(
          fmt::format("the replacement of gateway {} ended unexpectedly with {}", index, end.StatusText()));
    }
    if (gateway.pid == end.pid) return OnGatewayEnd(index, end);
  }
}

void GatewayProcesses::OnGatewayEnd(int index, const ProcessEnd& end) {
  Gateway& gateway = GatewayAt(index);
  gateway.pid = 0;
  gateway.ready = false;
  if (!std::exchange(gateway.end_expected, false)) {
    env_.rules.OnGatewayCrashed(
        fmt::format("gateway {} ended unexpectedly with {}", index, end.StatusText()));
    return;
  }
  env_.add_event(fmt::format("gateway {} has ended with {}", index, end.StatusText()));
  RestartLater(index);
}

void GatewayProcesses::RestartLater(int index) {
  Gateway& gateway = GatewayAt(index);
  gateway.process_timer.expires_after(TimerDuration(gateway.restart_delay));
  gateway.process_timer.async_wait([this, index](error_code ec) {
    if (ec) return;
    GatewayAt(index).pid = Start(index);
    env_.add_event(fmt::format("gateway {} has been restarted", index));
  });
}

}  // namespace gateway::lab
