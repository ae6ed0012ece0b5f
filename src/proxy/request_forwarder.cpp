#include "proxy/request_forwarder.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "proxy/load_report.hpp"
#include "proxy/retry_after.hpp"

namespace gateway::proxy {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr unsigned kHttpVersion = 11;  // HTTP/1.1
// The policy must respond this long before the client's timeout, because responses take time to arrive and
// timers may fire late.
constexpr Millis kResponseMarginMs = 10;
// If a request has no response yet, the forwarder responds with 504 this long before the client's timeout.
constexpr Millis kTimeoutMarginMs = 4;
// The share of the connections to endpoints that incomplete requests may use.
constexpr double kMaxIncompleteShare = 0.75;
constexpr Millis kMaxUploadMs = 1200000;  // longer than the largest body takes at kMinBodyBytesPerMs

}  // namespace

RequestForwarder::RequestForwarder(asio::io_context& io, const policy::Settings& settings,
                                   PolicyDriver& driver, UpstreamPool& upstream, Metrics& metrics,
                                   std::size_t max_remembered_ids, std::shared_ptr<BufferBudget> budget,
                                   ClaimSharing sharing)
    : io_(io),
      settings_(settings),
      driver_(driver),
      upstream_(upstream),
      metrics_(metrics),
      executed_(max_remembered_ids),
      executed_charge_(std::move(budget)),
      sharing_(std::move(sharing)) {}

void RequestForwarder::OnRequest(ClientRequest request) {
  std::optional<policy::RequestDigest> claimed_id;
  if (request.idempotency != policy::Idempotency::kIdempotent) claimed_id = policy::DigestOf(request.id);
  if (IsRepeat(request.id, claimed_id)) {
    ++repeats_;
    HttpResponse response(http::status::conflict, kHttpVersion);
    response.body() = "Req-Id is in use\n";
    return request.responder.Respond(std::move(response), nullptr);
  }
  if (request.remaining_body && !HasRoomForIncomplete()) {
    ++incomplete_refusals_;
    return request.responder.Respond(MakeRefusal(), nullptr);
  }
  if (claimed_id) sharing_.claim(*claimed_id);
  const ActiveRequest& active = AddRequest(request, claimed_id);
  driver_.Report(policy::Request{request.id, request.class_name, request.tenant, request.affinity_key,
                                 active.respond_by - Now(), active.complete});
  if (ActiveRequest* const remaining = FindRequest(request.id)) remaining->handling_arrival = false;
}

// Incomplete requests last as long as their clients like, and each uses a connection.
bool RequestForwarder::HasRoomForIncomplete() const {
  const auto max_incomplete = kMaxIncompleteShare * static_cast<double>(upstream_.connection_limit());
  return static_cast<double>(incomplete_requests_ + 1) <= std::max(1.0, max_incomplete);
}

// The outcomes of two active requests with the same ID cannot be distinguished.
bool RequestForwarder::IsRepeat(const std::string& id,
                                const std::optional<policy::RequestDigest>& claimed_id) {
  if (requests_.contains(id)) return true;
  if (!claimed_id) return false;
  sharing_.receive();
  return executed_.Contains(*claimed_id);
}

void RequestForwarder::Remember(const policy::RequestDigest& id) {
  executed_.Remember(id, Now());
  UpdateExecutedCharge();
}

void RequestForwarder::UpdateExecutedCharge() {
  executed_charge_.Set(executed_.size() * policy::RepeatDetection::kBytesPerId);
}

// Remembers the ID of a request that has ended, unless no endpoint can have executed the request.
void RequestForwarder::EndClaim(const ActiveRequest& active) {
  if (!active.claimed_id) return;
  if (std::ranges::any_of(active.attempts, &Attempt::may_have_executed)) {
    Remember(*active.claimed_id);
  } else {
    sharing_.release(*active.claimed_id);
  }
}

std::vector<policy::RequestDigest> RequestForwarder::ClaimedIds() const {
  std::vector<policy::RequestDigest> ids = executed_.Ids();
  for (const auto& [id, active] : requests_) {
    if (active.claimed_id) ids.push_back(*active.claimed_id);
  }
  return ids;
}

void RequestForwarder::AddRemoteClaims(const std::vector<policy::RequestDigest>& ids) {
  for (const policy::RequestDigest& id : ids) Remember(id);
}

