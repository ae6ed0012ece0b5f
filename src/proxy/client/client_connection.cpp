#include "proxy/client/client_connection.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/status.hpp>
#include <optional>
#include <utility>

#include "proxy/client/accept_queue.hpp"
#include "proxy/client/body_progress.hpp"

namespace gateway::proxy {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

// The time after which a connection that waits for its first request is closed.
constexpr Millis kFirstRequestTimeoutMs = 2000;
// The time after which a connection that waits for a further request is closed.
constexpr Millis kIdleTimeoutMs = 75000;

http::status StatusOfReadError(error_code error) {
  if (error == http::error::body_limit) return http::status::payload_too_large;
  if (error == http::error::header_limit) return http::status::request_header_fields_too_large;
  return http::status::bad_request;
}

RequestError DrainError() { return {http::status::service_unavailable, "this gateway drains"}; }

HttpResponse MakeErrorResponse(const RequestError& error, Millis retry_after_ms) {
  HttpResponse response(error.status, 11);
  if (retry_after_ms > 0) response.set(http::field::retry_after, FormatSeconds(retry_after_ms));
  response.set(http::field::content_type, "text/plain");
  if (error.status == http::status::method_not_allowed) response.set(http::field::allow, "GET, POST");
  response.body() = error.text + "\n";
  return response;
}

}  // namespace

ClientConnection::ClientConnection(ClientConnectionContext& context, tcp::socket socket, bool transferred)
    : context_(context),
      socket_(std::move(socket)),
      reader_(context.io, socket_, context.buffer_budget, *this),
      writer_(socket_, context.buffer_budget, *this),
      linger_(socket_, *this),
      request_number_(transferred ? 1 : 0) {}

// --- Lifecycle

void ClientConnection::Start(Millis accept_wait_ms) {
  error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  if (accept_wait_ms > 0 && socket_.available(ignored) > 0) accept_wait_ms_ = accept_wait_ms;
  AwaitRequest();
}

void ClientConnection::Shed() {
  shed_ = true;
  error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  RejectAndClose({http::status::service_unavailable, "too many connections"}, context_.shed_retry_after_ms);
}

// Sends the response without waiting: if the client does not read, it does not get the response. The socket
// has no unread data, so its close does not reset the connection.
void ClientConnection::RefuseStalled() {
  HttpResponse response = MakeErrorResponse({http::status::service_unavailable, "too many connections"},
                                            context_.shed_retry_after_ms);
  response.version(http_version_);
  response.keep_alive(false);
  response.prepare_payload();
  const std::string text = SerializeHead(response) + response.body();
  error_code ignored;
  socket_.non_blocking(true, ignored);
  socket_.write_some(asio::buffer(text), ignored);
  Close();
}

void ClientConnection::Close() {
  const Phase previous = std::exchange(phase_, Phase::kClosed);
  if (previous == Phase::kClosed) return;
  reader_.Stop();
  linger_.Stop();
  const bool response_interrupted = previous == Phase::kWriting && request_open_;
  EndRequest();
  if (response_interrupted)
    context_.callbacks.on_response_end(class_name_, writer_.status(), /*complete=*/false);
  error_code ignored;
  socket_.close(ignored);
  context_.owner.OnConnectionClosed(shared_from_this());
  reader_.ReleaseCharge();
  writer_.Stop();
  reader_.FailPendingPiece();
}

bool ClientConnection::Transfer() {
  if (!IsBetweenRequests()) return false;
  phase_ = Phase::kClosed;
  error_code error;
  base::FileDescriptor client(socket_.release(error));
  if (!error) context_.transfer(std::move(client));
  context_.owner.OnConnectionClosed(shared_from_this());
  return true;
}

void ClientConnection::EnterPhase(Phase phase) {
  phase_ = phase;
  phase_entered_at_ = Now();
  request_started_at_ = phase_entered_at_;
}

bool ClientConnection::IsIdle() const {
  error_code ignored;
  return IsBetweenRequests() && socket_.available(ignored) == 0;
}

bool ClientConnection::IsRequestStalled() const {
  error_code ignored;
  return phase_ == Phase::kReading && reading_request_ && socket_.available(ignored) == 0;
}

std::size_t ClientConnection::UnsentBytes() const {
  const bool reading = phase_ == Phase::kReading && reading_request_;
  const bool waiting = phase_ == Phase::kServing && reader_.in_body() && !reader_.streaming_started();
  return reading || waiting ? reader_.held_bytes() : 0;
}

