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

constexpr Millis kCallTimeout = 20000;
constexpr Millis kRegisterWithin = 60000;
constexpr int kRegistering = 256;  // connections that register at the same time
constexpr std::size_t kRenewing = 128;
constexpr Millis kLeastWait = 1;

std::string IdOf(int host) { return fmt::format("m-{:05d}", host); }

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
      renewing_(loop),
      changing_(loop),
      lines_(kRenewing) {}

registry::Command FleetMembers::RegistrationOf(int host) const {
  registry::Command command;
  command.member.id = IdOf(host);
  command.member.address = fmt::format("{}:{}", HostAddress(host), host_port_);
  command.member.zone = std::string(1, static_cast<char>('a' + host % size_.zones));
  command.member.machine_type = fmt::format("service-{}", host % size_.services);
  command.member.incarnation = 1;
  command.member.lease_duration = size_.lease_term;
  return command;
}

void FleetMembers::RegisterAll() {
  int next = 0, listed = 0, failed = 0;
  using Connection = std::shared_ptr<ClientConnection>;
  const std::function<void(const Connection&)> register_next = [&](const Connection& connection) {
    if (next >= size_.hosts) return;
    connection->Exchange(EncodeRequest(RegistrationOf(next++)), kCallTimeout,
                         [&, connection](ClientConnection::Result result) {
                           ++(result.ok() ? listed : failed);
                           if (connection->usable()) register_next(connection);
                         });
  };
  std::vector<Connection> connections;
  for (int i = 0; i < std::min(kRegistering, size_.hosts); ++i) {
    register_next(connections.emplace_back(std::make_shared<ClientConnection>(loop_.io(), list_service_)));
  }
  loop_.RunUntil("the registration of all hosts", kRegisterWithin,
                 [&] { return failed > 0 || listed >= size_.hosts; });
  for (const Connection& connection : connections) connection->Close();
  if (failed > 0) throw std::runtime_error("the list service refused a registration");
}

void FleetMembers::Begin(Pace& pace, double per_second, std::function<void()> send) {
  pace.gap = 1000 / per_second;
  pace.next = base::MonotonicNow() + pace.gap;
  pace.on = true;
  Keep(pace, std::move(send));
}

void FleetMembers::Keep(Pace& pace, std::function<void()> send) {
  if (!pace.on) return;
  for (const Millis now = base::MonotonicNow(); pace.next <= now; pace.next += pace.gap) send();
  pace.timer.expires_after(base::TimerDuration(std::max(kLeastWait, pace.next - base::MonotonicNow())));
  pace.timer.async_wait([this, &pace, send = std::move(send)](error_code ec) mutable {
    if (!ec) Keep(pace, std::move(send));
  });
}

void FleetMembers::StartRenewing() {
  constexpr double kRenewalsPerTerm = 3;
  Begin(renewing_, kRenewalsPerTerm * size_.hosts * 1000 / size_.lease_term, [this] { Renew(); });
}

void FleetMembers::Renew() {
  const int host = next_renewal_++ % size_.hosts;
  Line& line = lines_[static_cast<std::size_t>(host) % lines_.size()];
  if (std::exchange(line.busy, true)) return void(++renewals_late_);
  if (!line.connection || !line.connection->usable()) {
    line.connection = std::make_shared<ClientConnection>(loop_.io(), list_service_);
  }
  line.connection->Exchange(EncodeRequest(registry::RenewalRequest{IdOf(host), 1}), kCallTimeout,
                            [this, &line](ClientConnection::Result result) {
                              line.busy = false;
                              renewals_failed_ += result.ok() ? 0 : 1;
                            });
}

void FleetMembers::StartChanging(double per_second) {
  if (per_second > 0) Begin(changing_, per_second, [this] { MakeChange(); });
}

void FleetMembers::StopChanging() {
  changing_.on = false;
  changing_.timer.cancel();
}

void FleetMembers::MakeChange() {
  registry::Command command;
  command.action = registry::Action::kSetSize;
  command.by_operator = true;
  command.member.id = IdOf(std::uniform_int_distribution<int>(0, size_.hosts - 1)(random_));
  // Never the size that it has.
  command.member.size = 1 + static_cast<double>(++changes_made_ % 1000) / 1000;
  if (!operators_ || !operators_->usable()) {
    operators_ = std::make_shared<ClientConnection>(loop_.io(), list_service_);
  }
  const auto connection = std::exchange(operators_, nullptr);
  ++changes_out_;
  connection->Exchange(EncodeRequest(command), kCallTimeout,
                       [this, weak = std::weak_ptr(connection),
                        sent_at = base::MonotonicNow()](ClientConnection::Result result) {
                         --changes_out_;
                         operators_ = weak.lock();  // else the connection would hold itself
                         if (!result.ok()) return void(++changes_failed_);
                         ++changes_committed_;
                         const auto outcome = registry::ParseResult(200, result.response.body());
                         if (outcome.changed) committed_.push_back({outcome.revision, sent_at});
                       });
}

std::vector<CommittedChange> FleetMembers::TakeCommitted() { return std::exchange(committed_, {}); }

}  // namespace gateway::lab
