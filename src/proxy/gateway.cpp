#include "proxy/gateway.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <limits>
#include <string_view>
#include <utility>
#include <variant>

#include "base/log.hpp"
#include "proxy/clock.hpp"
#include "proxy/listen.hpp"

namespace gateway::proxy {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr Millis kMargin = 10;       // before a client leaves: answers travel, and timers may come late
constexpr Millis kLastMargin = 4;    // before it leaves: what the policy has not answered by then is failed
constexpr Millis kAcceptFor = 500;   // after SIGTERM: connections go on coming for up to 400
constexpr Millis kAnswerAll = 3300;  // after SIGTERM: all deadlines are over, SIGKILL comes at 3,700 or later
constexpr Millis kMostUpload = 1200000;    // a body of the full size at the least rate
constexpr Millis kFlush = 200;             // for the last answers to leave
constexpr Millis kCountEvery = 5000;       // from one log line on the sockets to the next
constexpr std::size_t kMostCallers = 16;   // operators' connections
constexpr Millis kKeepWithin = 1000;       // after news of the list it is on its way to the disk
constexpr Millis kKeepEvery = 2000;        // from one state kept to the next
constexpr int kKeepSteps = 16;             // that gateways spread over
constexpr std::size_t kSpareSockets = 40;  // listeners, operators, discovery, the loop's own, and room

// Descriptors that may be used, by the configuration and by the system.
std::size_t Sockets(std::size_t configured) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) return configured;
  return std::min<std::size_t>(configured, limit.rlim_cur);
}

std::size_t Usable(std::size_t configured) {
  const std::size_t all = Sockets(configured);
  return all > 2 * kSpareSockets ? all - kSpareSockets : all / 2;
}

// "inflight=7,util=0.61" in the order of the settings' fields; what is missing is not a number.
std::vector<double> ParseLoad(std::string_view text, const std::vector<std::string>& fields) {
  if (text.empty()) return {};
  std::vector<double> load(fields.size(), std::numeric_limits<double>::quiet_NaN());
  while (!text.empty()) {
    const std::string_view pair = text.substr(0, text.find(','));
    text.remove_prefix(std::min(text.size(), pair.size() + 1));
    const std::size_t equals = pair.find('=');
    const auto field = std::find(fields.begin(), fields.end(), pair.substr(0, equals));
    if (equals == std::string_view::npos || field == fields.end()) continue;
    double value = 0;
    const auto [end, error] = std::from_chars(pair.data() + equals + 1, pair.data() + pair.size(), value);
    if (error == std::errc()) load[static_cast<std::size_t>(field - fields.begin())] = value;
  }
  return load;
}

// As printf does; longer texts than any line here are cut.
template <typename... Values>
std::string Words(const char* form, Values... values) {
  char text[512];
  std::snprintf(text, sizeof text, form, values...);
  return text;
}

// The request that an event is about; empty if it is about none.
std::string RequestOf(const policy::Event& event) {
  if (const auto* request = std::get_if<policy::Request>(&event)) return request->id;
  if (const auto* outcome = std::get_if<policy::AttemptOutcome>(&event)) return outcome->request;
  if (const auto* gone = std::get_if<policy::ClientDisconnected>(&event)) return gone->request;
  return {};
}

// The watch begins at the newest revision known. That of a list from the disk is not sure.
EndpointListWatcher::Options FollowerOptions(const Config& config, const InheritedState& inheritance,
                                             const std::optional<SavedState>& kept) {
  EndpointListWatcher::Options options;
  options.service = config.discovery;
  options.other_services = config.other_discoveries;
  options.seed = config.seed;
  options.revision = inheritance.transferred
                         ? inheritance.transferred->list.revision
                         : std::max(config.known.revision, kept ? kept->list.revision : 0);
  options.epoch = inheritance.transferred ? inheritance.transferred->list.epoch
                  : kept                  ? kept->list.epoch
                                          : "";
  options.position_is_current =
      inheritance.transferred || !kept || kept->list.revision <= config.known.revision;
  options.guard_mass_removal = config.list_guarded;
  options.max_removed_share = config.most_removed;
  return options;
}

}  // namespace