void ClientConnection::RefuseUnsent() {
  CancelIncompleteRequest();
  RefuseForMemory();
}

void ClientConnection::RefuseIncomplete() {
  if (phase_ == Phase::kReading && reading_request_) RejectAndClose(DrainError());
}

bool ClientConnection::IsReclaimable() const {
  return phase_ == Phase::kReading || (phase_ == Phase::kLingering && !shed_);
}

bool ClientConnection::HasPendingWork(Millis now) const {
  switch (phase_) {
    case Phase::kReading: return !IsSettled(now);
    case Phase::kServing: return true;
    case Phase::kWriting: return now - writer_.progress_at() <= kStallTimeMs;
    case Phase::kLingering:
      return reader_.in_body() || writer_.HasUnacknowledgedBytes() || !linger_.IsQuiet(now);
    case Phase::kClosed: return false;
  }
  return false;
}

Millis ClientConnection::last_progress_at() const {
  return std::max(phase_entered_at_, reader_.last_progress_at());
}

// --- Reading a request

// Begins to read the next request. If a part of this request was read together with the previous request,
// reads at once. Otherwise waits until the socket is readable.
void ClientConnection::AwaitRequest() {
  if (context_.drain.active()) context_.owner.CheckTimeoutsBy(DrainCloseTime());
  reading_request_ = reader_.has_unparsed_bytes();
  if (reading_request_) return reader_.ReadHead();
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
    if (self->phase_ != Phase::kReading) return;
    if (error) return self->Close();
    self->reading_request_ = true;
    self->reader_.ReadHead();
  });
}

void ClientConnection::OnRequestHead() {
  const RequestHead& head = reader_.head();
  keep_alive_ = reader_.keep_alive();
  http_version_ = head.version();
  attributes_ = {};
  if (const auto error = ValidateFraming(head, reader_.framing())) return RejectAndClose(*error);
  if (reader_.MustRefuse()) return RefuseForMemory();
  is_readiness_check_ = IsReadinessCheck(head);
  if (!is_readiness_check_) {
    if (const auto error = ValidateRequest(head)) {
      // If the rejected request has a body, the connection does not know where the next request starts.
      if (!reader_.done()) return RejectAndClose(*error);
      EnterPhase(Phase::kServing);
      return RespondWithError(*error);
    }
  }
  reader_.ReadBody(request_started_at_, reader_.may_stream() ? Now() - TimeInKernelQueues() : Now());
}

// Refuses a request because clients make the process hold too much memory already.
void ClientConnection::RefuseForMemory() {
  ++context_.memory_refusals;
  context_.owner.OnMemoryExhausted();
  RejectAndClose({http::status::service_unavailable, "too much memory is in use"},
                 context_.shed_retry_after_ms);
}

std::optional<RequestError> ClientConnection::ValidateRequest(const RequestHead& head) {
  if (auto error = context_.validator.Validate(head, attributes_)) return error;
  if (!context_.drain.AcceptsRequest(Now(), attributes_.time_allowed)) return DrainError();
  return std::nullopt;
}

// Refuses the complete request that was read.
void ClientConnection::RefuseForDrain() {
  EnterPhase(Phase::kServing);
  RespondWithError(DrainError());
}

void ClientConnection::OnReadError(error_code error) {
  if (error == asio::error::no_memory) return RefuseForMemory();
  if (!IsProtocolViolation(error)) return OnDisconnect();
  CancelIncompleteRequest();
  RejectAndClose({StatusOfReadError(error), error.message()});
}

void ClientConnection::OnRequestBuffered() {
  const bool complete = !reader_.in_body();
  if (!is_readiness_check_) {
    if (complete && !context_.drain.AcceptsRequest(Now(), attributes_.time_allowed)) return RefuseForDrain();
    return DispatchRequest();
  }
  const bool ready = context_.callbacks.is_ready();
  EnterPhase(Phase::kServing);
  WriteResponse(HttpResponse(ready ? http::status::ok : http::status::service_unavailable, 11), nullptr);
}

void ClientConnection::DispatchRequest() {
  ClientRequest request;
  static_cast<RequestAttributes&>(request) = std::move(attributes_);
  request.message = reader_.ReleaseRequest();
  request.received_at = reader_.in_body() ? reader_.EarliestCompletion() : Now() - TimeInKernelQueues();
  request.responder = ClientResponder(weak_from_this(), ++request_number_);
  request_id_ = request.id;
  class_name_ = request.class_name;
  time_allowed_ = request.time_allowed;
  request_open_ = true;
  const Millis request_started_at = request_started_at_;
  EnterPhase(Phase::kServing);
  request_started_at_ = request_started_at;
  if (reader_.in_body()) {
    request.remaining_body = shared_from_this();
  } else {
    OnRequestComplete();
  }
  context_.callbacks.on_request(std::move(request));
}

