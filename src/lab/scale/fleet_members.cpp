#include "lab/scale/fleet_members.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "registry/http_request.hpp"
#include "registry/registry_json.hpp"

namespace gateway::lab {
namespace {

using base::ClientConnection;
using boost::system::error_code;

constexpr Millis kRequestTimeoutMs = 20000;
constexpr Millis kRegistrationTimeoutMs = 60000;
constexpr int kMaxRegistrationConnections = 256;  // concurrent connections that register hosts
constexpr std::size_t kRenewalConnections = 128;
constexpr Millis kMinTimerDelayMs = 1;
constexpr double kRenewalsPerTerm = 3;
constexpr double kMsPerSecond = 1000;
constexpr int kDistinctSizes = 1000;

std::string MemberId(int host) { return fmt::format("m-{:05d}", host); }

}  // namespace

std::string HostAddress(int host) {
  return fmt::format("127.{}.{}.{}", 128 + host / 62500, host / 250 % 250, 1 + host % 250);
}

FleetMembers::FleetMembers(EventLoop& loop, tcp::endpoint list_service, const FleetSize& size,
                           std::uint16_t host_port, std::uint64_t seed)
    : loop_(loop),
      list_service_(std::move(list_service)),
      size_(size),
      host_port_(host_port),
      random_(static_cast<std::minstd_rand::result_type>(seed)),
      renewal_schedule_(loop),
      change_schedule_(loop),
      renewal_connections_(kRenewalConnections) {}

registry::Command FleetMembers::RegistrationOf(int host) const {
  registry::Command command;
  command.member.id = MemberId(host);
  command.member.address = fmt::format("{}:{}", HostAddress(host), host_port_);
  command.member.zone = std::string(1, static_cast<char>('a' + host % size_.zones));
  command.member.machine_type = fmt::format("service-{}", host % size_.services);
  command.member.incarnation = 1;
  command.member.lease_duration = size_.lease_term;
  return command;
}

void FleetMembers::RegisterAll() {
  int next_host = 0, registered = 0, failed = 0;
  using Connection = std::shared_ptr<ClientConnection>;
  const std::function<void(const Connection&)> register_next = [&](const Connection& connection) {
    if (next_host >= size_.hosts) return;
    connection->Exchange(EncodeRequest(RegistrationOf(next_host++)), kRequestTimeoutMs,
                         [&, connection](ClientConnection::Result result) {
                           ++(result.ok() ? registered : failed);
                           if (connection->usable()) register_next(connection);
                         });
  };
  std::vector<Connection> connections;
  for (int i = 0; i < std::min(kMaxRegistrationConnections, size_.hosts); ++i) {
    register_next(connections.emplace_back(std::make_shared<ClientConnection>(loop_.io(), list_service_)));
  }
  loop_.RunUntil("the registration of all hosts", kRegistrationTimeoutMs,
                 [&] { return failed > 0 || registered >= size_.hosts; });
  for (const Connection& connection : connections) connection->Close();
  if (failed > 0) throw std::runtime_error("the registration of a host at the list service failed");
}

void FleetMembers::StartSchedule(RequestSchedule& schedule, double per_second, std::function<void()> send) {
  schedule.interval = kMsPerSecond / per_second;
  schedule.next_at = base::MonotonicNow() + schedule.interval;
  schedule.active = true;
  SendDueRequests(schedule, std::move(send));
}

void FleetMembers::SendDueRequests(RequestSchedule& schedule, std::function<void()> send) {
  if (!schedule.active) return;
  for (const Millis now = base::MonotonicNow(); schedule.next_at <= now;
       schedule.next_at += schedule.interval)
    send();
  schedule.timer.expires_after(
      base::TimerDuration(std::max(kMinTimerDelayMs, schedule.next_at - base::MonotonicNow())));
  schedule.timer.async_wait([this, &schedule, send = std::move(send)](error_code ec) mutable {
    if (!ec) SendDueRequests(schedule, std::move(send));
  });
}

void FleetMembers::StartRenewing() {
  StartSchedule(renewal_schedule_, kRenewalsPerTerm * size_.hosts * kMsPerSecond / size_.lease_term,
                [this] { SendNextRenewal(); });
}

void FleetMembers::SendNextRenewal() {
  const int host = next_renewal_host_++ % size_.hosts;
  RenewalConnection& renewal =
      renewal_connections_[static_cast<std::size_t>(host) % renewal_connections_.size()];
  if (std::exchange(renewal.busy, true)) return void(++renewals_skipped_);
  if (!renewal.connection || !renewal.connection->usable()) {
    renewal.connection = std::make_shared<ClientConnection>(loop_.io(), list_service_);
  }
  renewal.connection->Exchange(EncodeRequest(registry::RenewalRequest{MemberId(host), 1}), kRequestTimeoutMs,
                               [this, &renewal](ClientConnection::Result result) {
                                 renewal.busy = false;
                                 renewals_failed_ += result.ok() ? 0 : 1;
                               });
}

void FleetMembers::StartChanging(double per_second) {
  if (per_second > 0) StartSchedule(change_schedule_, per_second, [this] { SendChange(); });
}

void FleetMembers::StopChanging() {
  change_schedule_.active = false;
  change_schedule_.timer.cancel();
}

void FleetMembers::SendChange() {
  registry::Command command;
  command.action = registry::Action::kSetSize;
  command.by_operator = true;
  command.member.id = MemberId(std::uniform_int_distribution<int>(0, size_.hosts - 1)(random_));
  // Consecutive requests set different sizes. A request that sets the size that the host already has would
  // not change the list.
  command.member.size = 1 + static_cast<double>(++changes_sent_ % kDistinctSizes) / kDistinctSizes;
  if (!operator_connection_ || !operator_connection_->usable()) {
    operator_connection_ = std::make_shared<ClientConnection>(loop_.io(), list_service_);
  }
  const auto connection = std::exchange(operator_connection_, nullptr);
  ++changes_pending_;
  connection->Exchange(
      EncodeRequest(command), kRequestTimeoutMs,
      [this, weak = std::weak_ptr(connection),
       sent_at = base::MonotonicNow()](ClientConnection::Result result) {
        --changes_pending_;
        operator_connection_ =
            weak.lock();  // a strong reference in its own handler would keep the connection alive
        if (!result.ok()) return void(++changes_failed_);
        ++changes_committed_;
        const auto outcome = registry::ParseResult(200, result.response.body());
        if (outcome.changed) committed_.push_back({outcome.revision, sent_at});
      });
}

std::vector<CommittedChange> FleetMembers::TakeCommittedChanges() { return std::exchange(committed_, {}); }

}  // namespace gateway::lab
