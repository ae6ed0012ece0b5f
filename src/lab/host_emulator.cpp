#include "lab/host_emulator.hpp"

#include <fmt/format.h>

#include <boost/random/uniform_01.hpp>
#include <charconv>
#include <cmath>
#include <string_view>
#include <utility>

namespace gateway::lab {
namespace {

using boost::system::error_code;

constexpr Millis kIdleCheckPeriod = 500;
constexpr Millis kDefaultDeadline = 60000;  // of a request without Req-Deadline
constexpr Millis kTimerTolerance = 0.001;   // smaller changes of the next event's time do not reset the timer
constexpr double kMicrosPerMilli = 1000;
// Gives the hosts a random sequence that differs from those of other components with the same seed.
constexpr std::uint64_t kSeedMask = 0x686f737473ULL;

// Parses a deadline such as "480m" (milliseconds) or "480000u" (microseconds). Returns the deadline in ms.
Millis ParseDeadline(std::string_view text) {
  double value = 0;
  const char* const last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, value);
  if (error != std::errc() || end == text.data()) return kDefaultDeadline;
  return end != last && *end == 'u' ? value / kMicrosPerMilli : value;
}

// Returns a response with the header that marks the request as not executed.
HttpResponse NotExecuted(unsigned status) {
  HttpResponse response = MakeResponse(status);
  response.set("Srv-Declined", "1");
  return response;
}

}  // namespace

HostEmulator::HostEmulator(Environment environment)
    : env_(std::move(environment)), random_(env_.seed ^ kSeedMask), idle_timer_(env_.io) {
  for (const HostGroup& group : env_.experiment.host_groups) {
    for (int i = 0; i < group.count; ++i) AddHost(group);
  }
  CloseIdleConnections();
}

void HostEmulator::AddHost(const HostGroup& group) {
  const std::size_t number = hosts_.size();
  const std::vector<std::string>& zones = env_.experiment.fleet.zones;
  EmulatedHost& host = *hosts_.emplace_back(std::make_unique<EmulatedHost>(env_.io));
  host.number = static_cast<int>(number);
  host.group = group;
  host.zone = group.zone.empty() ? zones[number % zones.size()] : group.zone;
  Open(host, std::nullopt);
}

bool HostEmulator::DrawBernoulli(double probability) {
  return probability > 0 && boost::random::uniform_01<double>()(random_) < probability;
}

void HostEmulator::Open(EmulatedHost& host, std::optional<Millis> started_at) {
  host.model = std::make_unique<HostModel>(host.group, env_.experiment.host_warm_up, started_at);
  host.error_rate = host.group.error_rate;
  host.up = true;
  host.draining = false;
  host.mute = false;
  for (int gateway = 0; gateway < env_.gateways; ++gateway) {
    host.listeners.push_back(std::make_unique<Listener>(
        env_.io, env_.addresses.Host(gateway, host.number), &env_.links.LinkToHost(gateway, host.number),
        [this, &host, gateway](tcp::socket socket) { OnAccept(host, gateway, std::move(socket)); }));
  }
}

void HostEmulator::Kill(int host) {
  EmulatedHost& killed = HostAt(host);
  killed.up = false;
  killed.listeners.clear();
  killed.timer.cancel();
  killed.timer_at = -1;
  killed.requests.clear();
  for (const auto& connection : std::exchange(killed.connections, {})) connection->Close(/*reset=*/true);
}

void HostEmulator::Start(int host) {
  if (!HostAt(host).up) Open(HostAt(host), MonotonicNow());
}

void HostEmulator::ResetConnections(int host, int gateway) {
  // The loop uses a copy of the set, because closing a connection removes it from the host's set.
  std::vector<std::shared_ptr<ServerConnection>> gateway_connections;
  for (const auto& connection : HostAt(host).connections) {
    if (connection->peer == gateway) gateway_connections.push_back(connection);
  }
  for (const auto& connection : gateway_connections) connection->Close(/*reset=*/true);
}

void HostEmulator::SetSpeed(int host, double factor) {
  EmulatedHost& changed = HostAt(host);
  changed.model->SetSpeed(MonotonicNow(), factor);
  Advance(changed);
}

void HostEmulator::OnAccept(EmulatedHost& host, int gateway, tcp::socket socket) {
  ++counts_.connections;
  ServerConnection::Handlers handlers;
  handlers.request = [this, &host, gateway](const auto& connection, const HttpRequest& request) {
    OnRequest(host, gateway, connection, request);
  };
  handlers.closed = [this, &host](const auto& connection) { OnClose(host, connection); };
  const auto connection = std::make_shared<ServerConnection>(
      std::move(socket), &env_.links.LinkToHost(gateway, host.number),
      std::make_shared<const ServerConnection::Handlers>(std::move(handlers)));
  connection->peer = gateway;
  host.connections.insert(connection);
  connection->Begin();
}