void RequestForwarder::RemoveRemoteClaims(const std::vector<policy::RequestDigest>& ids) {
  for (const policy::RequestDigest& id : ids) executed_.Forget(id);
  UpdateExecutedCharge();
}

RequestForwarder::ActiveRequest& RequestForwarder::AddRequest(
    ClientRequest& request, const std::optional<policy::RequestDigest>& claimed_id) {
  ActiveRequest& active = requests_.try_emplace(request.id, io_).first->second;
  active.message = std::make_shared<const ForwardedRequest>(std::move(request.message));
  active.responder = request.responder;
  active.remaining_body = std::move(request.remaining_body);
  active.complete = active.remaining_body == nullptr;
  incomplete_requests_ += !active.complete;
  active.time_allowed = request.time_allowed;
  active.class_name = request.class_name;
  active.claimed_id = claimed_id;
  active.received_at = request.received_at;
  const Millis client_timeout_at = request.received_at + request.time_allowed;
  SetDeadline(request.id, active, client_timeout_at);
  return active;
}

// The client of an incomplete request may have sent all of it, because the gateway does not read while the
// endpoint does not read. Its deadline applies for this reason, until more of the body is known to be
// missing.
void RequestForwarder::SetDeadline(const std::string& id, ActiveRequest& active, Millis client_timeout_at) {
  active.respond_by = client_timeout_at - kResponseMarginMs;
  active.timeout_timer.expires_after(TimerDuration(client_timeout_at - kTimeoutMarginMs - Now()));
  active.timeout_timer.async_wait([this, id](boost::system::error_code ec) {
    if (!ec) OnDeadline(id);
  });
}

void RequestForwarder::OnDeadline(const std::string& id) {
  ActiveRequest* const active = FindRequest(id);
  if (active == nullptr || active->complete) return TimeOut(id);
  const Millis client_timeout_at = active->responder.EarliestCompletion() + active->time_allowed;
  if (client_timeout_at - kResponseMarginMs <= Now()) return TimeOut(id);
  SetDeadline(id, *active, client_timeout_at);
}

// The deadline of the request and the timeouts of its attempts count from `completed_at`, because an endpoint
// cannot execute an incomplete request. The latency of an attempt counts from now: before that, the endpoint
// did not have the request.
void RequestForwarder::OnRequestComplete(const std::string& id, Millis completed_at) {
  ActiveRequest* const active = FindRequest(id);
  if (active == nullptr || active->complete) return;
  const Millis client_timeout_at = completed_at + active->time_allowed;
  // An endpoint must not execute a request whose response can't arrive in time.
  if (client_timeout_at - kResponseMarginMs <= Now()) return TimeOut(id);
  active->complete = true;
  --incomplete_requests_;
  SetDeadline(id, *active, client_timeout_at);
  for (Attempt& attempt : active->attempts) {
    if (!attempt.in_flight) continue;
    attempt.sent_at = Now();
    upstream_.SetDeadline(attempt.id, std::min(completed_at + attempt.timeout, active->respond_by));
  }
  driver_.Report(policy::RequestComplete{id, active->respond_by - Now()});
}

void RequestForwarder::OnAttemptEnded(const std::string& id, std::size_t index, policy::AttemptResult result,
                                      HttpResponse response) {
  ActiveRequest* const active = FindRequest(id);
  if (active == nullptr) return;
  Attempt& attempt = active->attempts[index];
  attempt.in_flight = false;
  attempt.may_have_executed = policy::MayHaveExecuted(result);
  const auto load_report = response[kLoadReportField];
  policy::AttemptOutcome outcome;
  outcome.request = id;
  outcome.attempt = static_cast<int>(index);
  outcome.endpoint = attempt.endpoint;
  outcome.result = result;
  outcome.latency = active->complete ? Now() - attempt.sent_at : 0;
  outcome.load = ParseLoadReport({load_report.data(), load_report.size()}, settings_.load_report_fields);
  outcome.request_buffered = !active->remaining_body || !active->remaining_body->started();
  if (result == policy::AttemptResult::kServed) {
    metrics_.RecordDuration(active->class_name, Metrics::Interval::kUpstream, outcome.latency);
    if (!active->responded) {
      response.erase(kLoadReportField);
      Respond(*active, std::move(response));
    }
  }
  driver_.Report(std::move(outcome));
}