// Ends the request if the client has left meanwhile, or if it arrives too late in a drain: without the last
// piece, the endpoint can't execute it.
void ClientConnection::OnStreamedBodyComplete() {
  if (reader_.DetectDisconnect()) return OnDisconnect();
  if (!context_.drain.AcceptsForwardedRequest(Now(), time_allowed_)) {
    CancelIncompleteRequest();
    return RejectAndClose(DrainError());
  }
  OnRequestComplete();
  context_.callbacks.on_request_complete(request_id_, reader_.earliest_completion());
}

// Called when the dispatched request is complete, including its body.
void ClientConnection::OnRequestComplete() {
  ++context_.active_requests;
  counted_active_ = true;
  WatchForDisconnect();
}

// Returns the time since the last bytes of the request arrived at this machine. If the system does not report
// this time, returns the bound on the time in the accept queue for the first request of the connection, and 0
// for a later request.
Millis ClientConnection::TimeInKernelQueues() {
  if (const auto since_received = TimeSinceLastReceived(socket_.native_handle())) return *since_received;
  return request_number_ == 0 ? accept_wait_ms_ : 0;
}

// --- Disconnects while a request is being served

// Waits until the socket is readable, and then checks whether the client has disconnected. If the read-ahead
// buffer is full, CheckTimeouts performs this check instead.
void ClientConnection::WatchForDisconnect() {
  // The wait of an earlier request may still be pending. One wait serves all pipelined requests.
  if (!reader_.CanReadAhead() || std::exchange(disconnect_wait_pending_, true)) return;
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
    self->disconnect_wait_pending_ = false;
    if (self->phase_ != Phase::kServing || self->reader_.in_body()) return;
    error || self->HasDisconnected() ? self->OnDisconnect() : self->WatchForDisconnect();
  });
}

bool ClientConnection::HasDisconnected() {
  if (phase_ != Phase::kServing) return phase_ == Phase::kClosed;
  return reader_.DetectDisconnect();
}

// Called when the client has disconnected. Its request may be incomplete.
void ClientConnection::OnDisconnect() {
  const bool was_serving = phase_ == Phase::kServing;
  Close();
  if (was_serving) context_.callbacks.on_disconnect(request_id_);
}

bool ClientConnection::DetectDisconnect(std::uint64_t request_number) {
  if (request_number_ != request_number) return true;
  if (!HasDisconnected()) return false;
  asio::post(context_.io, [self = shared_from_this(), request_number] {
    if (self->request_number_ == request_number && self->phase_ == Phase::kServing) self->OnDisconnect();
  });
  return true;
}

Millis ClientConnection::EarliestCompletion(std::uint64_t request_number) {
  const bool incomplete = request_number_ == request_number && phase_ == Phase::kServing && reader_.in_body();
  return incomplete ? reader_.EarliestCompletion() : reader_.earliest_completion();
}

// --- Timeouts

void ClientConnection::CheckTimeouts(Millis now) {
  switch (phase_) {
    case Phase::kReading: return CheckReadingTimeouts(now);
    case Phase::kServing: return CheckServingTimeouts(now);
    case Phase::kWriting:
      if (writer_.TimedOut(now)) Close();
      return;
    case Phase::kLingering:
      if (linger_.TimedOut(now)) Close();
      return;
    case Phase::kClosed: return;
  }
}

void ClientConnection::CheckReadingTimeouts(Millis now) {
  const bool in_request = !IsBetweenRequests();
  const bool is_first_request = request_number_ == 0;
  // The head timeout of the first request counts from the start of the connection. The head timeout of a
  // later request counts from the last check at which no part of the request had arrived.
  if (!in_request && !is_first_request) request_started_at_ = now;
  reader_.ObserveHeadProgress(now);
  const bool too_slow =
      reader_.in_body() ? reader_.BodyTimedOut(now) : now - request_started_at_ > kHeadTimeoutMs;
  if (in_request && too_slow) return RejectSlowRequest();
  if (in_request && context_.drain.RejectsIncompleteRequests(now)) {
    return RejectAndClose(DrainError());
  }
  if (context_.drain.active()) return CheckDrain(now);
  const Millis idle_timeout_ms = is_first_request ? kFirstRequestTimeoutMs : kIdleTimeoutMs;
  if (now - phase_entered_at_ > idle_timeout_ms && IsIdle()) Close();
}

