#include "lab/gateways.hpp"

#include <fmt/format.h>
#include <signal.h>

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <fstream>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

namespace gateway::lab {
namespace {

using boost::system::error_code;
using nlohmann::json;

constexpr Millis kPollEvery = 100;  // DAYS: the front asks ten times a second
constexpr Millis kPollPatience = 1000;
constexpr Millis kKillAfter = 3700;  // after SIGTERM: the longest deadline, counted as 3 s, and 0.7 s
constexpr Millis kYesWithin = 6000;  // a replacement's
constexpr Millis kSettles = 1000;    // after SIGCONT, and after a restarted process's yes
constexpr Millis kEver = std::numeric_limits<double>::infinity();

}  // namespace

Gateways::Gateways(Setting setting)
    : s_(std::move(setting)), processes_(s_.io, [this](const ProcessEnd& end) { Ended(end); }) {
  for (int g = 0; g < count(); ++g) {
    all_.push_back(std::make_unique<One>(s_.io, s_.experiment.fleet.front_notices));
  }
}

std::string Gateways::Configuration(int gateway, int start) const {
  const Experiment& e = s_.experiment;
  json classes = json::array(), tenants = json::array();
  for (const ClassSpec& c : e.classes) {
    classes.push_back({{"name", c.name},
                       {"sloMs", c.aim},
                       {"deadlineMs", c.deadline},
                       {"importance", c.worth},
                       {"lateWorth", c.late_worth},
                       {"idempotency", c.repeatable ? "pure" : "side_effect"},
                       {"group", "all"},
                       {"repeatWindowMs", 0}});
  }
  double shares = 0;
  for (const auto& [name, share] : e.traffic.tenants) shares += share;
  for (const auto& [name, share] : e.traffic.tenants) {
    tenants.push_back({{"name", name}, {"quotaPerS", e.Capacity() * share / shares}});
  }
  const double idle = e.hosts.front().idle_ms;
  json settings = {{"zone", e.fleet.zones[static_cast<std::size_t>(ZoneOf(gateway))]},
                   {"peersTotal", count()},
                   {"selfIndex", gateway},
                   {"membershipMode", "ask"},
                   {"categories", classes},
                   {"projects", tenants},
                   {"limits",
                    {{"maxAttempts", e.fleet.max_attempts},
                     {"cancelling", true},
                     {"retryAfter", e.fleet.retry_after},
                     {"maxRetryAfterMs", 2000},
                     {"dialTimeoutMs", 250},
                     {"connIdleMs", idle}}},
                   {"rules",
                    {{"askWithinMs", 10000},
                     {"coldFrom", e.cold.from},
                     {"coldMs", e.cold.warm_after},
                     {"fallMultiple", e.cold.fall_multiple}}}};
  json peers = json::array();
  for (int p = 0; p < count() && e.fleet.peers; ++p) {
    peers.push_back(
        Addresses::Text(p == gateway ? s_.addresses.PeerListen(p) : s_.addresses.Peer(gateway, p)));
  }
  json config{
      {"name", fmt::format("n{}", gateway)},
      {"peer_listen", Addresses::Text(s_.addresses.PeerListen(gateway))},
      {"peers", peers},
      {"listen", Addresses::Text(s_.addresses.Gateway(gateway))},
      {"discovery", Addresses::Text(s_.addresses.List(gateway))},
      {"mgmt", Addresses::Text(s_.addresses.Management(gateway, start))},
      {"seed", fmt::format("{:x}", (s_.seed << 20) + static_cast<std::uint64_t>(gateway * 1000 + start))},
      {"limits", {{"cores", 1.0}, {"memory_mb", e.fleet.memory_mb}, {"sockets", e.fleet.sockets}}},
      {"known", json::parse(s_.known(gateway))},
      {"settings", settings}};
  // An earlier program passes over it.
  if (e.fleet.registry) config["discovery_endpoints"] = {Addresses::Text(s_.addresses.List(gateway))};
  if (e.fleet.state) config["state_dir"] = (s_.folder / fmt::format("g{}", gateway) / "state").string();
  return config.dump();
}

pid_t Gateways::Start(int gateway) {
  One& one = At(gateway);
  const int start = one.starts++;
  const std::filesystem::path folder = s_.folder / fmt::format("g{}", gateway);
  const std::filesystem::path temporary = folder / "tmp";
  std::filesystem::create_directories(temporary);
  const std::filesystem::path file = folder / fmt::format("config-{}.json", start);
  std::ofstream(file) << Configuration(gateway, start);
  s_.starts(gateway);
  ProcessSpec spec;
  spec.command = s_.command;
  spec.log = s_.logs.empty() ? "/dev/null" : fmt::format("{}/gateway-{}.log", s_.logs, gateway);
  spec.file_bytes = static_cast<std::uint64_t>(s_.experiment.fleet.file_kb) * 1024;
  spec.descriptors = static_cast<std::uint64_t>(s_.experiment.fleet.sockets);
  spec.variables = {{"NODE_NAME", fmt::format("n{}", gateway)},
                    {"NODE_LISTEN", Addresses::Text(s_.addresses.Gateway(gateway))},
                    {"NODE_DISCOVERY", Addresses::Text(s_.addresses.List(gateway))},
                    {"NODE_MGMT", Addresses::Text(s_.addresses.Management(gateway, start))},
                    {"NODE_CONFIG", file.string()},
                    {"TMPDIR", temporary.string()}};
  if (s_.experiment.fleet.slow_sync > 0) {
    spec.variables.emplace_back("ELDERHEAD_SLOW_SYNC_MS", fmt::format("{:g}", s_.experiment.fleet.slow_sync));
  }
  return processes_.Start(spec);
}

void Gateways::StartAll() {
  for (int g = 0; g < count(); ++g) {
    At(g).pid = Start(g);
    Poll(g);
  }
}

bool Gateways::AllReady() const {
  for (const auto& one : all_) {
    if (!one->ready) return false;
  }
  return true;
}

std::string Gateways::NotReady() const {
  std::string words;
  for (int g = 0; g < count(); ++g) {
    if (!At(g).ready) words += fmt::format("{}gateway {} is not ready", words.empty() ? "" : ", ", g);
  }
  return words;
}

bool Gateways::Deals(int gateway, Millis now) const { return At(gateway).view.Deals(now); }

bool Gateways::Excused(int gateway, Millis since) const {
  const One& one = At(gateway);
  return one.disturbed_from >= 0 && one.disturbed_to >= since;
}

void Gateways::Poll(int gateway) {
  One& one = At(gateway);
  if (!one.front || !one.front->usable()) {
    one.front = std::make_shared<ClientConnection>(s_.io, s_.addresses.Gateway(gateway));
  }
  const Millis asked = MonotonicNow();
  one.front->Exchange("GET /up HTTP/1.1\r\nHost: backend.local\r\n\r\n", kPollPatience,
                      [this, &one, gateway, asked](ClientConnection::Result result) {
                        using Failure = ClientConnection::Failure;
                        const bool none = result.failure != Failure::kNone;
                        const bool yes = !none && result.response.result_int() == 200;
                        one.view.Tell(MonotonicNow(), none  ? FrontView::Heard::kNothing
                                                      : yes ? FrontView::Heard::kYes
                                                            : FrontView::Heard::kNo);
                        if (yes && one.pid != 0) {
                          if (!std::exchange(one.ready, true)) {
                            s_.note(fmt::format("gateway {} is ready", gateway));
                            if (one.disturbed_to == kEver) one.disturbed_to = MonotonicNow() + kSettles;
                          }
                        }
                        one.poll.expires_after(TimerDuration(kPollEvery - (MonotonicNow() - asked)));
                        one.poll.async_wait([this, gateway](error_code ec) {
                          if (!ec) Poll(gateway);
                        });
                      });
}

void Gateways::Disturb(One& one) {
  if (one.disturbed_to != kEver) one.disturbed_from = MonotonicNow();
  one.disturbed_to = kEver;
}

void Gateways::Kill(int gateway, Millis restart_after) {
  One& one = At(gateway);
  Disturb(one);
  one.ends_by_fault = true;
  one.restart_after = restart_after;
  one.ready = false;
  processes_.Signal(one.pid, SIGKILL);
}

void Gateways::Stop(int gateway) {
  Disturb(At(gateway));
  processes_.Signal(At(gateway).pid, SIGSTOP);
}

void Gateways::Continue(int gateway) {
  processes_.Signal(At(gateway).pid, SIGCONT);
  At(gateway).disturbed_to = MonotonicNow() + kSettles;
}

void Gateways::Terminate(int gateway, Millis restart_after) {
  One& one = At(gateway);
  one.ends_by_fault = true;
  one.restart_after = restart_after;
  one.ready = false;
  processes_.Signal(one.pid, SIGTERM);
  one.later.expires_after(TimerDuration(kKillAfter));
  one.later.async_wait([this, pid = one.pid, gateway](error_code ec) {
    if (ec || At(gateway).pid != pid) return;
    s_.note(fmt::format("gateway {} had to be killed after SIGTERM", gateway));
    processes_.Signal(pid, SIGKILL);
  });
}

void Gateways::Replace(int gateway) {
  One& one = At(gateway);
  one.successor = Start(gateway);
  AskSuccessor(gateway, MonotonicNow() + kYesWithin);
}

// Asks the new process where operators call it; at its yes the old one gets SIGTERM.
void Gateways::AskSuccessor(int gateway, Millis until) {
  One& one = At(gateway);
  const auto socket = std::make_shared<tcp::socket>(s_.io);
  const auto text = std::make_shared<std::string>();
  const auto again = [this, gateway, until, &one] {
    if (MonotonicNow() > until) {
      s_.rules.Crashed(fmt::format("the replacement of gateway {} did not say yes in time", gateway));
      return;
    }
    one.later.expires_after(TimerDuration(kPollEvery / 2));
    one.later.async_wait([this, gateway, until](error_code ec) {
      if (!ec) AskSuccessor(gateway, until);
    });
  };
  socket->async_connect(s_.addresses.Management(gateway, one.starts - 1), [=, this, &one](error_code ec) {
    if (ec) return again();
    boost::asio::async_write(
        *socket, boost::asio::buffer("check\n", 6), [=, this, &one](error_code write_ec, std::size_t) {
          if (write_ec) return again();
          boost::asio::async_read_until(
              *socket, boost::asio::dynamic_buffer(*text), '\n',
              [=, this, &one](error_code read_ec, std::size_t) {
                if (read_ec || text->rfind("SUCCESS", 0) != 0 || one.successor == 0) return again();
                s_.note(fmt::format("the replacement of gateway {} says yes", gateway));
                const pid_t old = std::exchange(one.pid, std::exchange(one.successor, 0));
                processes_.Signal(old, SIGTERM);
                one.later.expires_after(TimerDuration(kKillAfter));
                one.later.async_wait([this, old](error_code timer_ec) {
                  if (!timer_ec) processes_.Signal(old, SIGKILL);
                });
              });
        });
  });
}

void Gateways::Ended(const ProcessEnd& end) {
  const auto seconds = [](const timeval& t) {
    return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_usec) / 1e6;
  };
  cpu_ += 1000 * (seconds(end.usage.ru_utime) + seconds(end.usage.ru_stime));
  most_memory_mb_ = std::max(most_memory_mb_, static_cast<double>(end.usage.ru_maxrss) / 1024);
  for (int g = 0; g < count() && !ending_; ++g) {
    One& one = At(g);
    if (one.successor == end.pid) {
      one.successor = 0;
      s_.rules.Crashed(fmt::format("the replacement of gateway {} ended with {}", g, end.Words()));
    }
    if (one.pid != end.pid) continue;
    one.pid = 0;
    one.ready = false;
    if (!std::exchange(one.ends_by_fault, false)) {
      s_.rules.Crashed(fmt::format("gateway {} ended with {}", g, end.Words()));
      return;
    }
    s_.note(fmt::format("gateway {} has ended with {}", g, end.Words()));
    one.later.expires_after(TimerDuration(one.restart_after));
    one.later.async_wait([this, g](error_code ec) {
      if (ec) return;
      At(g).pid = Start(g);
      s_.note(fmt::format("gateway {} is started", g));
    });
  }
}

}  // namespace gateway::lab