void RequestForwarder::OnResponseStarted(const std::string& id, std::size_t attempt, HttpResponse response,
                                         std::shared_ptr<BodySource> remaining_body) {
  ActiveRequest* const active = FindRequest(id);
  if (active == nullptr || active->responded) {
    asio::post(io_, [remaining_body] { remaining_body->Cancel(); });
    return;
  }
  response.erase(kLoadReportField);
  Respond(*active, std::move(response), std::move(remaining_body));
  driver_.Report(policy::ResponseStarted{id, static_cast<int>(attempt)});
}

void RequestForwarder::OnClientDisconnected(const std::string& id) {
  ActiveRequest* const active = FindRequest(id);
  if (active == nullptr || active->responded) return;
  ++disconnected_;
  active->responded = true;
  active->timeout_timer.cancel();
  driver_.Report(policy::ClientDisconnected{id});
  const ActiveRequest* const remaining = FindRequest(id);
  if (remaining == nullptr) return;
  for (const AttemptId attempt : InFlight(*remaining)) upstream_.CancelUnsent(attempt);
}

// Returns a copy, because the request may be erased while its attempts are ended.
std::vector<AttemptId> RequestForwarder::InFlight(const ActiveRequest& active) {
  std::vector<AttemptId> attempts;
  for (const Attempt& attempt : active.attempts) {
    if (attempt.in_flight) attempts.push_back(attempt.id);
  }
  return attempts;
}

bool RequestForwarder::IsAwaited(const std::string& id) {
  const ActiveRequest* const active = FindRequest(id);
  if (active == nullptr || active->responded) return false;
  if (!active->responder.ClientDisconnected()) return true;
  OnClientDisconnected(id);
  return false;
}

// Responds to a request that has no response. For a complete request, the policy normally responds before
// this timeout; the timeout applies if the policy's timers fire late. For an incomplete request, the policy
// responds when the attempts end.
void RequestForwarder::TimeOut(const std::string& id) {
  EndIncompleteAttempts(id);
  ActiveRequest* const active = FindRequest(id);
  if (active == nullptr || active->responded) return;
  Respond(*active, MakeTimeoutResponse(*active));
  driver_.Report(policy::ClientDisconnected{id});
}

// Ends the attempts of an incomplete request, which the endpoints can't have executed.
void RequestForwarder::EndIncompleteAttempts(const std::string& id) {
  const ActiveRequest* const active = FindRequest(id);
  if (active == nullptr || active->complete || active->responded) return;
  for (const AttemptId attempt : InFlight(*active)) upstream_.TimeOut(attempt);
}

HttpResponse RequestForwarder::MakeTimeoutResponse(const ActiveRequest& active) const {
  return active.complete ? HttpResponse(http::status::gateway_timeout, kHttpVersion) : MakeRefusal();
}

HttpResponse RequestForwarder::MakeRefusal() const {
  HttpResponse response(http::status::service_unavailable, kHttpVersion);
  if (settings_.send_retry_after) {
    response.set(http::field::retry_after, FormatSeconds(RefusalRetryAfterMs(settings_)));
  }
  return response;
}

void RequestForwarder::TimeOutAll() {
  std::vector<std::string> ids;
  for (const auto& [id, active] : requests_) ids.push_back(id);
  for (const std::string& id : ids) TimeOut(id);
}

void RequestForwarder::Execute(const policy::Send& send) {
  const bool awaited = IsAwaited(send.request);
  ActiveRequest* const active = FindRequest(send.request);
  if (!awaited) return ReportNotSent(send, active);
  const bool attempts_left = static_cast<int>(active->attempts.size()) < settings_.max_attempts;
  const bool buffered = !active->remaining_body || !active->remaining_body->started();
  if (!attempts_left || !buffered) return ReportNotSent(send, active);
  const Millis now = Now();
  const std::size_t index = active->attempts.size();
  if (index == 0) RecordFirstDecision(*active, now, true);
  const Millis timeout = send.timeout > 0 ? send.timeout : kMaxUploadMs;
  active->attempts.push_back({send.endpoint, now, timeout});
  const AttemptId attempt_id =
      upstream_.Start(send.endpoint, MakeUpstreamRequest(send, *active, index, now, timeout));
  active->attempts[index].id = attempt_id;
}

