#include "registry/session.hpp"

#include <array>
#include <boost/asio/write.hpp>
#include <utility>

#include "base/clock.hpp"

namespace gateway::registry {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using base::Millis;
using base::TimerDuration;
using boost::system::error_code;

constexpr Millis kFirstRequestTimeout = 10000;  // from accept to the complete first request
constexpr Millis kIdleTimeout = 75000;          // from a response to the next complete request
constexpr Millis kWriteTimeout = 5000;          // time within which a client must read a response
constexpr std::size_t kMaxBodyBytes = 64 << 10;
constexpr std::size_t kMaxHeaderBytes = 8 << 10;

}  // namespace

Session::Session(asio::io_context& io, tcp::socket socket, SessionHandler& handler)
    : handler_(handler), socket_(std::move(socket)), timer_(io), buffer_(kMaxHeaderBytes + kMaxBodyBytes) {}

void Session::Start() { ReadRequest(kFirstRequestTimeout); }

void Session::ReadRequest(Millis timeout) {
  parser_.emplace();
  parser_->body_limit(kMaxBodyBytes);
  parser_->header_limit(kMaxHeaderBytes);
  CloseAfter(timeout, CloseReason::kNormal);
  http::async_read(
      socket_, buffer_, *parser_,
      [self = shared_from_this()](error_code error, std::size_t bytes) { self->OnRead(error, bytes); });
}

void Session::OnRead(error_code error, std::size_t bytes) {
  if (!open_) return;
  timer_.cancel();
  request_bytes_ = bytes;
  handler_.OnTraffic(bytes, 0);
  if (error == http::error::end_of_stream || (error && !parser_->got_some())) return Close();
  if (error == http::error::body_limit || error == http::error::header_limit) {
    return RejectMalformed("the request exceeds the size limit");
  }
  if (error) return RejectMalformed("malformed HTTP request");
  keep_alive_ = parser_->get().keep_alive();
  handler_.OnRequest(shared_from_this());
}

void Session::RejectMalformed(const std::string& message) {
  Response response = ErrorResponse({ErrorCode::kBadRequest, "", message});
  response.keep_alive = false;
  Respond(std::move(response));
}

void Session::CountRequestIn(TrafficTotals& totals) {
  ++totals.requests;
  totals.bytes_received += request_bytes_;
  extra_totals_ = &totals;
}

void Session::Respond(Response response) {
  if (!open_) return;
  keep_alive_ = keep_alive_ && response.keep_alive;
  response_head_ = EncodeResponseHead(response, keep_alive_);
  response_body_ = std::move(response.body);
  const std::size_t bytes = response_head_.size() + response_body_->size();
  handler_.OnTraffic(0, bytes);
  if (extra_totals_ != nullptr) std::exchange(extra_totals_, nullptr)->bytes_sent += bytes;
  CloseAfter(kWriteTimeout, CloseReason::kSlowReader);
  const std::array<asio::const_buffer, 2> parts{asio::buffer(response_head_), asio::buffer(*response_body_)};
  asio::async_write(socket_, parts,
                    [self = shared_from_this()](error_code error, std::size_t) { self->OnWritten(error); });
}

void Session::OnWritten(error_code error) {
  if (!open_) return;
  response_body_.reset();
  if (error || !keep_alive_) return Close();
  ReadRequest(kIdleTimeout);
}

void Session::SetTimeout(Millis timeout, std::function<void()> on_timeout) {
  timer_.expires_after(TimerDuration(timeout));
  timer_.async_wait([self = shared_from_this(), on_timeout = std::move(on_timeout)](error_code error) {
    if (!error && self->open_) on_timeout();
  });
}

void Session::CloseAfter(Millis timeout, CloseReason reason) {
  SetTimeout(timeout, [this, reason] { CloseWithReason(reason); });
}

void Session::Close() { CloseWithReason(CloseReason::kNormal); }

void Session::CloseWithReason(CloseReason reason) {
  if (!std::exchange(open_, false)) return;
  timer_.cancel();
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_both, ignored);
  socket_.close(ignored);
  handler_.OnClosed(shared_from_this(), reason);
}

}  // namespace gateway::registry
