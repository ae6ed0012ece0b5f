#include "lab/registry_process.hpp"

#include <fmt/format.h>
#include <signal.h>
#include <sys/resource.h>

#include <algorithm>
#include <fstream>
#include <utility>

#include "lab/addresses.hpp"
#include "registry/http_request.hpp"
#include "registry/http_response.hpp"
#include "registry/registry_json.hpp"

namespace gateway::lab {
namespace {

using boost::system::error_code;

constexpr Millis kCallTimeout = 1000;
constexpr Millis kRetryDelay = 100;
constexpr int kRenewalsPerTerm = 3;
constexpr double kMillisPerSecond = 1000;

// Parses the response of the list service. Returns the error kUnreadable if there was no response.
registry::CommandResult ParseCommandResult(const ClientConnection::Result& result) {
  if (result.failure != ClientConnection::Failure::kNone) {
    return registry::CommandResult::Failed({registry::ErrorCode::kUnreadable, "", "no response"});
  }
  return registry::ParseResult(result.response.result_int(), result.response.body());
}

// Whether the command must be sent again: its result is unknown or the service is temporarily unavailable.
bool ShouldRetry(const registry::CommandResult& result) {
  constexpr unsigned kServiceUnavailable = 503;
  return result.code() == registry::ErrorCode::kUnreadable ||
         registry::HttpStatus(result.code()) == kServiceUnavailable;
}

}  // namespace

RegistryProcess::RegistryProcess(Environment environment, std::vector<registry::Member> hosts)
    : env_(std::move(environment)),
      processes_(env_.io, [this](const ProcessEnd& end) { OnProcessEnd(end); }) {
  for (registry::Member& member : hosts) {
    member.lease_duration = env_.lease_term;
    Agent& agent = *agents_.emplace_back(std::make_unique<Agent>(env_.io));
    agent.member = std::move(member);
    agent.state.OnHealthCheck(true, 1);
  }
}

void RegistryProcess::KillAll() {
  shutting_down_ = true;
  processes_.KillAll();
}

void RegistryProcess::WriteConfig(const std::filesystem::path& path) const {
  std::filesystem::create_directories(env_.folder);
  std::ofstream(path) << "listen = \"" << Addresses::Text(env_.address) << "\"\nstate_dir = \""
                      << (env_.folder / "registry-state").string()
                      << "\"\n[leases]\nterm_s = " << env_.lease_term / kMillisPerSecond
                      << "\ngrace_s = " << env_.lease_grace / kMillisPerSecond << "\n";
}

void RegistryProcess::Start() {
  const std::filesystem::path config = env_.folder / "registry.toml";
  if (starts_++ == 0) {
    WriteConfig(config);
    // Hosts register one after the other, 1 ms apart.
    for (int host = 0; host < static_cast<int>(agents_.size()); ++host) CallLater(host, kRetryDelay + host);
  }
  ProcessSpec spec;
  spec.command = fmt::format("{} registry serve {}", env_.program, config.string());
  spec.log = env_.log;
  pid_ = processes_.Start(spec);
  stopped_ = false;
}

bool RegistryProcess::ready() const {
  return std::ranges::all_of(agents_, [](const auto& agent) { return agent->state.listed(); });
}

void RegistryProcess::OnRevision(std::int64_t revision) {
  if (revision <= newest_revision_) return;
  newest_revision_ = revision;
  newest_revision_at_ = MonotonicNow();
}

void RegistryProcess::CallLater(int host, Millis delay) {
  AgentAt(host).timer.expires_after(TimerDuration(delay));
  AgentAt(host).timer.async_wait([this, host](error_code ec) {
    if (!ec) Call(host);
  });
}

// Registers the host or renews its lease, whichever is due.
void RegistryProcess::Call(int host) {
  using registry::AgentAction;
  Agent& agent = AgentAt(host);
  if (!agent.host_up || agent.cut || agent.calling) return;
  const AgentAction call = agent.state.next_action();
  if (call != AgentAction::kRegister && call != AgentAction::kRenew) return;
  registry::Command registration;
  registration.member = agent.member;
  const std::int64_t incarnation = agent.member.incarnation;
  if (!agent.connection || !agent.connection->usable()) {
    agent.connection = std::make_shared<ClientConnection>(env_.io, env_.address);
  }
  agent.calling = true;
  agent.connection->Exchange(
      call == AgentAction::kRegister ? EncodeRequest(registration)
                                     : EncodeRequest(registry::RenewalRequest{agent.member.id, incarnation}),
      kCallTimeout, [this, host, call, incarnation](const ClientConnection::Result& result) {
        OnResult(host, call, incarnation, result);
      });
}

void RegistryProcess::OnResult(int host, registry::AgentAction call, std::int64_t incarnation,
                               const ClientConnection::Result& result) {
  Agent& agent = AgentAt(host);
  agent.calling = false;
  const registry::CommandResult outcome = ParseCommandResult(result);
  OnRevision(outcome.revision);
  const bool outdated = !agent.host_up || agent.member.incarnation != incarnation;
  if (outdated || ShouldRetry(outcome)) return CallLater(host, kRetryDelay);
  agent.state.OnResult(call, outcome.code());
  const bool registers_next = agent.state.next_action() == registry::AgentAction::kRegister;
  CallLater(host, registers_next ? 0 : agent.member.lease_duration / kRenewalsPerTerm);
}

void RegistryProcess::SendOperatorCall(registry::Action action, int host) {
  registry::Command command;
  command.action = action;
  command.member.id = AgentAt(host).member.id;
  command.idempotency_key = fmt::format("lab-{}", ++operator_calls_);
  command.by_operator = true;
  SendUntilAnswered(command);
}

void RegistryProcess::SendUntilAnswered(const registry::Command& command) {
  const auto connection = std::make_shared<ClientConnection>(env_.io, env_.address);
  connection->Exchange(EncodeRequest(command), kCallTimeout,
                       [this, command, connection](const ClientConnection::Result& result) {
                         OnOperatorResult(command, result);
                       });
}

void RegistryProcess::OnOperatorResult(const registry::Command& command,
                                       const ClientConnection::Result& result) {
  const registry::CommandResult outcome = ParseCommandResult(result);
  OnRevision(outcome.revision);
  if (!ShouldRetry(outcome)) {
    env_.add_event(fmt::format("the list service answered the {} of {}{}", CallName(command.action),
                               command.member.id, outcome.error ? ": " + ErrorCodeName(*outcome.error) : ""));
    return;
  }
  const auto timer = std::make_shared<boost::asio::steady_timer>(env_.io, TimerDuration(kRetryDelay));
  timer->async_wait([this, timer, command](error_code ec) {
    if (!ec) SendUntilAnswered(command);
  });
}

void RegistryProcess::StopRenewing(int host) {
  AgentAt(host).host_up = false;
  AgentAt(host).connection.reset();
}

void RegistryProcess::Restart(int host, std::int64_t incarnation) {
  Agent& agent = AgentAt(host);
  agent.host_up = true;
  agent.member.incarnation = incarnation;
  agent.state = {};
  agent.state.OnHealthCheck(true, 1);
  CallLater(host, 0);
}

void RegistryProcess::Drain(int host) { SendOperatorCall(registry::Action::kDrain, host); }

void RegistryProcess::Remove(int host) {
  StopRenewing(host);
  SendOperatorCall(registry::Action::kRemove, host);
}

void RegistryProcess::SetMemberCut(int host, bool cut) {
  AgentAt(host).cut = cut;
  if (!cut) CallLater(host, 0);
}

void RegistryProcess::Kill(Millis restart_delay) {
  end_expected_ = true;
  restart_delay_ = restart_delay;
  processes_.Signal(pid_, SIGKILL);
}

void RegistryProcess::Stop() {
  stopped_ = true;
  processes_.Signal(pid_, SIGSTOP);
}

void RegistryProcess::Continue() {
  stopped_ = false;
  processes_.Signal(pid_, SIGCONT);
}

void RegistryProcess::SetDiskFull(bool disk_full) {
  rlimit limit{};
  if (prlimit(pid_, RLIMIT_FSIZE, nullptr, &limit) != 0) return;
  limit.rlim_cur = disk_full ? 0 : limit.rlim_max;
  prlimit(pid_, RLIMIT_FSIZE, &limit, nullptr);
}

void RegistryProcess::OnProcessEnd(const ProcessEnd& end) {
  if (end.pid != pid_ || shutting_down_) return;
  pid_ = 0;
  env_.add_event("the list service has ended with " + end.StatusText());
  // After an unexpected end the service is not restarted, so that the gateways' outdated lists show the
  // failure.
  if (!std::exchange(end_expected_, false)) return;
  const auto timer = std::make_shared<boost::asio::steady_timer>(env_.io, TimerDuration(restart_delay_));
  timer->async_wait([this, timer](error_code ec) {
    if (ec || shutting_down_) return;
    Start();
    env_.add_event("the list service has been restarted");
  });
}

}  // namespace gateway::lab
