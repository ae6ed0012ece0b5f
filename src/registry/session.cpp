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

constexpr Millis kFirstRequestWithin = 10000;  // from accept to a whole request
constexpr Millis kIdleTimeout = 75000;         // from an answer to the next whole request
constexpr Millis kWriteTimeout = 5000;         // for a reader to take a whole response
constexpr std::size_t kMostBodyBytes = 64 << 10;
constexpr std::size_t kMostHeaderBytes = 8 << 10;

}  // namespace

Session::Session(asio::io_context& io, tcp::socket socket, SessionHandler& handler)
    : handler_(handler), socket_(std::move(socket)), timer_(io), buffer_(kMostHeaderBytes + kMostBodyBytes) {}

void Session::Start() { ReadWithin(kFirstRequestWithin); }

void Session::ReadWithin(Millis time) {
  parser_.emplace();
  parser_->body_limit(kMostBodyBytes);
  parser_->header_limit(kMostHeaderBytes);
  CloseAfter(time, CloseReason::kOrdinary);
  http::async_read(
      socket_, buffer_, *parser_,
      [self = shared_from_this()](error_code error, std::size_t bytes) { self->OnRead(error, bytes); });
}

void Session::OnRead(error_code error, std::size_t bytes) {
  if (!open_) return;
  timer_.cancel();
  request_bytes_ = bytes;
  handler_.OnBytes(bytes, 0);
  if (error == http::error::end_of_stream || (error && !parser_->got_some())) return Close();
  if (error == http::error::body_limit || error == http::error::header_limit) {
    return RejectRequest("the request is too long");
  }
  if (error) return RejectRequest("no proper HTTP request");
  keep_alive_ = parser_->get().keep_alive();
  handler_.OnRequest(shared_from_this());
}

void Session::RejectRequest(const std::string& message) {
  Response response = ToResponse(Outcome{"bad_request", "", message});
  response.keep_alive = false;
  Answer(std::move(response));
}

void Session::CountIn(Traffic& total) {
  ++total.requests;
  total.bytes_in += request_bytes_;
  also_counted_in_ = &total;
}

void Session::Answer(Response response) {
  if (!open_) return;
  keep_alive_ = keep_alive_ && response.keep_alive;
  response_head_ = ResponseHead(response, keep_alive_);
  response_body_ = std::move(response.body);
  const std::size_t bytes = response_head_.size() + response_body_->size();
  handler_.OnBytes(0, bytes);
  if (also_counted_in_ != nullptr) std::exchange(also_counted_in_, nullptr)->bytes_out += bytes;
  CloseAfter(kWriteTimeout, CloseReason::kSlowReader);
  const std::array<asio::const_buffer, 2> parts{asio::buffer(response_head_), asio::buffer(*response_body_)};
  asio::async_write(socket_, parts,
                    [self = shared_from_this()](error_code error, std::size_t) { self->OnWritten(error); });
}

void Session::OnWritten(error_code error) {
  if (!open_) return;
  response_body_.reset();
  if (error || !keep_alive_) return Close();
  ReadWithin(kIdleTimeout);
}

void Session::WaitAtMost(Millis time, std::function<void()> expired) {
  timer_.expires_after(TimerDuration(time));
  timer_.async_wait([self = shared_from_this(), expired = std::move(expired)](error_code error) {
    if (!error && self->open_) expired();
  });
}

void Session::CloseAfter(Millis time, CloseReason reason) {
  WaitAtMost(time, [this, reason] { CloseFor(reason); });
}

void Session::Close() { CloseFor(CloseReason::kOrdinary); }

void Session::CloseFor(CloseReason reason) {
  if (!std::exchange(open_, false)) return;
  timer_.cancel();
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_both, ignored);
  socket_.close(ignored);
  handler_.OnClosed(shared_from_this(), reason);
}

}  // namespace gateway::registry
