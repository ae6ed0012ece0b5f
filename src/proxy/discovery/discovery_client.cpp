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

// A silent watch shows only by a call without a response in time, and a change counts as received 6 s after
// discovery had it. So a call is given up after 3.5 s, and the policy begins the next one by 4.5 s.
constexpr Millis kResponseTimeout = 3500;
constexpr Millis kConnectTimeout = 1000;
constexpr Millis kMaxWait = 2500;       // of a long poll on an open connection
constexpr Millis kMaxFirstWait = 1000;  // on a new connection, which has to be opened in the same time
// Part of a wait that is random, so that watches that fell silent together do not come back together.
constexpr double kWaitJitter = 0.2;
// From the start of one call to that of the next: a service that answers at once, as an agent with pushed
// lists does, is not called in a tight loop. A watch lapses after 200 ms without a call.
constexpr Millis kMinCallInterval = 100;
constexpr Millis kMaxFailoverDelay = 200;
constexpr Millis kFormerCallTimeout = 1500;  // discovery closes the connections at its old address by then
constexpr Millis kProbeTimeout = 1000;
constexpr double kProbeJitter = 0.25;  // part of the probe interval, to either side

}  // namespace

DiscoveryClient::DiscoveryClient(boost::asio::io_context& io, Options options, Observer& observer)
    : io_(io),
      options_(std::move(options)),
      observer_(observer),
      position_(options_.position),
      position_is_current_(options_.position_is_current),
      failover_(options_.services.size(), options_.return_after),
      random_(static_cast<std::minstd_rand::result_type>(options_.seed)),
      next_call_(io),
      next_probe_(io),
      switch_timer_(io) {
  if (options_.services.size() > 1) ScheduleProbe();
}

DiscoveryClient::~DiscoveryClient() {
  DropCall();
  DropFormerCall();
  if (probe_) probe_->Abandon();
}

void DiscoveryClient::Watch() {
  if (std::exchange(watching_, true)) return;
  StartCall();
}

void DiscoveryClient::ChangeAddress(const tcp::endpoint& address) {
  KeepFormerCall();
  next_call_.cancel();
  options_.services.front() = address;
  failover_.StartOver();
  position_is_current_ = false;
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
  ListCall::Observer& observer = *this;  // a private base, which make_shared can't see
  return std::make_shared<ListCall>(io_, options, std::move(connection), observer);
}

void DiscoveryClient::StartCall() {
  const Millis max_wait = connection_ ? kMaxWait : kMaxFirstWait;
  ListCall::Options options;
  options.service = options_.services[failover_.current()];
  options.target = FormatListTarget(position_, max_wait * (1 - kWaitJitter * Uniform(0, 1)));
  options.connect_timeout = kConnectTimeout;
  options.response_timeout = kResponseTimeout;
  call_ = MakeCall(options, std::move(connection_));
  call_->Start();
}

void DiscoveryClient::StartCallAfter(Millis delay) {
  next_call_.expires_after(Span(delay));
  next_call_.async_wait([this](error_code ec) {
    if (!ec && !call_) StartCall();
  });
}

void DiscoveryClient::WatchCallEnded(ListCall::Result result) {
  result = Validate(std::move(result), position_is_current_);
  if (const auto* const error = std::get_if<ListError>(&result)) return WatchCallFailed(*error);
  DropFormerCall();  // the list from the new address is the later one
  position_is_current_ = true;
  failover_.RecordSuccess();
  const std::shared_ptr<ListCall> call = std::exchange(call_, nullptr);
  connection_ = call->TakeConnection();
  AcceptList(*call, std::get<EndpointList>(std::move(result)));
  StartCallAfter(kMinCallInterval - (Now() - call->started_at()));
}

// Each service is tried once, after a short random delay, so that gateways do not all move in the same
// moment. Once all have failed the observer decides when to watch again.
void DiscoveryClient::WatchCallFailed(const ListError& error) {
  const Millis started_at = call_->started_at();
  log_.LogFailure(error, Now() - started_at);
  DropCall();
  if (!failover_.RecordFailure(Now())) return StartCallAfter(Uniform(0, kMaxFailoverDelay));
  watching_ = false;
  observer_.OnWatchFailed(Now() - started_at);
}

