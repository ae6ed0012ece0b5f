#include "proxy/client/request_reader.hpp"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <cerrno>
#include <string_view>

#include "proxy/client/accept_queue.hpp"

namespace gateway::proxy {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

// The largest number of unparsed bytes in the buffer, for example of a message head or of a chunk header.
constexpr std::size_t kMaxUnparsedBytes = 2 * kMaxHeaderBytes;
// The largest number of bytes that one call reads past the request that is being served.
constexpr std::size_t kReadAheadBytes = 4096;
// The size of reads while a body is buffered. Also the limit on the buffered part of a body while the buffer
// budget is exceeded.
constexpr std::size_t kSmallPieceBytes = kBodyPieceBytes / 4;

// Returns whether `received`, the result of a recv call, means that the connection is open.
bool IsOpen(ssize_t received) {
  return received > 0 || (received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR));
}

bool HasReceivedFin(int socket) {
  pollfd descriptor{socket, POLLRDHUP, 0};
  return ::poll(&descriptor, 1, 0) > 0;
}

}  // namespace

bool IsProtocolViolation(error_code error) {
  return error.category() == http::make_error_code(http::error::bad_version).category() &&
         error != http::error::end_of_stream && error != http::error::partial_message;
}

RequestReader::RequestReader(asio::io_context& io, asio::ip::tcp::socket& socket, BufferBudget& budget,
                             Delegate& delegate)
    : io_(io), socket_(socket), charge_(budget), delegate_(delegate), buffer_(kMaxUnparsedBytes) {}

void RequestReader::ReadHead() {
  stopped_ = false;
  in_body_ = false;
  streaming_started_ = false;
  head_progress_at_ = Now();
  parser_.emplace();
  parser_->body_limit(kMaxBodyBytes);
  parser_->header_limit(kMaxHeaderBytes);
  http::async_read_header(socket_, buffer_, *parser_,
                          [this, connection = delegate_.KeepAlive()](error_code error, std::size_t) {
                            if (stopped_) return;
                            if (error) return delegate_.OnReadError(error);
                            request_ = {};
                            request_.base() = parser_->get().base();
                            delegate_.OnRequestHead();
                          });
}

RequestFraming RequestReader::framing() const {
  return {parser_->chunked(), parser_->content_length().value_or(0)};
}

bool RequestReader::may_stream() const {
  return parser_->chunked() || parser_->content_length().value_or(0) > kSmallPieceBytes;
}

void RequestReader::ReadBody(Millis request_started_at, Millis last_arrival_at) {
  in_body_ = true;
  progress_.Start(request_started_at, Now());
  std::optional<std::uint64_t> length_bytes;
  if (const auto content_length = parser_->content_length()) length_bytes = *content_length;
  arrival_.Start(last_arrival_at, length_bytes);
  parsed_bytes_ = 0;
  const bool awaits_continue = !done() && request_.count(http::field::expect) > 0 && request_.version() >= 11;
  awaits_continue ? SendContinue() : ReadPiece();
}

// Sends the interim response 100 (Continue). The client waits for this response before it sends the body.
void RequestReader::SendContinue() {
  static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
  asio::async_write(socket_, asio::buffer(kContinue),
                    [this, connection = delegate_.KeepAlive()](error_code error, std::size_t) {
                      if (stopped_) return;
                      error ? delegate_.OnReadError(error) : ReadPiece();
                    });
}

void RequestReader::ReadNextPiece(BodySource::PieceHandler handler) {
  piece_handler_ = std::move(handler);
  streaming_started_ = true;
  charge_.Set(0);
  stopped_ ? FailPendingPiece() : ReadPiece();
}

void RequestReader::FailPendingPiece() {
  if (!piece_handler_) return;
  asio::post(io_, [connection = delegate_.KeepAlive(), handler = std::exchange(piece_handler_, nullptr)] {
    handler(asio::error::connection_reset, {}, false);
  });
}