Gateway::Gateway(asio::io_context& io, const Config& config)
    : Gateway(
          io, config,
          config.handover.empty() ? InheritedState{} : InheritFromPredecessor(config.handover, config.listen),
          config.state_folder.empty() || !config.state_loaded
              ? std::nullopt
              : LoadSavedState(config.state_folder, config.state_owner)) {}

// Hosts get a third of the descriptors, clients the rest: both sides together stay under the limit.
Gateway::Gateway(asio::io_context& io, const Config& config, InheritedState inheritance,
                 std::optional<SavedState> kept)
    : io_(io),
      settings_(config.settings),
      policy_(config.settings, config.seed),
      most_clients_(std::max<std::size_t>(1, Usable(config.sockets) * 2 / 3)),
      most_hosts_(std::max<std::size_t>(1, Usable(config.sockets) / 3)),
      hosts_(io, {config.dial_timeout, config.idle_timeout, most_hosts_, config.memory / 4}),
      list_(
          io, FollowerOptions(config, inheritance, kept),
          {[this] {
             list_kept_ = false;
             list_confirmed_at_ = Now();
           },
           [this](const EndpointList& list) { ApplyList(list); }, [this](Millis took) { ListFailed(took); }}),
      metrics_(config.settings),
      stop_(io),
      counting_(io),
      replacement_(
          io, config.handover, std::move(inheritance.predecessor),
          !config.handover.empty() && !inheritance.listener && IsTaken(config.listen),
          {[this] { return Ready(); }, [this] { return stopping_; }, [this] { return clients_.listener(); },
           [this] { return Leave(); }, [this](double factor) { policy_.ScaleToShare(factor); },
           [this](bool half) { SetPlaces(half); },
           [this](base::FileDescriptor client) { clients_.Adopt(std::move(client)); }}),
      keep_(io),
      list_old_after_(config.list_old_after),
      started_at_(Now()),
      clients_(io, config.listen, !config.handover.empty(), std::move(inheritance.listener), most_clients_,
               config.settings, config.memory / 4,
               {[this] { return Ready() || (stopping_ && !draining_ && replacement_.HasReadySuccessor()); },
                [this](ClientRequest request) { Take(std::move(request)); },
                [this](const std::string& id, Millis at) { Whole(id, at); },
                [this](const std::string& id) { Gone(id); },
                [this](const std::string& class_name, unsigned status, bool whole) {
                  metrics_.Answered(class_name, status, whole);
                }}) {
  if (config.management) {
    const std::size_t callers = std::max<std::size_t>(2, std::min(kMostCallers, config.sockets / 16));
    management_.emplace(io, *config.management, callers,
                        [this](const std::string& call) { return Manage(call); });
  }
  const std::optional<TransferredState>& handed_over = inheritance.transferred;
  // A process that still runs knows better than the disk.
  list_kept_ = !handed_over && kept && kept->list.revision > config.known.revision;
  if (!handed_over && kept && kept->draining) SetDraining(true);
  list_confirmed_at_ = list_kept_ ? kept->list_valid_at : Now();
  list_.Apply(handed_over ? handed_over->list : list_kept_ ? kept->list : config.known);
  if (list_kept_) {
    base::Log(base::Level::kInfo, "state", "list_restored",
              Words("state kept: list of revision %lld with %zu hosts in force until discovery answers, kept "
                    "%.0f s ago",
                    static_cast<long long>(list_.revision()), list_.endpoints().size(),
                    (Now() - kept->list_valid_at) / 1000),
              {{"revision", list_.revision()},
               {"hosts", list_.endpoints().size()},
               {"age_ms", Now() - kept->list_valid_at}});
  }
  if (!config.state_folder.empty())
    keeper_.emplace(config.state_folder, config.state_owner, config.state_sync_delay);
  if (handed_over) {
    policy_.ImportState(Now(), handed_over->learned);
  } else if (kept && kept->learned) {
    policy_.ImportState(Now(), *kept->learned);
    base::Log(base::Level::kInfo, "state", "learned_restored",
              Words("state kept: what was learned of %zu hosts, %.1f s ago, counts by its age",
                    kept->learned->endpoints.size(), (Now() - kept->learned->exported_at) / 1000),
              {{"hosts", kept->learned->endpoints.size()}, {"age_ms", Now() - kept->learned->exported_at}});
  }
  replacement_.Start();
  if (!settings_.poll_endpoint_list) list_.Watch();
  for (const policy::TrafficClassSettings& c : settings_.classes) {
    base::Log(base::Level::kInfo, "start", "class",
              Words("class %s: aim %.0f ms, deadline %.0f ms, worth %.1f, late worth %.2f", c.name.c_str(),
                    c.latency_objective, c.deadline, c.priority_weight, c.late_weight),
              {{"class", c.name},
               {"aim_ms", c.latency_objective},
               {"deadline_ms", c.deadline},
               {"worth", c.priority_weight}});
  }
  base::Log(
      base::Level::kInfo, "start", "fleet",
      Words("fleet: gateway %d of %d in zone %s; hosts start at %.2f, warm after %.0f ms, fall at %.1f times "
            "that; ask within %.0f ms",
            settings_.gateway_index, settings_.gateway_count, settings_.zone.c_str(),
            settings_.warm_up_initial_fraction, settings_.warm_up_duration, settings_.overload_factor,
            settings_.maximum_poll_interval),
      {{"gateway", settings_.gateway_index},
       {"gateways", settings_.gateway_count},
       {"zone", settings_.zone}});
  CountLater();
}

