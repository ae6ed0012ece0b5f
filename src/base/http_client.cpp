#include "base/http_client.hpp"

#include <boost/asio/write.hpp>
#include <utility>

#include "base/clock.hpp"

namespace gateway::base {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

}  // namespace

std::string FormatGetRequest(const std::string& target, const std::string& host) {
  return "GET " + target + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n";
}

void ClientConnection::Exchange(std::string request, Millis timeout, ResultCallback on_result,
                                std::function<void()> on_written) {
  request_ = std::move(request);
  on_result_ = std::move(on_result);
  on_written_ = std::move(on_written);
  timer_.expires_after(TimerDuration(timeout));
  timer_.async_wait([self = shared_from_this(), exchange = exchanges_](error_code ec) {
    if (!ec && self->on_result_ && exchange == self->exchanges_) self->Finish(Failure::kTimedOut);
  });
  if (!connected_) return Connect();
  error_code ignored;
  socket_.cancel(ignored);  // ends the wait of NotifyOnIdleClose()
  Write();
}

void ClientConnection::Connect() {
  socket_.async_connect(server_, [self = shared_from_this()](error_code ec) {
    if (!self->on_result_) return;
    if (ec) return self->Finish(Failure::kConnectFailed);
    self->connected_ = true;
    error_code ignored;
    self->socket_.set_option(tcp::no_delay(true), ignored);
    self->Write();
  });
}

void ClientConnection::Write() {
  parser_.emplace();
  parser_->body_limit(kMaxHttpBodyBytes);
  asio::async_write(socket_, asio::buffer(request_), [self = shared_from_this()](error_code ec, std::size_t) {
    if (!self->on_result_) return;
    if (ec) return self->Finish(Failure::kNoResponse);
    if (self->on_written_) self->on_written_();
    self->Read();
  });
}

void ClientConnection::Read() {
  http::async_read(socket_, buffer_, *parser_, [self = shared_from_this()](error_code ec, std::size_t) {
    if (!self->on_result_) return;
    if (!ec) return self->Finish(Failure::kNone);
    self->Finish(self->parser_->got_some() ? Failure::kIncompleteResponse : Failure::kNoResponse);
  });
}

void ClientConnection::Finish(Failure failure) {
  ++exchanges_;
  timer_.cancel();
  Result result;
  result.failure = failure;
  if (failure == Failure::kNone) {
    const bool keep_alive = parser_->keep_alive();
    result.response = parser_->release();
    if (!keep_alive) Close();
  } else {
    Close();
  }
  const ResultCallback on_result = std::exchange(on_result_, nullptr);
  on_written_ = nullptr;
  on_result(std::move(result));
}

void ClientConnection::Close() {
  if (!std::exchange(open_, false)) return;
  error_code ignored;
  socket_.close(ignored);
}

void ClientConnection::NotifyOnIdleClose(std::function<void()> on_closed) {
  socket_.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this(), on_closed = std::move(on_closed)](error_code ec) {
                       if (ec || !self->open_ || self->on_result_) return;
                       self->Close();
                       on_closed();
                     });
}

}  // namespace gateway::base
