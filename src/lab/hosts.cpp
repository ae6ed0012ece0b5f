#include "lab/hosts.hpp"

#include <fmt/format.h>

#include <boost/random/uniform_01.hpp>
#include <charconv>
#include <utility>

namespace gateway::lab {
namespace {

using boost::system::error_code;

constexpr Millis kSweepEvery = 500;
constexpr Millis kNoDeadline = 60000;

// "480m" or "480000u", in ms.
Millis ParseDeadline(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end == text.data()) return kNoDeadline;
  return end != text.data() + text.size() && *end == 'u' ? value / 1000 : value;
}

HttpResponse Declined(unsigned status) {
  HttpResponse response = MakeResponse(status);
  response.set("Srv-Declined", "1");
  return response;
}

}  // namespace

Hosts::Hosts(Setting setting) : s_(std::move(setting)), random_(s_.seed ^ 0x686f737473ULL), sweep_(s_.io) {
  int number = 0;
  for (const HostKind& kind : s_.experiment.hosts) {
    for (int i = 0; i < kind.count; ++i, ++number) {
      Host& host = *hosts_.emplace_back(std::make_unique<Host>(s_.io));
      host.number = number;
      host.kind = kind;
      const auto& zones = s_.experiment.fleet.zones;
      host.zone = kind.zone.empty() ? zones[static_cast<std::size_t>(number) % zones.size()] : kind.zone;
      Open(host, std::nullopt);
    }
  }
  SweepLater();
}

bool Hosts::Draw(double share) { return share > 0 && boost::random::uniform_01<double>()(random_) < share; }

void Hosts::Open(Host& host, std::optional<Millis> started) {
  host.model = std::make_unique<HostModel>(host.kind, s_.experiment.cold, started);
  host.errors = host.kind.errors;
  host.up = true;
  host.draining = host.mute = false;
  for (int g = 0; g < s_.viewers; ++g) {
    host.listeners.push_back(std::make_unique<Listener>(
        s_.io, s_.addresses.Host(g, host.number), s_.link(g, host.number),
        [this, &host, g](tcp::socket socket) { Accepted(host, g, std::move(socket)); }));
  }
}

void Hosts::Kill(int host) {
  Host& killed = At(host);
  killed.up = false;
  killed.listeners.clear();
  killed.timer.cancel();
  killed.due = -1;
  killed.work.clear();
  for (const auto& connection : std::exchange(killed.connections, {})) connection->Close(/*reset=*/true);
}

void Hosts::Start(int host) {
  if (!At(host).up) Open(At(host), MonotonicNow());
}

void Hosts::Reset(int host, int gateway) {
  std::vector<std::shared_ptr<ServerConnection>> between;
  for (const auto& connection : At(host).connections) {
    if (connection->peer == gateway) between.push_back(connection);
  }
  for (const auto& connection : between) connection->Close(/*reset=*/true);
}

void Hosts::SetSpeed(int host, double factor) {
  Host& changed = At(host);
  changed.model->SetSpeed(MonotonicNow(), factor);
  Advance(changed);
}

void Hosts::Accepted(Host& host, int gateway, tcp::socket socket) {
  ++counts_.connections;
  const auto handlers = std::make_shared<const ServerConnection::Handlers>(
      ServerConnection::Handlers{[this, &host, gateway](const auto& connection, HttpRequest request) {
                                   Requested(host, gateway, connection, request);
                                 },
                                 [this, &host](const auto& connection) { Closed(host, connection); }});
  const auto connection =
      std::make_shared<ServerConnection>(std::move(socket), s_.link(gateway, host.number), handlers);
  connection->peer = gateway;
  host.connections.insert(connection);
  connection->Begin();
}