void Gateway::Take(ClientRequest request) {
  if (active_requests_.contains(request.id)) {  // two answers for one id could not be told apart
    HttpResponse response(http::status::conflict, 11);
    response.body() = "Req-Id is in use\n";
    return request.answer(std::move(response), nullptr);
  }
  ActiveRequest& active = active_requests_.try_emplace(request.id, io_).first->second;
  active.http = std::make_shared<const HttpRequest>(std::move(request.http));
  active.answer = std::move(request.answer);
  active.left = std::move(request.left);
  active.rest = std::move(request.rest);
  active.whole = active.rest == nullptr;
  active.allowed = request.allowed;
  active.class_name = request.class_name;
  active.received = request.received;
  const Millis gives_up = request.received + request.allowed;
  active.leaves_at = gives_up - kMargin;
  if (active.whole) SetDeadline(request.id, active, gives_up);
  Report(
      policy::Request{request.id, request.class_name, request.tenant, request.key, active.leaves_at - Now()});
  if (ActiveRequest* const held = Find(request.id)) held->direct = false;
}

void Gateway::SetDeadline(const std::string& id, ActiveRequest& active, Millis gives_up) {
  active.leaves_at = gives_up - kMargin;
  active.overdue.expires_after(Span(gives_up - kLastMargin - Now()));
  active.overdue.async_wait([this, id](error_code ec) {
    if (!ec) Overdue(id);
  });
}

// The last byte of a long request was read: its time, and that of its attempt, begins here.
void Gateway::Whole(const std::string& id, Millis at) {
  ActiveRequest* const active = Find(id);
  if (active == nullptr || std::exchange(active->whole, true)) return;
  SetDeadline(id, *active, at + active->allowed);
  for (Attempt& attempt : active->attempts) {
    if (!attempt.out) continue;
    attempt.sent = at;
    hosts_.SetDeadline(attempt.number, std::min(at + attempt.timeout, active->leaves_at));
  }
  Report(policy::RequestComplete{id, active->leaves_at - Now()});
}

void Gateway::ApplyList(const EndpointList& list) {
  hosts_.Update(list);  // first: nothing may be sent by the old list any more
  listed_ = listed_ || !list.endpoints.empty();
  Report(ToListEvent(list));
  replacement_.NotifyReadiness();
  // Not all of a fleet at once.
  if (keeper_ && !list_.endpoints().empty()) {
    KeepLater(kKeepWithin * (settings_.gateway_index % kKeepSteps) / kKeepSteps);
  }
}

