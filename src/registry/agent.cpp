#include "registry/agent.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "base/clock.hpp"
#include "base/log.hpp"
#include "registry/http_request.hpp"
#include "registry/registry_json.hpp"

namespace gateway::registry {
namespace {

using base::ClientConnection;
using base::Level;
using base::Millis;
using base::TimerDuration;
using boost::system::error_code;

constexpr Millis kCallTimeout = 2000;
constexpr Millis kInitialBackoff = 200;  // doubles with each failed call, up to the renewal interval
constexpr int kMaxBackoffDoublings = 10;
constexpr double kRenewalsPerLease = 3;
constexpr unsigned kServiceUnavailable = 503;
constexpr int kExitDone = 0;
constexpr int kExitReplaced = 1;

const char* ActionName(AgentAction action) {
  switch (action) {
    case AgentAction::kRegister: return "register";
    case AgentAction::kRenew: return "renew";
    case AgentAction::kDrain: return "drain";
    case AgentAction::kRemove: return "remove";
    case AgentAction::kNone: break;
  }
  return "";
}

Action CommandAction(AgentAction action) {
  switch (action) {
    case AgentAction::kRegister: return Action::kRegister;
    case AgentAction::kDrain: return Action::kDrain;
    default: return Action::kRemove;
  }
}

}  // namespace

Agent::Agent(boost::asio::io_context& io, AgentOptions options, std::function<void(int)> on_finished)
    : io_(io),
      options_(std::move(options)),
      on_finished_(std::move(on_finished)),
      health_checker_(io, options_.health_check, [this](bool passed) { OnHealthCheck(passed); }),
      action_timer_(io),
      stop_timer_(io) {
  health_checker_.Start();
}

Millis Agent::RenewalInterval() const { return options_.member.lease_duration / kRenewalsPerLease; }

void Agent::Stop() {
  state_.Stop();
  stop_timer_.expires_after(TimerDuration(options_.drain_grace));
  stop_timer_.async_wait([this](error_code error) {
    if (!error) OnDrainGraceElapsed();
  });
  ScheduleNextAction(0);
}

// Removes the member. If no service responds before the lease expires, the agent finishes without the
// removal.
void Agent::OnDrainGraceElapsed() {
  state_.OnDrainGraceElapsed();
  stop_timer_.expires_after(TimerDuration(options_.member.lease_duration + 2 * kCallTimeout));
  stop_timer_.async_wait([this](error_code error) {
    if (!error) Finish(kExitDone);
  });
  ScheduleNextAction(0);
}

void Agent::OnHealthCheck(bool passed) {
  const bool was_healthy = state_.healthy();
  state_.OnHealthCheck(passed, options_.health_check.failure_threshold);
  if (was_healthy == state_.healthy()) return;
  base::Log(was_healthy ? Level::kWarning : Level::kInfo, "member", "health",
            fmt::format("member {}: {}", options_.member.id,
                        was_healthy ? "health checks failed; the agent no longer renews its lease"
                                    : "health check passed"));
  if (!was_healthy) ScheduleNextAction(0);
}

void Agent::ScheduleNextAction(Millis delay) {
  action_timer_.expires_after(TimerDuration(delay));
  action_timer_.async_wait([this](error_code error) {
    if (!error) PerformNextAction();
  });
}

void Agent::PerformNextAction() {
  if (call_pending_ || finished_) return;
  if (state_.done()) return Finish(kExitDone);
  if (state_.replaced()) {
    base::Log(Level::kError, "member", "replaced",
              fmt::format("member {}: another process registered with this id, or the member was removed",
                          options_.member.id));
    return Finish(kExitReplaced);
  }
  const AgentAction action = state_.next_action();
  if (action == AgentAction::kNone) return;
  if (!connection_ || !connection_->usable()) {
    connection_ = std::make_shared<ClientConnection>(io_, options_.services[service_index_]);
  }
  call_pending_ = true;
  connection_->Exchange(
      EncodeAction(action), kCallTimeout,
      [this, action](const ClientConnection::Result& response) { OnResponse(action, response); });
}

std::string Agent::EncodeAction(AgentAction action) const {
  const Member& member = options_.member;
  if (action == AgentAction::kRenew) return EncodeRequest(RenewalRequest{member.id, member.incarnation});
  Command command;
  command.action = CommandAction(action);
  command.member = member;
  if (action != AgentAction::kRegister) command.if_incarnation = member.incarnation;
  return EncodeRequest(command);
}

void Agent::OnResponse(AgentAction action, const ClientConnection::Result& response) {
  call_pending_ = false;
  const unsigned status = response.response.result_int();
  if (response.failure != ClientConnection::Failure::kNone || status == kServiceUnavailable) {
    return RetryWithNextService();
  }
  failed_calls_ = 0;
  const bool was_listed = state_.listed();
  const CommandResult result = ParseResult(status, response.response.body());
  state_.OnResult(action, result.code());
  const bool stopping = action == AgentAction::kDrain || action == AgentAction::kRemove;
  if (stopping || was_listed != state_.listed()) LogResult(action, result);
  const AgentAction next = state_.next_action();
  const bool next_is_due = next != AgentAction::kRenew && next != AgentAction::kNone;
  const bool at_once = next_is_due || state_.done() || state_.replaced();
  ScheduleNextAction(at_once ? 0 : RenewalInterval());
}

void Agent::LogResult(AgentAction action, const CommandResult& result) const {
  const char* const name = ActionName(action);
  base::Log(Level::kInfo, "member", name,
            fmt::format("member {}: {} {}", options_.member.id, name,
                        result.error ? "failed: " + ErrorCodeName(*result.error) : "succeeded"));
}

void Agent::RetryWithNextService() {
  connection_.reset();
  service_index_ = (service_index_ + 1) % options_.services.size();
  const int doublings = std::min(failed_calls_++, kMaxBackoffDoublings);
  ScheduleNextAction(std::min(RenewalInterval(), kInitialBackoff * (1 << doublings)));
}

void Agent::Finish(int exit_code) {
  if (std::exchange(finished_, true)) return;
  action_timer_.cancel();
  health_checker_.Stop();
  stop_timer_.cancel();
  on_finished_(exit_code);
}

}  // namespace gateway::registry