// Returns the time at which a drain closes the connection if it stays idle.
Millis ClientConnection::DrainCloseTime() const {
  return request_number_ == 0 ? context_.drain.UnusedCloseTime(phase_entered_at_)
                              : context_.drain.IdleCloseTime(phase_entered_at_);
}

// Closes the connection if it is idle and its time in the drain is over. If bytes have arrived that are not
// read yet, checks soon again whether they are a complete request.
void ClientConnection::CheckDrain(Millis now) {
  if (!IsBetweenRequests()) return;
  const Millis close_at = DrainCloseTime();
  if (now < close_at) return context_.owner.CheckTimeoutsBy(close_at);
  IsIdle() ? Close() : context_.owner.CheckTimeoutsBy(now + kMinSettleTimeMs);
}

void ClientConnection::CheckServingTimeouts(Millis now) {
  if (reader_.in_body() && reader_.BodyTimedOut(now)) return RejectSlowRequest();
  const bool watches_for_disconnect = !reader_.in_body() && disconnect_wait_pending_;
  if (!watches_for_disconnect && HasDisconnected()) OnDisconnect();
}

void ClientConnection::RejectSlowRequest() {
  CancelIncompleteRequest();
  RejectAndClose({http::status::request_timeout, "the request is not whole"});
}

// If the request was dispatched before its body was complete, ends it as if the client had disconnected.
void ClientConnection::CancelIncompleteRequest() {
  if (phase_ != Phase::kServing) return;
  EnterPhase(Phase::kWriting);
  reader_.Stop();
  context_.callbacks.on_disconnect(request_id_);
  EndRequest();
  reader_.FailPendingPiece();
}

// --- Responses

void ClientConnection::Respond(std::uint64_t request_number, HttpResponse response,
                               std::shared_ptr<BodySource> remaining_body) {
  if (request_number_ == request_number && phase_ == Phase::kServing) {
    WriteResponse(std::move(response), std::move(remaining_body));
  } else if (remaining_body) {
    remaining_body->Cancel();
  }
}

void ClientConnection::RejectAndClose(const RequestError& error, Millis retry_after_ms) {
  keep_alive_ = false;
  RespondWithError(error, retry_after_ms);
}

void ClientConnection::RespondWithError(const RequestError& error, Millis retry_after_ms) {
  WriteResponse(MakeErrorResponse(error, retry_after_ms), nullptr);
}

void ClientConnection::WriteResponse(HttpResponse response, std::shared_ptr<BodySource> remaining_body) {
  EnterPhase(Phase::kWriting);
  reader_.Stop();
  writer_.Write(std::move(response), std::move(remaining_body), http_version_, KeepsAliveAfterResponse());
}

// Returns whether the connection stays open after the response. During a drain, and at the connection limit,
// it stays open only if a part of the next request has arrived. If keep_alive_ is false, or the body of
// the request was not read completely, it never stays open.
bool ClientConnection::KeepsAliveAfterResponse() {
  if (!keep_alive_ || reader_.in_body()) return false;
  error_code ignored;
  const bool has_next_request = reader_.has_unparsed_bytes() || socket_.available(ignored) > 0;
  return has_next_request || !(context_.drain.active() || context_.owner.AtConnectionLimit());
}

void ClientConnection::OnResponseWritten(error_code error) {
  const bool had_request = request_open_;
  EndRequest();
  if (had_request) context_.callbacks.on_response_end(class_name_, writer_.status(), /*complete=*/!error);
  writer_.Reset();
  reader_.Reset();
  if (error) return Close();
  if (!writer_.keep_alive()) {
    EnterPhase(Phase::kLingering);
    reader_.DiscardInput();
    return linger_.Start();
  }
  EnterPhase(Phase::kReading);
  reading_request_ = reader_.has_unparsed_bytes();
  if (!reading_request_) reader_.ShrinkBuffer();
  if (context_.transfer && Transfer()) return;
  // During a stop, CheckTimeouts closes the connection later, when the response has had time to arrive.
  AwaitRequest();
}

// Ends the dispatched request, if there is one. The request may or may not have a response.
void ClientConnection::EndRequest() {
  request_open_ = false;
  if (std::exchange(counted_active_, false)) --context_.active_requests;
}

}  // namespace gateway::proxy
