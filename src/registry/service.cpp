#include "registry/service.hpp"

#include <fmt/format.h>

#include <utility>
#include <variant>
#include <vector>

#include "base/clock.hpp"
#include "base/log.hpp"

namespace gateway::registry {
namespace {

namespace http = boost::beast::http;
using base::Level;
using base::Millis;
using base::MonotonicNow;
using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr Millis kTickEvery = 200;
constexpr int kListenBacklog = 4096;
constexpr std::size_t kMostHistory = 10000;  // changes in one answer
constexpr std::string_view kListPath = "/discovery/hosts";
constexpr std::string_view kMetricsPath = "/metrics";
constexpr const char* kMetricsType = "text/plain; version=0.0.4";
constexpr std::string_view kCallPrefix = "/registry/";
constexpr std::string_view kRenewPath = "/registry/renew";
constexpr std::string_view kStatusPath = "/registry/status";
constexpr std::string_view kMembersPath = "/registry/members";
constexpr std::string_view kHistoryPath = "/registry/history";

std::string ZonesText(const std::string& zone) { return zone.empty() ? "in all zones" : "in zone " + zone; }

const char* LeaseEventText(Action action) {
  switch (action) {
    case Action::kSuspect: return "is suspect: its lease lapsed";
    case Action::kExpire: return "is removed: its lease lapsed";
    default: return "renews again";
  }
}

void LogLeaseEvent(const Command& command, Revision revision) {
  base::Log(Level::kWarning, "registry", "lease",
            fmt::format("registry: member {} {}, revision {}", command.member.id,
                        LeaseEventText(command.action), revision));
}

}  // namespace

Service::Service(boost::asio::io_context& io, storage::FileSystem& files, ServiceOptions options)
    : io_(io),
      options_(std::move(options)),
      leases_(options_.leases),
      store_(io, files, options_, *this),
      lists_(store_.catalog()),
      watches_(lists_),
      admission_({options_.callers, options_.operators, options_.whole_lists}),
      acceptor_(io),
      tick_(io),
      started_(MonotonicNow()) {
  for (const auto& [id, member] : catalog().members()) leases_.Changed(member, MonotonicNow());
  Listen();
  Accept();
  Tick();
}

Service::~Service() {
  for (const auto& session : std::exchange(sessions_, {})) session->Close();
}

// ---- Connections --------------------------------------------------------------------------------

void Service::Listen() {
  acceptor_.open(options_.listen.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(options_.listen);
  acceptor_.listen(kListenBacklog);
}

void Service::Accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted) return;
    if (error) {  // no descriptors are left: wait until some are closed
      tick_.async_wait([this](error_code) { Accept(); });
      return;
    }
    OnAccepted(std::move(socket));
    Accept();
  });
}

void Service::OnAccepted(tcp::socket socket) {
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  SessionHandler& handler = *this;  // a private base: make_shared can't convert to it
  const auto session = std::make_shared<Session>(io_, std::move(socket), handler);
  sessions_.insert(session);
  if (admission_.Fits(sessions_.size())) return session->Start();
  admission_.CountTurnedAway();
  Response response = ToResponse(Outcome{"overloaded", "", "too many connections"});
  response.keep_alive = false;
  session->Answer(std::move(response));
}

void Service::TurnAway(const SessionPtr& session, const std::string& message, bool keep_alive) {
  Response response = ToResponse(Outcome{"overloaded", "", message});
  response.retry_after_s = admission_.TurnAway();
  response.keep_alive = keep_alive;
  session->Answer(std::move(response));
}

void Service::OnBytes(std::size_t in, std::size_t out) {
  counts_.all.bytes_in += in;
  counts_.all.bytes_out += out;
}

void Service::OnClosed(const SessionPtr& session, CloseReason reason) {
  if (reason == CloseReason::kSlowReader) ++counts_.cut_off;
  admission_.Leave(*session);
  watches_.Remove(session);
  sessions_.erase(session);
}

// ---- Requests -----------------------------------------------------------------------------------

void Service::OnRequest(const SessionPtr& session) {
  ++counts_.all.requests;
  const auto& request = session->request();
  const std::string_view target(request.target().data(), request.target().size());
  const std::string_view path = target.substr(0, target.find('?'));
  if (path == kListPath) session->CountIn(counts_.list);
  const bool caller = path == kListPath || path == kRenewPath;  // all others are operators
  if (caller && !admission_.AdmitCaller(*session)) {
    return TurnAway(session, "all places for callers are taken", /*keep_alive=*/false);
  }
  const bool get = request.method() == http::verb::get;
  if (path == kListPath) {
    if (get) return AnswerList(session, target);
    return session->Answer(ToResponse(Outcome{"bad_request", "", "only GET"}, 405));
  }
  if (get && AnswerReport(session, path, target)) return;
  const bool call = path.starts_with(kCallPrefix);
  if (call && request.method() == http::verb::post) {
    return AnswerCall(session, path.substr(kCallPrefix.size()), request.body());
  }
  session->Answer(ToResponse(Outcome{"unknown_call", "", "no such call here"}, call ? 405 : 404));
}

void Service::AnswerList(const SessionPtr& session, std::string_view target) {
  const auto query = ParseWatch(target);
  if (!query) {
    return session->Answer(
        ToResponse(Outcome{"bad_request", "", "'after' and 'wait_ms' must be whole numbers"}));
  }
  const bool same_epoch = query->epoch.empty() || query->epoch == catalog().epoch();
  if (!query->after || !same_epoch || !catalog().Knows(*query->after)) {
    if (!admission_.TakeWholeList()) {
      return TurnAway(session, "too many ask for the whole list at once", /*keep_alive=*/true);
    }
    ++counts_.whole_lists;
    return session->Answer(ToResponse(lists_.Whole()));
  }
  if (*query->after < catalog().revision() || query->wait <= 0) {
    return session->Answer(ToResponse(lists_.Since(*query->after)));
  }
  watches_.Add(session, *query->after, query->wait);
}

