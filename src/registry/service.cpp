#include "registry/service.hpp"

#include <utility>

#include "base/clock.hpp"

namespace gateway::registry {
namespace {

namespace http = boost::beast::http;
using base::Millis;
using base::MonotonicNow;
using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr Millis kTickInterval = 200;
constexpr int kListenBacklog = 4096;
constexpr unsigned kNotFound = 404;
constexpr unsigned kMethodNotAllowed = 405;
constexpr std::string_view kListPath = "/discovery/hosts";
constexpr std::string_view kMetricsPath = "/metrics";
constexpr const char* kMetricsType = "text/plain; version=0.0.4";
constexpr std::string_view kCallPrefix = "/registry/";
constexpr std::string_view kRenewPath = "/registry/renew";
constexpr std::string_view kStatusPath = "/registry/status";
constexpr std::string_view kMembersPath = "/registry/members";
constexpr std::string_view kHistoryPath = "/registry/history";

}  // namespace

Service::Service(boost::asio::io_context& io, storage::FileSystem& files, ServiceOptions options)
    : io_(io),
      options_(std::move(options)),
      durable_catalog_(io, files, options_, *this),
      lease_monitor_(durable_catalog_, options_.leases),
      admission_({options_.max_clients, options_.max_operators, options_.full_lists_per_second}),
      list_handler_(durable_catalog_.catalog(), admission_),
      call_handler_(durable_catalog_, lease_monitor_, options_.leases.default_duration),
      acceptor_(io),
      tick_timer_(io),
      start_time_(MonotonicNow()) {
  Listen();
  Accept();
  Tick();
}

Service::~Service() {
  for (const auto& session : std::exchange(sessions_, {})) session->Close();
}

// ---- Connections ----------------------------------------------------------------------------------

void Service::Listen() {
  acceptor_.open(options_.listen.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(options_.listen);
  acceptor_.listen(kListenBacklog);
}

void Service::Accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted) return;
    if (error) {  // out of file descriptors: retry after the next tick
      tick_timer_.async_wait([this](error_code) { Accept(); });
      return;
    }
    OnAccepted(std::move(socket));
    Accept();
  });
}

void Service::OnAccepted(tcp::socket socket) {
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  SessionHandler& handler = *this;  // make_shared cannot convert to a private base class
  const auto session = std::make_shared<Session>(io_, std::move(socket), handler);
  sessions_.insert(session);
  if (admission_.AdmitsConnections(sessions_.size())) return session->Start();
  admission_.CountRejected();
  Response response = ErrorResponse({ErrorCode::kOverloaded, "", "too many connections"});
  response.keep_alive = false;
  session->Respond(std::move(response));
}

void Service::RejectClient(const SessionPtr& session) {
  Response response = ErrorResponse({ErrorCode::kOverloaded, "", "too many client connections"});
  response.retry_after_s = admission_.RejectWithRetryAfter();
  response.keep_alive = false;
  session->Respond(std::move(response));
}

void Service::OnTraffic(std::size_t received, std::size_t sent) {
  totals_.all.bytes_received += received;
  totals_.all.bytes_sent += sent;
}

void Service::OnClosed(const SessionPtr& session, CloseReason reason) {
  if (reason == CloseReason::kSlowReader) ++totals_.slow_readers_closed;
  admission_.Release(*session);
  list_handler_.OnSessionClosed(session);
  sessions_.erase(session);
}

// ---- Requests -------------------------------------------------------------------------------------

void Service::OnRequest(const SessionPtr& session) {
  ++totals_.all.requests;
  const auto& request = session->request();
  const std::string_view target(request.target().data(), request.target().size());
  const std::string_view path = target.substr(0, target.find('?'));
  if (path == kListPath) session->CountRequestIn(totals_.list);
  const bool from_client = path == kListPath || path == kRenewPath;  // all other requests are from operators
  if (from_client && !admission_.AdmitClient(*session)) return RejectClient(session);
  if (path == kListPath) return RouteList(session, target);
  if (request.method() == http::verb::get && RouteReport(session, path, target)) return;
  RouteCall(session, path);
}

void Service::RouteList(const SessionPtr& session, std::string_view target) {
  if (session->request().method() == http::verb::get) return list_handler_.HandleList(session, target);
  session->Respond(ErrorResponse({ErrorCode::kBadRequest, "", "only GET is supported"}, kMethodNotAllowed));
}

// Responds with the report at this path. Returns false if there is no report at this path.
bool Service::RouteReport(const SessionPtr& session, std::string_view path, std::string_view target) {
  if (path == kMetricsPath) {
    session->Respond(TextResponse(MetricsReport(MakeView()), kMetricsType));
  } else if (path == kStatusPath) {
    session->Respond(TextResponse(StatusReport(MakeView())));
  } else if (path == kMembersPath) {
    list_handler_.HandleMembers(session);
  } else if (path == kHistoryPath) {
    list_handler_.HandleHistory(session, target);
  } else {
    return false;
  }
  return true;
}

void Service::RouteCall(const SessionPtr& session, std::string_view path) {
  const bool is_call = path.starts_with(kCallPrefix);
  if (is_call && session->request().method() == http::verb::post) {
    return call_handler_.Handle(session, path.substr(kCallPrefix.size()), session->request().body());
  }
  const unsigned status = is_call ? kMethodNotAllowed : kNotFound;
  session->Respond(ErrorResponse({ErrorCode::kUnknownCall, "", "no such call at this path"}, status));
}

ServiceView Service::MakeView() const {
  ServiceTotals totals = totals_;
  totals.renewals = call_handler_.renewals();
  totals.full_lists = list_handler_.full_lists();
  totals.encoded_bodies = list_handler_.encoded_bodies();
  totals.rejected = admission_.rejected();
  return {durable_catalog_, lease_monitor_.leases(), totals,     list_handler_.watches(),
          sessions_.size(), MonotonicNow(),          start_time_};
}

// ---- Changes of the catalog -----------------------------------------------------------------------

void Service::OnApplied(const Command& command, const CommandResult& result) {
  lease_monitor_.OnApplied(command, result);
}

void Service::OnRejected(const Command& command) { lease_monitor_.OnRejected(command); }

void Service::OnReopened(const std::vector<const Member*>& changed) { lease_monitor_.OnReopened(changed); }

void Service::OnNewRevision() { list_handler_.OnNewRevision(); }

// ---- Periodic work --------------------------------------------------------------------------------

void Service::Tick() {
  const Millis now = MonotonicNow();
  admission_.Refill(now);
  lease_monitor_.Tick(now);
  list_handler_.TrimCache();
  ScheduleTick();
}

void Service::ScheduleTick() {
  tick_timer_.expires_after(base::TimerDuration(kTickInterval));
  tick_timer_.async_wait([this](error_code error) {
    if (!error) Tick();
  });
}

}  // namespace gateway::registry