// Reports to the policy that the attempt was not sent, because the request has ended since the policy's
// decision or must not be sent again.
void RequestForwarder::ReportNotSent(const policy::Send& send, ActiveRequest* active) {
  policy::AttemptOutcome outcome;
  outcome.request = send.request;
  outcome.endpoint = send.endpoint;
  outcome.result = policy::AttemptResult::kNotSent;
  if (active != nullptr) {
    outcome.attempt = static_cast<int>(active->attempts.size());
    active->attempts.push_back(
        {send.endpoint, Now(), 0, 0, /*in_flight=*/false, /*may_have_executed=*/false});
  }
  driver_.Report(std::move(outcome));
}

UpstreamRequest RequestForwarder::MakeUpstreamRequest(const policy::Send& send, const ActiveRequest& active,
                                                      std::size_t index, Millis now, Millis timeout) {
  UpstreamRequest request;
  request.request_id = send.request;
  request.class_name = active.class_name;
  request.request = active.message;
  if (!active.complete) request.remaining_body = active.remaining_body;
  request.reported_deadline = std::min(now + timeout, active.respond_by);
  request.deadline = active.complete ? request.reported_deadline : now + kMaxUploadMs;
  request.may_send = [this, id = send.request, send_by = now + send.start_writing_within] {
    return Now() <= send_by && IsAwaited(id);
  };
  request.on_end = [this, id = send.request, index](policy::AttemptResult result, HttpResponse response) {
    OnAttemptEnded(id, index, result, std::move(response));
  };
  request.on_response_streaming = [this, id = send.request, index](
                                      HttpResponse response, std::shared_ptr<BodySource> remaining_body) {
    OnResponseStarted(id, index, std::move(response), std::move(remaining_body));
  };
  request.on_buffered_part_sent = [this, id = send.request] {
    if (ActiveRequest* const streaming = FindRequest(id)) streaming->message.reset();
  };
  request.on_request_sent = [this] { metrics_.RecordAttempt(); };
  return request;
}

void RequestForwarder::Execute(const policy::Reject& reject) {
  ActiveRequest* const active = FindRequest(reject.request);
  if (active == nullptr) return;
  if (active->attempts.empty()) RecordFirstDecision(*active, Now(), false);
  HttpResponse response(http::status::service_unavailable, kHttpVersion);
  response.set(http::field::retry_after, FormatSeconds(reject.retry_after));
  Respond(*active, std::move(response));
  EraseIfEnded(reject.request);
}

void RequestForwarder::Execute(const policy::Fail& fail) {
  ActiveRequest* const active = FindRequest(fail.request);
  if (active == nullptr) return;
  Respond(*active, HttpResponse(http::status::bad_gateway, kHttpVersion));
  EraseIfEnded(fail.request);
}

void RequestForwarder::Execute(const policy::Cancel& cancel) {
  ActiveRequest* const active = FindRequest(cancel.request);
  const auto attempt = static_cast<std::size_t>(cancel.attempt);
  if (active == nullptr || attempt >= active->attempts.size()) return;
  upstream_.Cancel(active->attempts[attempt].id);
}

bool RequestForwarder::IsFinished(const std::string& request) const {
  const auto found = requests_.find(request);
  return found == requests_.end() || found->second.responded;
}

void RequestForwarder::OnEventHandled(const std::string& request) { EraseIfEnded(request); }

RequestForwarder::ActiveRequest* RequestForwarder::FindRequest(const std::string& id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

void RequestForwarder::Respond(ActiveRequest& active, HttpResponse response,
                               std::shared_ptr<BodySource> remaining_body) {
  if (std::exchange(active.responded, true)) return;
  active.timeout_timer.cancel();
  metrics_.RecordDuration(active.class_name, Metrics::Interval::kTotal, Now() - active.received_at);
  active.responder.Respond(std::move(response), std::move(remaining_body));
}

void RequestForwarder::RecordFirstDecision(const ActiveRequest& active, Millis now, bool sent) {
  const Millis waited = now - active.received_at;
  if (sent) metrics_.RecordDuration(active.class_name, Metrics::Interval::kFirstAttempt, waited);
  if (!active.handling_arrival)
    metrics_.RecordDuration(active.class_name, Metrics::Interval::kQueued, waited);
}

void RequestForwarder::EraseIfEnded(const std::string& id) {
  const auto found = requests_.find(id);
  if (found == requests_.end() || !found->second.responded) return;
  if (std::ranges::any_of(found->second.attempts, &Attempt::in_flight)) return;
  EndClaim(found->second);
  incomplete_requests_ -= !found->second.complete;
  requests_.erase(found);
}

}  // namespace gateway::proxy