// The reports for operators. False if there is none at this path.
bool Service::AnswerReport(const SessionPtr& session, std::string_view path, std::string_view target) {
  if (path == kMetricsPath) {
    session->Answer(ToResponse(MetricsText(View()), kMetricsType));
  } else if (path == kStatusPath) {
    session->Answer(ToResponse(StatusText(View())));
  } else if (path == kMembersPath) {
    session->Answer(ToResponse(lists_.Whole()));
  } else if (path == kHistoryPath) {
    AnswerHistory(session, target);
  } else {
    return false;
  }
  return true;
}

void Service::AnswerHistory(const SessionPtr& session, std::string_view target) const {
  const auto query = ParseWatch(target);
  if (!query) {
    return session->Answer(ToResponse(Outcome{"bad_request", "", "'after' must be a whole number"}));
  }
  const Revision after = query->after.value_or(catalog().oldest());
  std::vector<const Member*> changes;
  for (const Member& change : catalog().history()) {
    if (change.revision > after && changes.size() < kMostHistory) changes.push_back(&change);
  }
  session->Answer(ToResponse(ListText(catalog(), /*complete=*/false, changes)));
}

void Service::AnswerCall(const SessionPtr& session, std::string_view name, const std::string& body) {
  const auto answer = [session](const Outcome& outcome) { session->Answer(ToResponse(outcome)); };
  Call call = ParseCall(name, body);
  if (const auto* wrong = std::get_if<Outcome>(&call)) return answer(*wrong);
  if (const auto* renewal = std::get_if<Renewal>(&call)) return answer(Renew(*renewal));
  Command& command = std::get<Command>(call);
  if (command.action == Action::kRegister && !command.by_operator && command.member.term <= 0) {
    command.member.term = options_.leases.term;
  }
  store_.Propose(std::move(command), answer);
}

Outcome Service::Renew(const Renewal& renewal) {
  ++counts_.renewals;
  const Leases::Renewal result = leases_.Renew(renewal.id, renewal.incarnation, MonotonicNow());
  if (result == Leases::Renewal::kLifted) ProposeTrust(renewal);
  switch (result) {
    case Leases::Renewal::kGood:
    case Leases::Renewal::kLifted: return {"", "", "", catalog().revision(), false};
    case Leases::Renewal::kStale:
      return {"stale_incarnation", "incarnation", "the lease is of another process of this member"};
    default: return {"unknown_member", "id", "no lease of '" + renewal.id + "'; it has to register"};
  }
}

void Service::ProposeTrust(const Renewal& renewal) {
  Command trust;
  trust.action = Action::kTrust;
  trust.member.id = renewal.id;
  trust.if_incarnation = renewal.incarnation;
  store_.Propose(std::move(trust), {});
}

ServiceView Service::View() const {
  ServiceCounts counts = counts_;
  counts.encoded = lists_.encoded();
  counts.turned_away = admission_.turned_away();
  return {store_, leases_, counts, watches_.size(), sessions_.size(), MonotonicNow(), started_};
}

// ---- Changes ------------------------------------------------------------------------------------

void Service::OnApplied(const Command& command, const Outcome& outcome) {
  if (!outcome.ok()) return leases_.Failed(command);
  if (const Member* const member = catalog().Find(command.member.id)) {
    leases_.Changed(*member, MonotonicNow());
  } else if (outcome.changed) {
    leases_.Changed(catalog().history().back(), MonotonicNow());
  }
  if (outcome.changed && command.action >= Action::kSuspect) LogLeaseEvent(command, outcome.revision);
}

void Service::OnRefused(const Command& command) { leases_.Failed(command); }

void Service::OnReopened(const std::vector<const Member*>& changed) {
  for (const Member* member : changed) leases_.Changed(*member, MonotonicNow());
}

void Service::OnNewRevision() {
  lists_.Clear();
  watches_.WakeAll();
}

// ---- Periodic work ------------------------------------------------------------------------------

void Service::Tick() {
  const Millis now = MonotonicNow();
  admission_.Refill(now);
  CheckLeases(now);
  LogHolds();
  lists_.Trim();
  TickLater();
}

void Service::TickLater() {
  tick_.expires_after(base::TimerDuration(kTickEvery));
  tick_.async_wait([this](error_code error) {
    if (!error) Tick();
  });
}

void Service::CheckLeases(Millis now) {
  const int absences = leases_.absences();
  for (Command& command : leases_.Tick(now)) store_.Propose(std::move(command), {});
  if (leases_.absences() == absences) return;
  base::Log(Level::kWarning, "registry", "was_away",
            "registry: was stopped or starved; all leases begin anew");
}

void Service::LogHolds() {
  std::set<std::string> held_zones;
  for (const Leases::Hold& hold : leases_.holds()) {
    held_zones.insert(hold.zone);
    if (held_zones_.contains(hold.zone)) continue;
    base::Log(Level::kWarning, "registry", "hold",
              fmt::format("registry: removals held {}: {} of {} leases lapsed together", ZonesText(hold.zone),
                          hold.lapsed, hold.of));
  }
  for (const std::string& zone : held_zones_) {
    if (held_zones.contains(zone)) continue;
    base::Log(Level::kInfo, "registry", "hold_ended", "registry: removals go on " + ZonesText(zone));
  }
  held_zones_ = std::move(held_zones);
}

}  // namespace gateway::registry
