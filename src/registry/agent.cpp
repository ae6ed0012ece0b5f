#include "registry/agent.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/clock.hpp"
#include "base/log.hpp"
#include "base/socket_address.hpp"
#include "base/toml_reader.hpp"
#include "registry/form.hpp"

namespace gateway::registry {
namespace {

using base::Level;
using base::Millis;
using base::TimerDuration;
using boost::system::error_code;
using nlohmann::json;
using tcp = boost::asio::ip::tcp;

constexpr Millis kDefaultTerm = 10000;
constexpr Millis kPatience = 2000;
constexpr Millis kFirstWait = 200;  // after a failed call; doubles up to a third of the term

tcp::endpoint ReadEndpoint(base::TomlTable& t, const std::string& key, const std::string& text) {
  const auto endpoint = base::ParseSocketAddress(text);
  if (!endpoint || endpoint->port() == 0) t.Fail(key, "'" + text + "' is not an address and port");
  return *endpoint;
}

const char* Words(AgentState::Say say) {
  switch (say) {
    case AgentState::Say::kRegister: return "register";
    case AgentState::Say::kRenew: return "renew";
    case AgentState::Say::kDrain: return "drain";
    case AgentState::Say::kRemove: return "remove";
    case AgentState::Say::kNothing: break;
  }
  return "";
}

}  // namespace

AgentOptions ReadAgentOptions(const std::string& path) {
  base::TomlTable t = base::TomlTable::FromFile(path);
  AgentOptions o;
  for (const std::string& text : t.TextList("services"))
    o.services.push_back(ReadEndpoint(t, "services", text));
  if (o.services.empty()) t.Fail("services", "needs at least one");
  o.grace = t.Seconds("grace_s", o.grace, base::kNotNegative);
  auto m = t.Table("member");
  if (!m) t.Fail("member", "is missing");
  o.member.id = m->Text("id");
  o.member.address = m->Text("address");
  o.at = ReadEndpoint(*m, "address", o.member.address);
  o.member.zone = m->Text("zone", "");
  o.member.kind = m->Text("kind", "");
  o.member.version = m->Text("version", "");
  if (m->Has("cell")) o.member.cell = json(m->Text("cell")).dump();
  o.member.size = m->Number("size", 1, {1e-6, 1e6});
  o.member.term = m->Seconds("term_s", kDefaultTerm, {0.5, 3600});
  m->RejectUnknownKeys();
  if (auto c = t.Table("check")) {
    o.check = c->Text("path", "");
    o.check_every = c->Seconds("every_s", o.check_every, {0.05, 3600});
    o.check_patience = c->Seconds("within_s", o.check_patience, {0.01, 3600});
    o.check_failures = c->Integer("failures", o.check_failures, 1, 1000);
    c->RejectUnknownKeys();
  }
  t.RejectUnknownKeys();
  return o;
}

void AgentState::Answered(Say what, const std::string& code) {
  if (code.empty()) {
    if (what == Say::kRegister) listed_ = true;
    if (what == Say::kDrain) drained_ = true;
    if (what == Say::kRemove) removed_ = true;
    return;
  }
  if (code == "unknown_member") {  // lost by the service, or lapsed
    listed_ = false;
    removed_ = removed_ || what == Say::kRemove || what == Say::kDrain;
  }
  if (code == "stale_incarnation" || code == "removed" || code == "address_conflict") {
    replaced_ = true;
    listed_ = false;
  }
}

void AgentState::Checked(bool good, int most_failures) {
  failures_ = good ? 0 : failures_ + 1;
  if (good) healthy_ = true;
  if (failures_ >= most_failures) healthy_ = false;
}

Agent::Agent(boost::asio::io_context& io, AgentOptions options, std::function<void(int)> done)
    : io_(io), options_(std::move(options)), done_(std::move(done)), act_(io), check_(io), grace_(io) {
  Check();
}

void Agent::Stop() {
  state_.Stop();
  grace_.expires_after(TimerDuration(options_.grace));
  grace_.async_wait([this](error_code ec) {
    if (ec) return;
    state_.GraceOver();
    // A service that is away is not waited for for ever: the lease lapses.
    grace_.expires_after(TimerDuration(options_.member.term + 2 * kPatience));
    grace_.async_wait([this](error_code late) {
      if (!late) Finish(0);
    });
    ActLater(0);
  });
  ActLater(0);
}

void Agent::Check() {
  const auto checked = [this](bool good) {
    const bool was = state_.healthy();
    state_.Checked(good, options_.check_failures);
    if (was != state_.healthy()) {
      base::Log(was ? Level::kWarning : Level::kInfo, "member", "health",
                fmt::format("member {}: {}", options_.member.id,
                            was ? "does not answer; it is not renewed" : "answers"));
      if (!was) ActLater(0);
    }
    check_.expires_after(TimerDuration(options_.check_every));
    check_.async_wait([this](error_code ec) {
      if (!ec) Check();
    });
  };
  if (!options_.check.empty()) {
    if (!server_ || !server_->usable()) server_ = std::make_shared<base::ClientConnection>(io_, options_.at);
    server_->Exchange("GET " + options_.check + " HTTP/1.1\r\nHost: localhost\r\n\r\n",
                      options_.check_patience, [checked](base::ClientConnection::Result result) {
                        checked(result.failure == base::ClientConnection::Failure::kNone &&
                                result.response.result_int() == 200);
                      });
    return;
  }
  probe_ = std::make_shared<tcp::socket>(io_);
  check_.expires_after(TimerDuration(options_.check_patience));
  check_.async_wait([probe = probe_](error_code ec) {
    error_code ignored;
    if (!ec) probe->close(ignored);
  });
  probe_->async_connect(options_.at, [checked, probe = probe_](error_code ec) { checked(!ec); });
}

void Agent::ActLater(Millis time) {
  act_.expires_after(TimerDuration(time));
  act_.async_wait([this](error_code ec) {
    if (!ec) Act();
  });
}

void Agent::Finish(int code) {
  if (std::exchange(finished_, true)) return;
  act_.cancel();
  check_.cancel();
  grace_.cancel();
  done_(code);
}

// The next service, where this one failed.
void Agent::Next() {
  service_.reset();
  at_ = (at_ + 1) % options_.services.size();
}

void Agent::Act() {
  if (calling_ || finished_) return;
  if (state_.done()) return Finish(0);
  if (state_.replaced()) {
    base::Log(
        Level::kError, "member", "replaced",
        fmt::format("member {}: another process has taken this id, or it was removed", options_.member.id));
    return Finish(1);
  }
  const AgentState::Say say = state_.next();
  if (say == AgentState::Say::kNothing) return;
  const Member& m = options_.member;
  Command command;
  command.action = say == AgentState::Say::kRegister ? Action::kRegister
                   : say == AgentState::Say::kDrain  ? Action::kDrain
                                                     : Action::kRemove;
  command.member = m;
  if (say != AgentState::Say::kRegister) command.if_incarnation = m.incarnation;
  if (!service_ || !service_->usable()) {
    service_ = std::make_shared<base::ClientConnection>(io_, options_.services[at_]);
  }
  calling_ = true;
  service_->Exchange(
      say == AgentState::Say::kRenew ? ToRequest(Renewal{m.id, m.incarnation}) : ToRequest(command),
      kPatience, [this, say](base::ClientConnection::Result result) {
        calling_ = false;
        const bool answered = result.failure == base::ClientConnection::Failure::kNone;
        const std::string code =
            answered ? ParseOutcome(result.response.result_int(), result.response.body()).code : "";
        const Millis every = options_.member.term / 3;
        if (!answered || result.response.result_int() == 503) {
          Next();
          const Millis wait = std::min(every, kFirstWait * (1 << std::min(failed_++, 10)));
          return ActLater(wait);
        }
        failed_ = 0;
        const bool was = state_.listed();
        state_.Answered(say, code);
        if (was != state_.listed() || say == AgentState::Say::kDrain || say == AgentState::Say::kRemove) {
          base::Log(
              Level::kInfo, "member", Words(say),
              fmt::format("member {}: {} {}", options_.member.id, Words(say), code.empty() ? "done" : code));
        }
        const bool more =
            state_.next() != AgentState::Say::kRenew && state_.next() != AgentState::Say::kNothing;
        ActLater(more || state_.done() || state_.replaced() ? 0 : every);
      });
}

}  // namespace gateway::registry