// One that is due sooner already takes in what has changed since.
void Gateway::KeepLater(Millis delay) {
  if (!keeper_) return;
  const auto due = std::chrono::steady_clock::now() + Span(delay);
  if (keep_.expiry() > std::chrono::steady_clock::now() && keep_.expiry() <= due) return;
  keep_.expires_at(due);
  keep_.async_wait([this](error_code ec) {
    if (ec || !keeper_->ok()) return;
    keeper_->Save({list_.Snapshot(), draining_, list_confirmed_at_, policy_.ExportState()});
    KeepLater(kKeepEvery);  // what is learned goes on changing
  });
}

void Gateway::SetDraining(bool on) {
  draining_ = on;
  clients_.Drain(on);
  KeepLater(0);
}

void Gateway::MoveDiscovery(const asio::ip::tcp::endpoint& address) {
  const std::string where = address.address().to_string() + ":" + std::to_string(address.port());
  base::Log(base::Level::kInfo, "discovery", "moved", "discovery is at " + where + " now",
            {{"address", where}});
  list_.ChangeAddress(address);
}

bool Gateway::ListOld() const {
  return Now() - std::max(list_.last_list_at(), started_at_) > list_old_after_;
}

void Gateway::ListFailed(Millis took) {
  Report(policy::EndpointListEvent{
      policy::EndpointListEvent::Kind::kFailure, {}, took});  // the policy says when to ask again
}

void Gateway::Ended(const std::string& id, std::size_t attempt, policy::AttemptResult result,
                    HttpResponse response) {
  ActiveRequest* const active = Find(id);
  if (active == nullptr) return;
  Attempt& ended = active->attempts[attempt];
  ended.out = false;
  const auto report = response["Srv-Load"];
  // Before the request was whole the host had nothing to work on.
  const Millis latency = active->whole ? Now() - ended.sent : 0;
  const bool held = !active->rest || !active->rest->begun();
  policy::AttemptOutcome outcome{id,
                                 static_cast<int>(attempt),
                                 ended.host,
                                 result,
                                 false,
                                 latency,
                                 ParseLoad({report.data(), report.size()}, settings_.load_report_fields),
                                 held};
  if (result == policy::AttemptResult::kServed)
    metrics_.Took(active->class_name, Metrics::Span::kAtHost, latency);
  if (result == policy::AttemptResult::kServed && !active->answered) {
    StripHopByHop(response);
    response.erase("Srv-Load");
    Answer(*active, std::move(response));
  }
  Report(std::move(outcome));
}

// From here on the answer is the client's, whatever the time.
void Gateway::Begun(const std::string& id, std::size_t attempt, HttpResponse response,
                    std::shared_ptr<BodySource> rest) {
  ActiveRequest* const active = Find(id);
  if (active == nullptr || active->answered) {
    asio::post(io_, [rest] { rest->Drop(); });
    return;
  }
  StripHopByHop(response);
  response.erase("Srv-Load");
  Answer(*active, std::move(response), std::move(rest));
  Report(policy::ResponseStarted{id, static_cast<int>(attempt)});
}

// The client has left: nothing is owed any more, and what was not written to a host never will be.
void Gateway::Gone(const std::string& id) {
  ActiveRequest* const active = Find(id);
  if (active == nullptr || active->answered) return;
  ++gone_;
  ++left_;
  active->answered = true;
  active->overdue.cancel();
  Report(policy::ClientDisconnected{id});
  std::vector<std::uint64_t> out;
  if (const ActiveRequest* const left = Find(id)) {
    for (const Attempt& attempt : left->attempts) {
      if (attempt.out) out.push_back(attempt.number);
    }
  }
  for (const std::uint64_t attempt : out) hosts_.Withdraw(attempt);
}

// Whether someone still waits for the answer; a client that has left unseen is told as gone.
bool Gateway::Awaited(const std::string& id) {
  const ActiveRequest* const active = Find(id);
  if (active == nullptr || active->answered) return false;
  if (!active->left()) return true;
  Gone(id);
  return false;
}

// The policy's own timers answer in time; this one is for when they came late.
void Gateway::Overdue(const std::string& id) {
  ActiveRequest* const active = Find(id);
  if (active == nullptr || active->answered) return;
  Answer(*active, HttpResponse(http::status::gateway_timeout, 11));
  Report(policy::ClientDisconnected{id});
}

