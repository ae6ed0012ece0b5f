#include "lab/registry_process.hpp"

#include <fmt/format.h>
#include <signal.h>
#include <sys/resource.h>

#include <fstream>

#include "lab/addresses.hpp"
#include "registry/http_request.hpp"
#include "registry/http_response.hpp"
#include "registry/registry_json.hpp"

namespace gateway::lab {
namespace {

using boost::system::error_code;

constexpr Millis kPatience = 1000;
constexpr Millis kAgain = 100;  // after a call that failed

// kUnreadable where there was no response.
registry::CommandResult ResultOf(const ClientConnection::Result& result) {
  if (result.failure != ClientConnection::Failure::kNone) {
    return registry::CommandResult::Failed({registry::ErrorCode::kUnreadable, "", "no response"});
  }
  return registry::ParseResult(result.response.result_int(), result.response.body());
}

// Whether the result is unknown, or the service is not available now.
bool ShouldRetry(const registry::CommandResult& result) {
  constexpr unsigned kServiceUnavailable = 503;
  return result.code() == registry::ErrorCode::kUnreadable ||
         registry::HttpStatus(result.code()) == kServiceUnavailable;
}

}  // namespace

RegistryProcess::RegistryProcess(Setting setting, std::vector<registry::Member> hosts)
    : s_(std::move(setting)), processes_(s_.io, [this](const ProcessEnd& end) { Ended(end); }) {
  for (registry::Member& member : hosts) {
    hosts_.push_back(std::make_unique<Host>(s_.io));
    member.lease_duration = s_.term;
    hosts_.back()->member = std::move(member);
    hosts_.back()->state.OnHealthCheck(true, 1);
  }
}

void RegistryProcess::Start() {
  const std::filesystem::path file = s_.folder / "registry.toml";
  if (starts_++ == 0) {
    std::filesystem::create_directories(s_.folder);
    std::ofstream(file) << "listen = \"" << Addresses::Text(s_.address) << "\"\nstate_dir = \""
                        << (s_.folder / "registry-state").string()
                        << "\"\n[leases]\nterm_s = " << s_.term / 1000 << "\ngrace_s = " << s_.grace / 1000
                        << "\n";
    for (int h = 0; h < static_cast<int>(hosts_.size()); ++h) ActLater(h, kAgain + h);
  }
  ProcessSpec spec;
  spec.command = fmt::format("{} registry serve {}", s_.program, file.string());
  spec.log = s_.log;
  pid_ = processes_.Start(spec);
  stopped_ = false;
}

bool RegistryProcess::ready() const {
  for (const auto& host : hosts_) {
    if (!host->state.listed()) return false;
  }
  return true;
}

void RegistryProcess::Heard(std::int64_t revision) {
  if (revision <= newest_) return;
  newest_ = revision;
  newest_at_ = MonotonicNow();
}

void RegistryProcess::ActLater(int host, Millis time) {
  At(host).timer.expires_after(TimerDuration(time));
  At(host).timer.async_wait([this, host](error_code ec) {
    if (!ec) Act(host);
  });
}

void RegistryProcess::Act(int host) {
  using registry::AgentAction;
  Host& h = At(host);
  if (!h.alive || h.cut || h.calling) return;
  const AgentAction action = h.state.next();
  if (action != AgentAction::kRegister && action != AgentAction::kRenew) return;
  registry::Command enter;
  enter.member = h.member;
  if (!h.connection || !h.connection->usable()) {
    h.connection = std::make_shared<ClientConnection>(s_.io, s_.address);
  }
  h.calling = true;
  h.connection->Exchange(
      action == AgentAction::kRegister
          ? EncodeRequest(enter)
          : EncodeRequest(registry::RenewalRequest{h.member.id, h.member.incarnation}),
      kPatience, [this, host, action, of = h.member.incarnation](ClientConnection::Result result) {
        Host& it = At(host);
        it.calling = false;
        const registry::CommandResult outcome = ResultOf(result);
        Heard(outcome.revision);
        if (!it.alive || it.member.incarnation != of || ShouldRetry(outcome)) return ActLater(host, kAgain);
        it.state.OnResult(action, outcome.code());
        ActLater(host, it.state.next() == AgentAction::kRegister ? 0 : it.member.lease_duration / 3);
      });
}

void RegistryProcess::Insist(registry::Command command) {
  command.by_operator = true;
  const auto connection = std::make_shared<ClientConnection>(s_.io, s_.address);
  connection->Exchange(
      EncodeRequest(command), kPatience, [this, command, connection](ClientConnection::Result result) {
        const registry::CommandResult outcome = ResultOf(result);
        Heard(outcome.revision);
        if (!ShouldRetry(outcome)) {
          s_.note(fmt::format("{} of {} kept{}", CallName(command.action), command.member.id,
                              outcome.error ? ": " + ErrorCodeName(*outcome.error) : ""));
          return;
        }
        const auto timer = std::make_shared<boost::asio::steady_timer>(s_.io, TimerDuration(kAgain));
        timer->async_wait([this, timer, command](error_code ec) {
          if (!ec) Insist(command);
        });
      });
}

void RegistryProcess::Insist(registry::Action action, int host) {
  registry::Command command;
  command.action = action;
  command.member.id = At(host).member.id;
  command.idempotency_key = fmt::format("lab-{}", ++keys_);
  Insist(std::move(command));
}

void RegistryProcess::Die(int host) {
  At(host).alive = false;
  At(host).connection.reset();
}

void RegistryProcess::Begin(int host, std::int64_t incarnation) {
  Host& h = At(host);
  h.alive = true;
  h.member.incarnation = incarnation;
  h.state = {};
  h.state.OnHealthCheck(true, 1);
  ActLater(host, 0);
}

void RegistryProcess::Drain(int host) { Insist(registry::Action::kDrain, host); }

void RegistryProcess::Remove(int host) {
  Die(host);
  Insist(registry::Action::kRemove, host);
}

void RegistryProcess::CutMember(int host, bool cut) {
  At(host).cut = cut;
  if (!cut) ActLater(host, 0);
}

void RegistryProcess::Kill(Millis restart_after) {
  expected_ = true;
  restart_after_ = restart_after;
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

void RegistryProcess::SetFull(bool full) {
  rlimit limit{};
  if (prlimit(pid_, RLIMIT_FSIZE, nullptr, &limit) != 0) return;
  limit.rlim_cur = full ? 0 : limit.rlim_max;
  prlimit(pid_, RLIMIT_FSIZE, &limit, nullptr);
}

void RegistryProcess::Ended(const ProcessEnd& end) {
  if (end.pid != pid_ || ending_) return;
  pid_ = 0;
  s_.note("the list service has ended with " + end.Words());
  if (!std::exchange(expected_, false)) return;  // it is seen by what follows
  const auto timer = std::make_shared<boost::asio::steady_timer>(s_.io, TimerDuration(restart_after_));
  timer->async_wait([this, timer](error_code ec) {
    if (ec || ending_) return;
    Start();
    s_.note("the list service is started");
  });
}

}  // namespace gateway::lab