// Reads the next piece of the body.
void RequestReader::ReadPiece() {
  const bool streaming = piece_handler_ != nullptr;
  if (done()) {
    if (!streaming) return OnPiece({}, 0);
    // Posts the call, because a piece handler must not be called before ReadNextPiece returns.
    return asio::post(io_, [this, connection = delegate_.KeepAlive()] { OnPiece({}, 0); });
  }
  progress_.BeginWait(Now());
  ObserveArrival();
  piece_.resize(kBodyPieceBytes);
  buffer_.reserve(std::max<std::size_t>(buffer_.size(), streaming ? kBodyPieceBytes : kSmallPieceBytes));
  auto& body = parser_->get().body();
  body.data = piece_.data();
  body.size = piece_.size();
  http::async_read_some(
      socket_, buffer_, *parser_,
      [this, connection = delegate_.KeepAlive()](error_code error, std::size_t parsed_bytes) {
        OnPieceRead(error, parsed_bytes);
      });
}

void RequestReader::ObserveArrival() {
  if (!may_stream()) return;
  error_code error;
  const std::size_t unread_bytes = socket_.available(error);
  receive_buffer_empty_ = !error && unread_bytes == 0;
  buffered_bytes_ = buffer_.size();
  arrival_.RecordArrived(Now(), parsed_bytes_ + buffered_bytes_ + unread_bytes);
}

void RequestReader::OnPieceRead(error_code error, std::size_t parsed_bytes) {
  parsed_bytes_ += parsed_bytes;
  const bool bytes_arrived = parsed_bytes + buffer_.size() > buffered_bytes_;
  if (std::exchange(receive_buffer_empty_, false) && bytes_arrived) {
    arrival_.RecordWait(Now() - TimeSinceLastReceived(socket_.native_handle()).value_or(0));
  }
  if (error == http::error::need_buffer) error = {};
  OnPiece(error, kBodyPieceBytes - parser_->get().body().size);
}

// If all bytes that have arrived were parsed, the rest of the body is missing. The same holds if a read is
// pending and the receive buffer is empty.
Millis RequestReader::EarliestCompletion() {
  error_code error;
  const std::size_t unread_bytes = socket_.available(error);
  if (error) return arrival_.earliest_completion();
  arrival_.RecordArrived(Now(), parsed_bytes_ + buffer_.size() + unread_bytes);
  if (unread_bytes == 0 && (buffer_.size() == 0 || progress_.waiting())) arrival_.RecordWait(Now());
  return arrival_.earliest_completion();
}

void RequestReader::OnPiece(error_code error, std::size_t received_bytes) {
  if (stopped_) return;
  progress_.EndWait(Now(), received_bytes);
  if (error) return delegate_.OnReadError(error);
  const bool last = done();
  if (last) in_body_ = false;
  piece_handler_ ? StreamPiece(received_bytes, last) : BufferPiece(received_bytes, last);
}

void RequestReader::StreamPiece(std::size_t received_bytes, bool last) {
  if (received_bytes == 0 && !last) return ReadPiece();
  if (last) delegate_.OnStreamedBodyComplete();
  if (!piece_handler_) return;  // the delegate has ended the request
  std::exchange(piece_handler_, nullptr)({}, {piece_.data(), received_bytes}, last);
}

void RequestReader::BufferPiece(std::size_t received_bytes, bool last) {
  request_.body().append(piece_.data(), received_bytes);
  if (last) return delegate_.OnRequestBuffered();
  const std::size_t buffered_bytes = request_.body().size();
  charge_.Set(buffered_bytes);
  const std::size_t limit_bytes = charge_.budget().Exceeded() ? kSmallPieceBytes : kMaxBufferedBodyBytes;
  buffered_bytes > limit_bytes ? delegate_.OnRequestBuffered() : ReadPiece();
}

bool RequestReader::CanReadAhead() const { return buffer_.size() < kMaxUnparsedBytes; }

bool RequestReader::DetectDisconnect() {
  const int socket = socket_.native_handle();
  if (in_body_) {  // leaves the bytes of the body in the socket for ReadNextPiece
    char byte = 0;
    return !IsOpen(::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT));
  }
  while (const std::size_t room = std::min(kMaxUnparsedBytes - buffer_.size(), kReadAheadBytes)) {
    const auto received = ::recv(socket, buffer_.prepare(room).data(), room, MSG_DONTWAIT);
    if (received <= 0) return !IsOpen(received);
    buffer_.commit(static_cast<std::size_t>(received));
  }
  return HasReceivedFin(socket);
}

void RequestReader::ObserveHeadProgress(Millis now) {
  if (std::exchange(observed_bytes_, buffer_.size()) != buffer_.size()) head_progress_at_ = now;
}

void RequestReader::Reset() {
  request_ = {};
  piece_ = {};
  charge_.Set(0);
}

}  // namespace gateway::proxy