std::optional<asio::ip::tcp::endpoint> Gateway::management() const {
  if (!management_) return std::nullopt;
  return management_->address();
}

// What the operators ask for, and what they are told.
std::string Gateway::Manage(const std::string& call) {
  if (call == "vars") {
    std::string figures =
        metrics_.ToJson(clients_.active(), list_.endpoints().size(), policy_.EjectedEndpoints());
    // With no folder for states all is as before.
    if (keeper_)
      figures.insert(figures.size() - 1,
                     list_kept_ ? ",\"list_from\":\"state\"" : ",\"list_from\":\"discovery\"");
    return figures + "\nEOT\n";
  }
  if (call == "metrics") {
    const UpstreamPool::Counts& c = hosts_.counts();
    const auto number = [](auto value) { return static_cast<double>(value); };
    return metrics_.ToPrometheus(
               {{"active_requests", "gauge", "Requests taken and not ended", number(clients_.active())},
                {"hosts_listed", "gauge", "Hosts in the list", number(list_.endpoints().size())},
                {"hosts_avoided", "gauge", "Listed hosts that get no more than trials",
                 number(policy_.EjectedEndpoints())},
                {"list_revision", "gauge", "Revision of the list in force", number(list_.revision())},
                {"ready", "gauge", "1 while this process takes clients", Ready() ? 1.0 : 0.0},
                {"client_connections", "gauge", "Connections from clients", number(clients_.sessions())},
                {"host_connections", "gauge", "Connections to hosts", number(hosts_.connections())},
                {"dials_total", "counter", "Connections dialled to hosts", number(c.dialled)},
                {"reuses_total", "counter", "Attempts on a connection that was open", number(c.reused)},
                {"stale_total", "counter", "Connections found closed when they were to be reused",
                 number(c.stale)},
                {"resets_total", "counter", "Connections that broke under an attempt",
                 number(c.reset_new + c.reset_reused)},
                {"clients_left_total", "counter", "Clients that left unanswered", number(left_)},
                {"list_age_seconds", "gauge", "Since the list was last known to hold",
                 (Now() - std::max(list_.last_list_at(), list_confirmed_at_)) / 1000},
                {"list_old", "gauge", "1 while no list service has answered for too long",
                 ListOld() ? 1.0 : 0.0},
                {"list_service", "gauge", "Which of the list services is watched, from 0",
                 number(list_.service_index())},
                {"list_from_state", "gauge", "1 while the list in force is from the disk",
                 list_kept_ ? 1.0 : 0.0},
                {"state_ok", "gauge", "0 once keeping state has failed",
                 !keeper_ || keeper_->ok() ? 1.0 : 0.0},
                {"state_writes_total", "counter", "States written to the disk",
                 keeper_ ? number(keeper_->writes()) : 0}}) +
           "EOT\n";
  }
  if (call == "check") {
    if (Ready()) return "SUCCESS takes clients\n";
    return stopping_   ? "FAILURE stopping\n"
           : draining_ ? "FAILURE draining\n"
                       : "FAILURE no host is known yet\n";
  }
  if (call == "drain-on" || call == "drain-off") {
    if (stopping_) return call == "drain-on" ? "SUCCESS stopping anyway\n" : "FAILURE stopping\n";
    SetDraining(call == "drain-on");
    base::Log(base::Level::kInfo, "operators", "drain", call + " by the operators' call", {{"call", call}});
    return draining_ ? "SUCCESS draining\n" : "SUCCESS takes clients\n";
  }
  return "FAILURE unknown call\n";
}

void Gateway::CountLater() {
  counting_.expires_after(Span(kCountEvery));
  counting_.async_wait([this](error_code ec) {
    if (!ec) LogCounts();
  });
}