ListCall::Result DiscoveryClient::Validate(ListCall::Result result, bool same_service) {
  const auto* const list = std::get_if<EndpointList>(&result);
  if (list == nullptr) return result;
  if (std::optional<ListError> error = CheckSuccession(*list, position_, same_service)) {
    return *std::move(error);
  }
  std::string reason = observer_.RejectionReason(*list);
  if (!reason.empty()) return ListError{ListError::Kind::kRejected, std::move(reason)};
  return result;
}

void DiscoveryClient::AcceptList(const ListCall& call, EndpointList list) {
  log_.LogList(list, Now() - call.started_at());
  last_list_at_ = Now();
  position_ = {list.revision, list.epoch};
  observer_.OnEndpointList(std::move(list));
}

void DiscoveryClient::DropCall() {
  if (call_) call_->Abandon();
  call_.reset();
  connection_.reset();
}

// A list that discovery has written is in force, whether or not it was read when the address changed.
void DiscoveryClient::KeepFormerCall() {
  DropFormerCall();
  if (!call_ || !call_->connected()) return DropCall();  // nothing was requested, so nothing can arrive
  former_call_ = std::exchange(call_, nullptr);
  former_position_is_current_ = position_is_current_;
  former_call_->SetTimeout(kFormerCallTimeout);
}

void DiscoveryClient::FormerCallEnded(ListCall::Result result) {
  result = Validate(std::move(result), former_position_is_current_);
  const std::shared_ptr<ListCall> call = former_call_;
  DropFormerCall();
  auto* const list = std::get_if<EndpointList>(&result);
  if (list != nullptr) AcceptList(*call, std::move(*list));
}

void DiscoveryClient::DropFormerCall() {
  if (former_call_) former_call_->Abandon();
  former_call_.reset();
}

void DiscoveryClient::ScheduleProbe() {
  next_probe_.expires_after(Span(options_.probe_interval * Uniform(1 - kProbeJitter, 1 + kProbeJitter)));
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
  options.connect_timeout = kProbeTimeout;
  options.response_timeout = kProbeTimeout;
  probe_ = MakeCall(options, nullptr);
  probe_->Start();
}

void DiscoveryClient::ProbeEnded(const ListCall::Result& result) {
  probe_.reset();
  const auto* const list = std::get_if<EndpointList>(&result);
  if (list == nullptr) return;
  switch (failover_.EvaluateProbe(probed_service_, *list, position_, Now())) {
    case ProbeDecision::kStay: return;
    case ProbeDecision::kReturnToFirst: return SwitchTo(0, "it answers again");
    case ProbeDecision::kSwitchUnlessCaughtUp: return ScheduleSwitch(probed_service_, list->revision);
  }
}

void DiscoveryClient::ScheduleSwitch(std::size_t service, std::int64_t revision) {
  if (std::exchange(switch_scheduled_, true)) return;
  switch_timer_.expires_after(Span(options_.catch_up_within));
  switch_timer_.async_wait([this, service, revision](error_code ec) {
    if (ec) return;
    switch_scheduled_ = false;
    const bool caught_up = position_.revision >= revision;
    if (caught_up || service == failover_.current()) return;
    SwitchTo(service, "it has news that this one does not get");
  });
}

void DiscoveryClient::SwitchTo(std::size_t service, const std::string& reason) {
  base::Log(base::Level::kInfo, "discovery", "switched",
            "discovery: to service " + std::to_string(service) + " of " +
                std::to_string(options_.services.size()) + ": " + reason);
  failover_.SwitchTo(service, Now());
  DropCall();
  next_call_.cancel();
  watching_ = true;
  StartCall();
}

double DiscoveryClient::Uniform(double low, double high) {
  return std::uniform_real_distribution<double>(low, high)(random_);
}

}  // namespace gateway::proxy
