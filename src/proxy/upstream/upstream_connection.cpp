#include "proxy/upstream/upstream_connection.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>
#include <cerrno>
#include <utility>

#include "proxy/upstream/response_classification.hpp"

namespace gateway::proxy {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using policy::AttemptResult;
using tcp = asio::ip::tcp;

// The longest time for which a streamed response waits for the endpoint to send, or for the client to read.
constexpr Millis kStreamTimeoutMs = 30000;
// The longest time for which a response is held back to wait for its end. The client may be waiting for the
// first bytes.
constexpr Millis kMaxHoldMs = 50;
// The time within which an endpoint must read a part of a streamed request.
constexpr Millis kEndpointReadTimeoutMs = 5000;
// A timer event that occurs more than this time before timer_due_ belongs to a previous wait, which
// SetTimer has replaced.
constexpr Millis kTimerToleranceMs = 1;

}  // namespace

UpstreamConnection::UpstreamConnection(UpstreamConnectionContext& context, std::string endpoint,
                                       const tcp::endpoint& address)
    : context_(context),
      endpoint_(std::move(endpoint)),
      address_(address),
      socket_(context.io),
      timer_(context.io),
      writer_(socket_, *this),
      reader_(context.io, socket_, context.buffer_budget, *this) {}

// --- Opening and closing

bool UpstreamConnection::Open() {
  error_code error;
  socket_.open(address_.protocol(), error);
  if (error) return false;
  socket_.set_option(tcp::no_delay(true), error);
  ++context_.open_connections;
  open_ = true;
  return true;
}

void UpstreamConnection::Connect(AttemptId id, UpstreamRequest request) {
  StartAttempt(id, std::move(request));
  connecting_ = true;
  SetTimer(std::min(attempt_->request.deadline, Now() + context_.connect_timeout_ms));
  socket_.async_connect(address_, [self = shared_from_this()](error_code error) {
    if (self->open_) self->OnConnected(error);
  });
}

// Sends the request if it may still be sent. While the connection was being established, the endpoint may
// have begun to drain, its address may have changed, or the client may have disconnected.
void UpstreamConnection::OnConnected(error_code error) {
  connecting_ = false;
  if (error) return EndAttempt(AttemptResult::kConnectFailed);
  // The callback is moved out of the attempt, because it may end the attempt.
  const auto may_send = std::move(attempt_->request.may_send);
  if (!context_.owner.MayUse(endpoint_, address_) || (may_send && !may_send())) {
    return EndAttempt(AttemptResult::kNotSent);
  }
  SetTimer(attempt_->request.deadline);
  reader_.ReadHead();
  SendRequest();
}

void UpstreamConnection::Close() {
  if (!std::exchange(open_, false)) return;
  --context_.open_connections;
  error_code ignored;
  socket_.close(ignored);
  timer_.cancel();
}

void UpstreamConnection::CloseIdle() {
  context_.owner.OnIdleClosed(*this);
  Close();
}

