#include "proxy/discovery/discovery_client.hpp"

#include <boost/system/error_code.hpp>
#include <optional>
#include <utility>
#include <variant>

#include "base/log.hpp"

namespace gateway::proxy {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

// Discovery assumes that every gateway has received a change 6 s after its publication. The gateway detects a
// broken watch only by a call that times out. So a call times out after 3.5 s, and the policy begins the next
// call within 4.5 s after the start of the failed call.
constexpr Millis kResponseTimeoutMs = 3500;
constexpr Millis kConnectTimeoutMs = 1000;
// How long the service may delay its response to a long poll on an open connection.
constexpr Millis kMaxWaitMs = 2500;
// How long the service may delay its response to the first long poll on a new connection. This time is
// shorter because opening the connection also takes time.
constexpr Millis kMaxFirstWaitMs = 1000;
// The maximum share by which a wait is shortened at random. If the watches of many gateways fail at the same
// time, the random wait spreads their later calls over time.
constexpr double kWaitJitterShare = 0.2;
// The minimum time between the starts of two calls. It prevents a tight loop if a service responds at once,
// as an agent with pushed lists does. It must be below 200 ms, because a watch ends after 200 ms without a
// call.
constexpr Millis kMinCallIntervalMs = 100;
constexpr Millis kMaxFailoverDelayMs = 200;
// The timeout of the call at the former address, measured from the change of the address. Discovery closes
// its connections at the former address within this time.
constexpr Millis kFormerCallTimeoutMs = 1500;
constexpr Millis kProbeTimeoutMs = 1000;
// The maximum random change of the probe interval, up or down, as a share of the interval.
constexpr double kProbeJitterShare = 0.25;

}  // namespace

DiscoveryClient::DiscoveryClient(boost::asio::io_context& io, Options options, Observer& observer)
    : io_(io),
      options_(std::move(options)),
      observer_(observer),
      position_(options_.position),
      position_is_current_(options_.position_is_current),
      failover_(options_.services.size(), options_.return_delay),
      random_(static_cast<std::minstd_rand::result_type>(options_.seed)),
      next_call_(io),
      next_probe_(io),
      switch_timer_(io) {
  if (options_.services.size() > 1) ScheduleProbe();
}

DiscoveryClient::~DiscoveryClient() {
  AbandonCall();
  AbandonFormerCall();
  if (probe_) probe_->Abandon();
}

void DiscoveryClient::Watch() {
  if (std::exchange(watching_, true)) return;
  StartCall();
}

void DiscoveryClient::MoveTo(std::vector<tcp::endpoint> services) {
  KeepCallAsFormerCall();
  position_is_current_ = false;
  ReplaceServices(std::move(services));
}

void DiscoveryClient::SwitchTo(std::vector<tcp::endpoint> services) {
  AbandonCall();
  ReplaceServices(std::move(services));
}

// Begins a watch at the first service. No call of the watch may be in progress.
void DiscoveryClient::ReplaceServices(std::vector<tcp::endpoint> services) {
  if (probe_) probe_->Abandon();
  probe_.reset();
  next_probe_.cancel();
  switch_timer_.cancel();
  switch_scheduled_ = false;
  next_call_.cancel();
  options_.services = std::move(services);
  failover_ = ServiceFailover(options_.services.size(), options_.return_delay);
  if (options_.services.size() > 1) ScheduleProbe();
  watching_ = true;
  StartCall();
}

void DiscoveryClient::OnListCallEnded(ListCall& call, ListCall::Result result) {
  if (&call == probe_.get()) return ProbeEnded(result);
  if (&call == former_call_.get()) return FormerCallEnded(std::move(result));
  WatchCallEnded(std::move(result));
}

std::shared_ptr<ListCall> DiscoveryClient::MakeCall(const ListCall::Options& options,
                                                    ListCall::Connection connection) {
  ListCall::Observer& observer = *this;  // make_shared can't convert to the private base
  return std::make_shared<ListCall>(io_, options, std::move(connection), observer);
}

void DiscoveryClient::StartCall() {
  const Millis max_wait = connection_ ? kMaxWaitMs : kMaxFirstWaitMs;
  ListCall::Options options;
  options.service = options_.services[failover_.current()];
  options.target = FormatListTarget(position_, max_wait * (1 - kWaitJitterShare * RandomBetween(0, 1)));
  options.connect_timeout = kConnectTimeoutMs;
  options.response_timeout = kResponseTimeoutMs;
  call_ = MakeCall(options, std::move(connection_));
  call_->Start();
}

void DiscoveryClient::StartCallAfter(Millis delay) {
  next_call_.expires_after(TimerDuration(delay));
  next_call_.async_wait([this](error_code ec) {
    if (!ec && !call_) StartCall();
  });
}

void DiscoveryClient::WatchCallEnded(ListCall::Result result) {
  result = Validate(std::move(result), position_is_current_);
  if (const auto* const error = std::get_if<ListError>(&result)) return WatchCallFailed(*error);
  AbandonFormerCall();  // a list from the new address supersedes a list from the former address
  position_is_current_ = true;
  failover_.RecordSuccess();
  const std::shared_ptr<ListCall> call = std::exchange(call_, nullptr);
  connection_ = call->TakeConnection();
  AcceptList(*call, std::get<EndpointList>(std::move(result)), ListOrigin::kWatchedService);
  StartCallAfter(kMinCallIntervalMs - (Now() - call->started_at()));
}