void Hosts::Requested(Host& host, int gateway, const std::shared_ptr<ServerConnection>& connection,
                      const HttpRequest& request) {
  const auto id_view = request["Req-Id"];
  const std::string id(id_view.data(), id_view.size());
  if (id.empty()) return connection->Answer(MakeResponse(404));
  const Millis now = MonotonicNow();
  const auto work = s_.rules.WorkOf(id);
  ++counts_.reached;
  s_.rules.Reached(now, id, s_.told(gateway, host.number));
  if (!work) return connection->Answer(MakeResponse(400));
  if (host.mute || Draw(host.kind.silent)) return;
  const bool crowded = static_cast<int>(host.connections.size()) > host.kind.connections;
  if (host.draining || crowded) {
    ++counts_.turned_away;
    return connection->Answer(Declined(503));
  }
  const auto deadline = request["Req-Deadline"];
  const Millis gives_up = now + ParseDeadline({deadline.data(), deadline.size()});
  const HostModel::Job job = ++next_job_;
  connection->tag = job;
  host.work[job] = {connection, id};
  const Millis all = *work + (connection->requests() == 1 ? host.kind.handshake_ms : 0);
  if (host.model->Offer(now, job, all, gives_up) == HostModel::Fate::kTurnedAway) {
    host.work.erase(job);
    ++counts_.turned_away;
    connection->Answer(Declined(503));
  }
  if (host.model->fallen()) {
    s_.rules.Fell(fmt::format("host {}", host.number));
    return Kill(host.number);
  }
  Advance(host);
}

void Hosts::Closed(Host& host, const std::shared_ptr<ServerConnection>& connection) {
  host.connections.erase(connection);
  const auto found = host.work.find(connection->tag);
  if (found == host.work.end() || found->second.connection != connection) return;
  ++counts_.cancelled;
  host.work.erase(found);
  host.model->Cancel(MonotonicNow(), connection->tag);
  Advance(host);
}

void Hosts::Advance(Host& host) {
  std::vector<HostModel::Event> events;
  const Millis now = MonotonicNow();
  host.model->Advance(now, events);
  for (const HostModel::Event& event : events) {
    const auto found = host.work.find(event.job);
    if (found == host.work.end()) continue;
    if (event.kind == HostModel::EventKind::kBegun) {
      ++counts_.begun;
      s_.rules.Began(now, found->second.id);
      continue;
    }
    const Work work = std::move(found->second);
    host.work.erase(found);
    if (event.kind == HostModel::EventKind::kExpired) {
      ++(event.ran ? counts_.failed : counts_.turned_away);
      work.connection->Answer(event.ran ? MakeResponse(500) : Declined(504));
    } else if (Draw(host.errors)) {
      ++counts_.failed;
      work.connection->Answer(MakeResponse(500));
    } else {
      ++counts_.served;
      work.connection->Answer(MakeResponse(200, Rules::Mark(work.id, s_.seed)));
    }
  }
  Arm(host);
}

void Hosts::Arm(Host& host) {
  const auto next = host.model->NextAt();
  if (!next) {
    host.due = -1;
    host.timer.cancel();
    return;
  }
  if (host.due >= 0 && std::abs(host.due - *next) < 0.001) return;
  host.due = *next;
  host.timer.expires_after(TimerDuration(*next - MonotonicNow()));
  host.timer.async_wait([this, &host](error_code ec) {
    if (ec || !host.up) return;
    host.due = -1;
    Advance(host);
  });
}

void Hosts::SweepLater() {
  sweep_.expires_after(TimerDuration(kSweepEvery));
  sweep_.async_wait([this](error_code ec) {
    if (ec) return;
    const Millis now = MonotonicNow();
    for (const auto& host : hosts_) {
      std::vector<std::shared_ptr<ServerConnection>> idle;
      for (const auto& connection : host->connections) {
        const auto since = connection->idle_since();
        if (since && now - *since > host->kind.idle_ms) idle.push_back(connection);
      }
      for (const auto& connection : idle) connection->Close();
    }
    SweepLater();
  });
}

}  // namespace gateway::lab
