#include "base/http_client.hpp"

#include <boost/asio/write.hpp>
#include <utility>

#include "base/clock.hpp"

namespace gateway::base {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::size_t kMostBody = 64 << 20;

}  // namespace

void ClientConnection::Exchange(std::string request, Millis patience, Done done,
                                std::function<void()> written) {
  request_ = std::move(request);
  done_ = std::move(done);
  written_ = std::move(written);
  timer_.expires_after(Span(patience));
  timer_.async_wait([self = shared_from_this(), round = exchanges_](error_code ec) {
    if (!ec && self->done_ && round == self->exchanges_) self->Finish(Failure::kGivenUp);
  });
  error_code ignored;
  if (connected_) {
    socket_.cancel(ignored);  // the watch on idle connections
    return Write();
  }
  socket_.async_connect(to_, [self = shared_from_this()](error_code ec) {
    if (!self->done_) return;
    if (ec) return self->Finish(Failure::kNoConnection);
    self->connected_ = true;
    error_code no_matter;
    self->socket_.set_option(tcp::no_delay(true), no_matter);
    self->Write();
  });
}

void ClientConnection::Write() {
  parser_.emplace();
  parser_->body_limit(kMostBody);
  asio::async_write(socket_, asio::buffer(request_), [self = shared_from_this()](error_code ec, std::size_t) {
    if (!self->done_) return;
    if (ec) return self->Finish(Failure::kNoAnswer);
    if (self->written_) self->written_();
    http::async_read(self->socket_, self->buffer_, *self->parser_, [self](error_code read_ec, std::size_t) {
      if (!self->done_) return;
      if (!read_ec) return self->Finish(Failure::kNone);
      self->Finish(self->parser_->got_some() ? Failure::kBroken : Failure::kNoAnswer);
    });
  });
}

void ClientConnection::Finish(Failure failure) {
  ++exchanges_;
  timer_.cancel();
  Result result;
  result.failure = failure;
  if (failure == Failure::kNone) {
    const bool keep = parser_->keep_alive();
    result.response = parser_->release();
    if (!keep) Close();
  } else {
    Close();
  }
  const Done done = std::exchange(done_, nullptr);
  written_ = nullptr;
  done(std::move(result));
}

void ClientConnection::Close() {
  if (!std::exchange(open_, false)) return;
  error_code ignored;
  socket_.close(ignored);
}

void ClientConnection::WatchIdle(std::function<void()> closed) {
  socket_.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this(), closed = std::move(closed)](error_code ec) {
                       if (ec || !self->open_ || self->done_) return;
                       self->Close();
                       closed();
                     });
}

}  // namespace gateway::base