// Calls the next service, unless every service has failed in turn. A short random delay prevents all gateways
// of a fleet from switching to the next service at the same time. After every service has failed, the
// observer decides when to begin a new watch.
void DiscoveryClient::WatchCallFailed(const ListError& error) {
  const Millis started_at = call_->started_at();
  log_.LogFailure(error, Now() - started_at);
  AbandonCall();
  if (!failover_.RecordFailure(Now())) return StartCallAfter(RandomBetween(0, kMaxFailoverDelayMs));
  watching_ = false;
  observer_.OnWatchFailed(Now() - started_at);
}

ListCall::Result DiscoveryClient::Validate(ListCall::Result result, bool same_service) {
  const auto* const list = std::get_if<EndpointList>(&result);
  if (list == nullptr) return result;
  if (std::optional<ListError> error = CheckListFollows(*list, position_, same_service)) {
    return *std::move(error);
  }
  std::string reason = observer_.RejectionReason(*list);
  if (!reason.empty()) return ListError{ListError::Kind::kRejected, std::move(reason)};
  return result;
}

void DiscoveryClient::AcceptList(const ListCall& call, EndpointList list, ListOrigin origin) {
  log_.LogList(list, Now() - call.started_at());
  last_list_at_ = Now();
  position_ = {list.revision, list.epoch};
  observer_.OnEndpointList(std::move(list), origin);
}

void DiscoveryClient::AbandonCall() {
  if (call_) call_->Abandon();
  call_.reset();
  connection_.reset();
}

// Keeps the call at the former address open. Discovery assumes that the gateway receives each list that
// discovery has written, even if the gateway had not read the list before the address changed.
void DiscoveryClient::KeepCallAsFormerCall() {
  AbandonFormerCall();
  if (!call_ || !call_->connected()) return AbandonCall();  // no request was sent, so no list can arrive
  former_call_ = std::exchange(call_, nullptr);
  former_position_is_current_ = position_is_current_;
  former_call_->SetTimeout(kFormerCallTimeoutMs);
}

void DiscoveryClient::FormerCallEnded(ListCall::Result result) {
  result = Validate(std::move(result), former_position_is_current_);
  const std::shared_ptr<ListCall> call = former_call_;
  AbandonFormerCall();
  auto* const list = std::get_if<EndpointList>(&result);
  if (list != nullptr) AcceptList(*call, std::move(*list), ListOrigin::kFormerService);
}

void DiscoveryClient::AbandonFormerCall() {
  if (former_call_) former_call_->Abandon();
  former_call_.reset();
}

void DiscoveryClient::ScheduleProbe() {
  next_probe_.expires_after(
      TimerDuration(options_.probe_interval * RandomBetween(1 - kProbeJitterShare, 1 + kProbeJitterShare)));
  next_probe_.async_wait([this](error_code ec) {
    if (ec) return;
    if (!probe_) StartProbe();
    ScheduleProbe();
  });
}

void DiscoveryClient::StartProbe() {
  probed_service_ = failover_.NextProbe(Now());
  ListCall::Options options;
  options.service = options_.services[probed_service_];
  options.target = FormatListTarget(position_, /*max_wait=*/0);
  options.keep_alive = false;
  options.connect_timeout = kProbeTimeoutMs;
  options.response_timeout = kProbeTimeoutMs;
  probe_ = MakeCall(options, nullptr);
  probe_->Start();
}

void DiscoveryClient::ProbeEnded(const ListCall::Result& result) {
  probe_.reset();
  const auto* const list = std::get_if<EndpointList>(&result);
  if (list == nullptr) return;
  switch (failover_.EvaluateProbe(probed_service_, *list, position_, Now())) {
    case ProbeDecision::kStay: return;
    case ProbeDecision::kReturnToFirst: return SwitchToService(0, "it responds again");
    case ProbeDecision::kSwitchUnlessCaughtUp: return ScheduleSwitch(probed_service_, list->revision);
  }
}

void DiscoveryClient::ScheduleSwitch(std::size_t service, std::int64_t revision) {
  if (std::exchange(switch_scheduled_, true)) return;
  switch_timer_.expires_after(TimerDuration(options_.catch_up_timeout));
  switch_timer_.async_wait([this, service, revision](error_code ec) {
    if (ec) return;
    switch_scheduled_ = false;
    const bool caught_up = position_.revision >= revision;
    if (caught_up || service == failover_.current()) return;
    SwitchToService(service, "it has a newer revision, which the current service has not received");
  });
}

void DiscoveryClient::SwitchToService(std::size_t service, const std::string& reason) {
  base::Log(base::Level::kInfo, "discovery", "switched",
            "discovery: switched to service " + std::to_string(service) + " of " +
                std::to_string(options_.services.size()) + ": " + reason);
  failover_.SwitchTo(service, Now());
  AbandonCall();
  next_call_.cancel();
  watching_ = true;
  StartCall();
}

double DiscoveryClient::RandomBetween(double low, double high) {
  return std::uniform_real_distribution<double>(low, high)(random_);
}

}  // namespace gateway::proxy