// Every few seconds, what became of the connections since the last such line.
void Gateway::LogCounts() {
  if (std::exchange(said_old_, ListOld()) != ListOld()) {
    base::Log(said_old_ ? base::Level::kWarning : base::Level::kInfo, "discovery",
              said_old_ ? "list_old" : "list_fresh",
              said_old_ ? Words("discovery: no list for %.0f s; the old one holds", list_old_after_ / 1000)
                        : "discovery: the list is fresh again");
  }
  const UpstreamPool::Counts& now = hosts_.counts();
  const UpstreamPool::Counts was = std::exchange(counted_, now);
  const auto since = [](std::uint64_t a, std::uint64_t b) { return static_cast<unsigned long long>(a - b); };
  base::Log(
      base::Level::kInfo, "sockets", "counts",
      Words("sockets: hosts %zu clients %zu left %d | dialled %llu reused %llu stale %llu unusable %llu "
            "reset new %llu reused %llu",
            hosts_.connections(), clients_.sessions(), std::exchange(gone_, 0),
            since(now.dialled, was.dialled), since(now.reused, was.reused), since(now.stale, was.stale),
            since(now.unusable, was.unusable), since(now.reset_new, was.reset_new),
            since(now.reset_reused, was.reset_reused)));
  CountLater();
}

void Gateway::Report(policy::Event event) {
  events_.push_back(std::move(event));
  if (reporting_) return;
  reporting_ = true;
  std::vector<policy::Action> actions;
  while (!events_.empty()) {
    policy::Event next = std::move(events_.front());
    events_.pop_front();
    const std::string id = RequestOf(next);
    if (auto* const outcome = std::get_if<policy::AttemptOutcome>(&next)) {
      const ActiveRequest* const active = Find(id);
      outcome->request_finished = active == nullptr || active->answered;
    }
    actions.clear();
    policy_.Handle(Now(), next, actions);
    for (const policy::Action& action : actions) {
      std::visit([this](const auto& a) { Do(a); }, action);
    }
    Settle(id);
  }
  reporting_ = false;
}

void Gateway::Do(const policy::Send& send) {
  const bool awaited = Awaited(send.request);
  ActiveRequest* const active = Find(send.request);
  const Millis now = Now();
  // A request that is over, or one attempt too many, is never sent, whatever was decided a moment ago.
  if (!awaited || static_cast<int>(active->attempts.size()) >= settings_.max_attempts ||
      (active->rest && active->rest->begun())) {
    const int attempt = active == nullptr ? 0 : static_cast<int>(active->attempts.size());
    if (active != nullptr) active->attempts.push_back({send.endpoint, now, 0, 0, false});
    return Report(policy::AttemptOutcome{
        send.request, attempt, send.endpoint, policy::AttemptResult::kNotSent, true, 0, {}});
  }
  const std::size_t index = active->attempts.size();
  if (index == 0) Handled(*active, now, true);
  const Millis timeout = send.timeout > 0 ? send.timeout : kMostUpload;
  active->attempts.push_back({send.endpoint, now, timeout});
  UpstreamPool::Order order;
  order.request = active->http;
  if (!active->whole) order.rest = active->rest;
  order.deadline = active->whole ? std::min(now + timeout, active->leaves_at) : now + kMostUpload;
  order.wanted = [this, id = send.request, write_by = now + send.start_writing_within] {
    return Now() <= write_by && Awaited(id);
  };
  order.done = [this, id = send.request, index](policy::AttemptResult result, HttpResponse response) {
    Ended(id, index, result, std::move(response));
  };
  order.begun = [this, id = send.request, index](HttpResponse response, std::shared_ptr<BodySource> rest) {
    Begun(id, index, std::move(response), std::move(rest));
  };
  order.passing = [this, id = send.request] {
    if (ActiveRequest* const passing = Find(id)) passing->http.reset();
  };
  order.written = [this] { metrics_.Tried(); };
  const std::uint64_t number = hosts_.Start(send.endpoint, std::move(order));
  active->attempts[index].number = number;
}

// The decisions have dealt with the request for the first time.
void Gateway::Handled(const ActiveRequest& active, Millis now, bool sent) {
  if (sent) metrics_.Took(active.class_name, Metrics::Span::kFirstAttempt, now - active.received);
  if (!active.direct) metrics_.Took(active.class_name, Metrics::Span::kQueued, now - active.received);
}