void HostEmulator::OnRequest(EmulatedHost& host, int gateway,
                             const std::shared_ptr<ServerConnection>& connection,
                             const HttpRequest& request) {
  const std::string id(request["Req-Id"]);
  if (id.empty()) return connection->Answer(MakeResponse(404));
  const Millis now = MonotonicNow();
  const auto work = env_.rules.FindWork(id);
  ++counts_.attempts;
  env_.rules.OnAttempt(now, id, env_.notified_at(gateway, host.number));
  if (!work) return connection->Answer(MakeResponse(400));
  if (host.mute || DrawBernoulli(host.group.no_response_rate)) return;
  const bool too_many_connections = static_cast<int>(host.connections.size()) > host.group.max_connections;
  if (host.draining || too_many_connections) return Reject(connection, 503);
  const auto deadline = request["Req-Deadline"];
  const Millis expires_at = now + ParseDeadline({deadline.data(), deadline.size()});
  const Millis handshake = connection->requests() == 1 ? host.group.handshake_work : 0;
  Submit(host, connection, id, *work + handshake, expires_at);
}

void HostEmulator::Reject(const std::shared_ptr<ServerConnection>& connection, unsigned status) {
  ++counts_.rejected;
  connection->Answer(NotExecuted(status));
}

void HostEmulator::Submit(EmulatedHost& host, const std::shared_ptr<ServerConnection>& connection,
                          const std::string& id, Millis work, Millis expires_at) {
  const HostModel::Job job = ++next_job_;
  connection->tag = job;
  host.requests[job] = {connection, id};
  if (host.model->Submit(MonotonicNow(), job, work, expires_at) == HostModel::Admission::kRejected) {
    host.requests.erase(job);
    Reject(connection, 503);
  }
  if (host.model->overloaded()) {
    env_.rules.OnHostOverloaded(fmt::format("host {}", host.number));
    return Kill(host.number);
  }
  Advance(host);
}

void HostEmulator::OnClose(EmulatedHost& host, const std::shared_ptr<ServerConnection>& connection) {
  host.connections.erase(connection);
  const auto found = host.requests.find(connection->tag);
  if (found == host.requests.end() || found->second.connection != connection) return;
  host.requests.erase(found);
  host.model->Cancel(MonotonicNow(), connection->tag);
  Advance(host);
}

void HostEmulator::Advance(EmulatedHost& host) {
  std::vector<HostModel::Event> events;
  host.model->Advance(MonotonicNow(), events);
  for (const HostModel::Event& event : events) OnEvent(host, event);
  SetTimer(host);
}

void HostEmulator::OnEvent(EmulatedHost& host, const HostModel::Event& event) {
  const auto found = host.requests.find(event.job);
  if (found == host.requests.end()) return;
  if (event.kind == HostModel::EventKind::kStarted) return env_.rules.OnExecution(found->second.id);
  const OpenRequest request = std::move(found->second);
  host.requests.erase(found);
  Respond(host, request, event);
}

void HostEmulator::Respond(const EmulatedHost& host, const OpenRequest& request,
                           const HostModel::Event& event) {
  if (event.kind == HostModel::EventKind::kExpired && !event.was_started) {
    Reject(request.connection, 504);
  } else if (event.kind == HostModel::EventKind::kExpired || DrawBernoulli(host.error_rate)) {
    request.connection->Answer(MakeResponse(500));
  } else {
    request.connection->Answer(MakeResponse(200, RuleChecker::ResponseMark(request.id, env_.seed)));
  }
}

void HostEmulator::SetTimer(EmulatedHost& host) {
  const auto next = host.model->NextEventAt();
  if (!next) {
    host.timer_at = -1;
    host.timer.cancel();
    return;
  }
  if (host.timer_at >= 0 && std::abs(host.timer_at - *next) < kTimerTolerance) return;
  host.timer_at = *next;
  host.timer.expires_after(TimerDuration(*next - MonotonicNow()));
  host.timer.async_wait([this, &host](error_code ec) {
    if (ec || !host.up) return;
    host.timer_at = -1;
    Advance(host);
  });
}

void HostEmulator::CloseIdleConnections() {
  const Millis now = MonotonicNow();
  for (const auto& host : hosts_) {
    std::vector<std::shared_ptr<ServerConnection>> idle;
    for (const auto& connection : host->connections) {
      const auto since = connection->idle_since();
      if (since && now - *since > host->group.idle_timeout) idle.push_back(connection);
    }
    for (const auto& connection : idle) connection->Close();
  }
  idle_timer_.expires_after(TimerDuration(kIdleCheckPeriod));
  idle_timer_.async_wait([this](error_code ec) {
    if (!ec) CloseIdleConnections();
  });
}

}  // namespace gateway::lab