// The pending read may have detected a close, but the event loop may not have delivered its completion yet.
// For this reason, this function peeks at the socket.
bool UpstreamConnection::IsUsable() {
  if (!open_) return false;
  char byte = 0;
  const auto received = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

// --- Attempts

void UpstreamConnection::StartAttempt(AttemptId id, UpstreamRequest request) {
  attempt_ = Attempt{id, std::move(request)};
  request_sent_ = false;
  broken_before_sent_ = false;
  ++attempt_count_;
  attempt_started_at_ = Now();
  context_.owner.OnAttemptStarted(id, shared_from_this());
}

void UpstreamConnection::ReportAttemptEnd(AttemptResult result, HttpResponse response) {
  if (!attempt_) return;
  const Attempt attempt = *std::exchange(attempt_, std::nullopt);
  context_.owner.OnAttemptEnded(attempt.id);
  writer_.Stop();
  reader_.Stop();
  reader_.FailPendingPiece();
  attempt.request.on_end(result, std::move(response));
}

void UpstreamConnection::EndAttempt(AttemptResult result) {
  if (attempt_ && reader_.reading_body() && result != AttemptResult::kReset) LogAbandonedResponse(result);
  Close();
  ReportAttemptEnd(result, {});
}

void UpstreamConnection::CancelAttempt() {
  const bool may_be_complete = !connecting_ && writer_.last_part_started();
  EndAttempt(may_be_complete ? AttemptResult::kCancelled : AttemptResult::kNotSent);
}

void UpstreamConnection::LogAbandonedResponse(AttemptResult result) {
  const char* reason = "its head decides the attempt";
  if (result == AttemptResult::kTimedOut) reason = "no further bytes in time";
  if (result == AttemptResult::kCancelled) reason = "the client needs it no more";
  context_.error_log.LogAbandonedResponse({.endpoint = endpoint_,
                                           .request_id = attempt_->request.request_id,
                                           .class_name = attempt_->request.class_name,
                                           .reason = reason,
                                           .body_bytes = static_cast<std::size_t>(reader_.received_bytes()),
                                           .attempt_ms = Now() - attempt_started_at_});
}

void UpstreamConnection::SetDeadline(Millis deadline) {
  attempt_->request.deadline = deadline;
  if (!reader_.streaming()) SetTimer(deadline);
}

void UpstreamConnection::SetTimer(Millis due) {
  timer_due_ = due;
  timer_.expires_after(TimerDuration(due - Now()));
  timer_.async_wait([self = shared_from_this()](error_code error) {
    if (!error && self->open_) self->OnTimer();
  });
}

void UpstreamConnection::OnTimer() {
  if (Now() < timer_due_ - kTimerToleranceMs) return;
  if (!attempt_) return CloseIdle();
  reader_.buffering() && reader_.has_bounded_hold() ? OnBufferLimitReached() : TimeOut();
}

void UpstreamConnection::TimeOut() {
  EndAttempt(request_sent_ ? AttemptResult::kTimedOut : AttemptResult::kConnectFailed);
}

// --- Sending the request

void UpstreamConnection::Send(AttemptId id, UpstreamRequest request) {
  StartAttempt(id, std::move(request));
  SetTimer(attempt_->request.deadline);
  SendRequest();
}

void UpstreamConnection::SendRequest() {
  const UpstreamRequest& request = attempt_->request;
  if (request.remaining_body) {
    writer_.WriteStreamed(request.request, request.remaining_body, request.reported_deadline);
  } else {
    writer_.Write(request.request, request.deadline);
  }
}

void UpstreamConnection::OnWaitForEndpoint() {
  SetTimer(std::min(attempt_->request.deadline, Now() + kEndpointReadTimeoutMs));
}

// Only the deadline applies, because ClientConnection enforces the timeouts for the client's body.
void UpstreamConnection::OnWaitForBody() { SetTimer(attempt_->request.deadline); }

void UpstreamConnection::OnBufferedPartSent() {
  attempt_->request.request.reset();
  if (attempt_->request.on_buffered_part_sent) attempt_->request.on_buffered_part_sent();
}

void UpstreamConnection::OnBodyFailed() { CancelAttempt(); }

void UpstreamConnection::OnRequestSent(error_code error) {
  // The endpoint lacks the last byte, so it cannot have executed the request.
  if (error) return EndAttempt(AttemptResult::kConnectFailed);
  request_sent_ = true;
  if (attempt_->request.remaining_body) SetTimer(attempt_->request.deadline);
  if (attempt_->request.on_request_sent) attempt_->request.on_request_sent();
  if (broken_before_sent_) OnResponseBroken(asio::error::connection_reset);
}

// --- Receiving the response

void UpstreamConnection::OnResponseHead(error_code error) {
  if (!open_) return;
  if (!attempt_) return CloseIdle();
  if (!error && reader_.is_interim()) return reader_.ReadHead();
  if (!request_sent_) return OnEarlyResponse(error);
  if (!error && reader_.exceeds_body_limit()) error = http::error::body_limit;
  if (error) return OnResponseBroken(error);
  if (reader_.has_bounded_hold()) SetTimer(std::min(attempt_->request.deadline, Now() + kMaxHoldMs));
  reader_.ReadBody();
}

// Called if the endpoint responds, or closes the connection, before the complete request was sent. If the
// last part of the request is being sent, the result of this write shows whether the endpoint may have
// executed the request.
void UpstreamConnection::OnEarlyResponse(error_code error) {
  if (writer_.last_part_started()) {
    broken_before_sent_ = true;
    return;
  }
  if (error) return EndAttempt(AttemptResult::kConnectFailed);
  const AttemptResult result = ClassifyResponse(reader_.head());
  // The endpoint did not receive the complete request, so status 200 cannot be valid.
  EndAttempt(result == AttemptResult::kServed ? AttemptResult::kError : result);
}

void UpstreamConnection::OnResponseBuffered() {
  HttpResponse response = reader_.ReleaseResponse();
  // Makes the connection available before the result is reported, because the report may start another
  // attempt.
  ReuseOrClose();
  const AttemptResult result = ClassifyResponse(response);
  if (result == AttemptResult::kError) context_.error_log.LogErrorResponse(endpoint_, response.result_int());
  ReportAttemptEnd(result, std::move(response));
}

// Called when the response is too long to be buffered, or was held back for the longest time. Streams the
// response if the attempt was successful. For a failed attempt, the head of the response is enough.
void UpstreamConnection::OnBufferLimitReached() {
  const AttemptResult result = ClassifyResponse(reader_.response());
  result == AttemptResult::kServed ? StartStreaming() : EndAttempt(result);
}

void UpstreamConnection::StartStreaming() {
  reader_.StartStreaming();
  SetTimer(Now() + kStreamTimeoutMs);
  const auto on_response_streaming = std::move(attempt_->request.on_response_streaming);
  // The callback is moved out of the attempt, because it may end the attempt.
  on_response_streaming(reader_.ReleaseResponse(), shared_from_this());
}

void UpstreamConnection::ReadNext(PieceHandler handler) {
  if (!attempt_ || !reader_.streaming()) return reader_.FailPiece(std::move(handler));
  SetTimer(Now() + kStreamTimeoutMs);
  reader_.ReadNextPiece(std::move(handler));
}

void UpstreamConnection::Cancel() {
  if (attempt_ && reader_.streaming()) EndAttempt(AttemptResult::kCancelled);
}

void UpstreamConnection::OnPieceStreamed() { SetTimer(Now() + kStreamTimeoutMs); }

void UpstreamConnection::OnResponseStreamed() {
  ReuseOrClose();
  ReportAttemptEnd(AttemptResult::kServed, {});
}

void UpstreamConnection::OnResponseBroken(error_code error) {
  const bool reused = attempt_count_ > 1;
  ++(reused ? context_.counts.resets_reused : context_.counts.resets_new);
  context_.error_log.LogReset({.endpoint = endpoint_,
                               .error = error,
                               .class_name = attempt_->request.class_name,
                               .request_body_bytes = writer_.body_bytes(),
                               .request_number = attempt_count_,
                               .idle_ms = reused ? attempt_started_at_ - idle_since_ : 0,
                               .attempt_ms = Now() - attempt_started_at_});
  EndAttempt(AttemptResult::kReset);
}

void UpstreamConnection::ReuseOrClose() {
  const bool reusable = reader_.AllowsReuse() && context_.owner.MayUse(endpoint_, address_);
  reusable ? BecomeIdle() : Close();
}

void UpstreamConnection::BecomeIdle() {
  idle_since_ = Now();
  reader_.ReleaseMemory();
  reader_.ReadHead();
  SetTimer(Now() + context_.idle_timeout_ms);
  context_.owner.OnIdle(shared_from_this());
}

}  // namespace gateway::proxy