void Gateway::Do(const policy::Reject& refuse) {
  ActiveRequest* const active = Find(refuse.request);
  if (active == nullptr) return;
  if (active->attempts.empty()) Handled(*active, Now(), false);
  HttpResponse response(http::status::service_unavailable, 11);
  response.set(http::field::retry_after, Seconds(refuse.retry_after));
  Answer(*active, std::move(response));
  Settle(refuse.request);
}

void Gateway::Do(const policy::Fail& fail) {
  ActiveRequest* const active = Find(fail.request);
  if (active == nullptr) return;
  Answer(*active, HttpResponse(http::status::bad_gateway, 11));
  Settle(fail.request);
}

void Gateway::Do(const policy::Cancel& cancel) {
  ActiveRequest* const active = Find(cancel.request);
  const auto attempt = static_cast<std::size_t>(cancel.attempt);
  if (active != nullptr && attempt < active->attempts.size()) hosts_.Cancel(active->attempts[attempt].number);
}

void Gateway::Do(const policy::SetTimer& timer) {
  const auto wait = std::make_shared<asio::steady_timer>(io_, Span(timer.delay));
  wait->async_wait([this, wait, name = timer.name](error_code ec) {
    if (!ec) Report(policy::TimerFired{name});
  });
}

void Gateway::Do(const policy::WatchEndpointList&) { list_.Watch(); }

void Gateway::Do(const policy::LogLine& log) {
  const bool state = log.text.rfind("state:", 0) == 0;
  base::Log(base::Level::kInfo, "decisions", state ? "counts" : "news", log.text);
}

Gateway::ActiveRequest* Gateway::Find(const std::string& id) {
  const auto found = active_requests_.find(id);
  return found == active_requests_.end() ? nullptr : &found->second;
}

void Gateway::Answer(ActiveRequest& active, HttpResponse response, std::shared_ptr<BodySource> rest) {
  if (std::exchange(active.answered, true)) return;
  active.overdue.cancel();
  metrics_.Took(active.class_name, Metrics::Span::kAll, Now() - active.received);
  std::exchange(active.answer, nullptr)(std::move(response), std::move(rest));
}

void Gateway::Settle(const std::string& id) {
  const auto found = active_requests_.find(id);
  if (found == active_requests_.end() || !found->second.answered) return;
  const auto& attempts = found->second.attempts;
  if (std::none_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.out; })) {
    active_requests_.erase(found);
  }
}

// While another process runs beside this one each keeps to a part.
void Gateway::SetPlaces(bool half) {
  clients_.SetMost(half ? std::max<std::size_t>(1, most_clients_ / 2) : most_clients_);
  hosts_.SetMost(half ? std::max<std::size_t>(1, most_hosts_ / 2) : most_hosts_);
}

TransferredState Gateway::Leave() const { return {list_.Snapshot(), policy_.ExportState()}; }

void Gateway::Stop(std::function<void()> done) {
  if (std::exchange(stopping_, true)) return;
  if (replacement_.HasReadySuccessor()) return LeaveTo(std::move(done));
  clients_.Drain(true);
  stop_.expires_after(Span(kAcceptFor));
  stop_.async_wait([this, done = std::move(done)](error_code) {
    clients_.StopListening(done);
    FinishBy(kAnswerAll - kAcceptFor, done);
  });
}

// Another process accepts from the same queue already: it is given what rests, and the rest is finished here.
void Gateway::LeaveTo(std::function<void()> done) {
  replacement_.AnnounceLeaving();
  clients_.GiveAway(
      [this](base::FileDescriptor client) { return replacement_.TransferClient(std::move(client)); },
      [this, done] { replacement_.WhenTransfersSent(done); });
  FinishBy(kAnswerAll, done);
}

void Gateway::FinishBy(Millis time, const std::function<void()>& done) {
  stop_.expires_after(Span(time));
  stop_.async_wait([this, done](error_code) {
    std::vector<std::string> left;
    for (const auto& [id, active] : active_requests_) left.push_back(id);
    for (const std::string& id : left) Overdue(id);
    stop_.expires_after(Span(kFlush));
    stop_.async_wait([done](error_code) { done(); });
  });
}

}  // namespace gateway::proxy
