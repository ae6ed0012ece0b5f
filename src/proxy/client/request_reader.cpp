#include "proxy/client/request_reader.hpp"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <cerrno>
#include <string_view>
#include <utility>

#include "proxy/client/accept_queue.hpp"

namespace gateway::proxy {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

// The largest number of bytes that the parser may leave unparsed, for example of a message head or of a chunk
// header.
constexpr std::size_t kMaxUnparsedBytes = 2 * kMaxHeaderBytes;
// The bytes of a body that may be read before an attempt reads the body: at least these, and at most this
// part of the buffer budget.
constexpr std::size_t kMinBodyReadAheadBytes = kMaxClientSendBufferBytes;
constexpr std::size_t kBodyReadAheadDivisor = 4;
// The size of reads of a head, and of reads past the request that is being served.
constexpr std::size_t kSmallReadBytes = kHeadReadBytes;
// The limit on the buffered part of a body while the buffer budget is exceeded.
constexpr std::size_t kSmallPieceBytes = kBodyPieceBytes / 4;

// Returns whether `received`, the result of a recv call, means that the connection is open.
bool IsOpen(ssize_t received) {
  return received > 0 || (received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR));
}

// Returns whether the peer has closed its side or the connection has failed, also if unread bytes precede.
bool HasReceivedFin(int socket) {
  pollfd descriptor{socket, POLLRDHUP, 0};
  return ::poll(&descriptor, 1, 0) > 0;
}

}  // namespace

bool IsProtocolViolation(error_code error) {
  return error.category() == http::make_error_code(http::error::bad_version).category() &&
         error != http::error::end_of_stream && error != http::error::partial_message;
}

RequestReader::RequestReader(asio::io_context& io, tcp::socket& socket, std::shared_ptr<BufferBudget> budget,
                             Delegate& delegate)
    : io_(io), socket_(socket), charge_(std::move(budget)), delegate_(delegate) {}

// --- Input

// Waits until the socket is readable, and then continues. Frees unused memory first, because the wait may be
// long and there may be many connections.
void RequestReader::AwaitInput() {
  if (std::exchange(awaits_input_, true)) return;
  if (buffer_.capacity() > 2 * buffer_.size()) buffer_.shrink_to_fit();
  if (!piece_in_use_) FreeMemory(piece_);
  UpdateCharge();
  receive_buffer_empty_ = in_body_ && may_stream() && UnreadBytes() == std::size_t{0};
  socket_.async_wait(tcp::socket::wait_read, [this, connection = delegate_.KeepAlive()](error_code error) {
    awaits_input_ = false;
    if (stopped_ || !(reading_head_ || in_body_)) return;
    error ? delegate_.OnReadError(error) : OnReadable();
  });
}

// Reads once, and continues with the part of the request that is being read. One read is the turn of this
// connection: afterwards, the event loop serves other connections.
void RequestReader::OnReadable() {
  error_code error;
  const std::uint64_t arrived_before = read_bytes();
  ReadInput(in_body_ && !charge_.budget().Exceeded() ? kBodyPieceBytes : kSmallReadBytes, error);
  if (error == asio::error::would_block || error == asio::error::interrupted) return AwaitInput();
  if (error) return delegate_.OnReadError(error);
  if (std::exchange(receive_buffer_empty_, false) && IsIncompleteWith(arrived_before)) {
    arrival_.RecordWait(Now() - TimeSinceLastReceived(socket_.native_handle()).value_or(0));
  }
  Continue();
}

// Reads at least one byte, or sets `error`.
void RequestReader::ReadInput(std::size_t limit_bytes, error_code& error) {
  socket_.non_blocking(true, error);
  if (error) return;
  buffer_.commit(socket_.read_some(buffer_.prepare(limit_bytes), error));
}

// Returns the number of bytes in the receive buffer, or nothing if the system does not report it.
std::optional<std::size_t> RequestReader::UnreadBytes() {
  error_code error;
  const std::size_t unread_bytes = socket_.available(error);
  if (error) return std::nullopt;
  return unread_bytes;
}

void RequestReader::Continue() {
  if (!in_body_) return ParseHead();
  wants_piece_ ? ParsePiece() : ReadAhead();
}

// --- Head

void RequestReader::ReadHead() {
  stopped_ = false;
  reading_head_ = true;
  in_body_ = false;
  streaming_started_ = false;
  wants_piece_ = false;
  receive_buffer_empty_ = false;
  request_bytes_ = 0;
  head_parsing_ = {};
  head_progress_at_ = Now();
  parser_.emplace();
  parser_->body_limit(kMaxBodyBytes);
  parser_->header_limit(kMaxHeaderBytes);
  // Posts the first step, because the delegate may call this function from a callback of this object.
  asio::post(io_, [this, connection = delegate_.KeepAlive()] {
    if (stopped_) return;
    buffer_.size() > 0 ? ParseHead() : OnReadable();
  });
}

void RequestReader::ParseHead() {
  const error_code error = head_parsing_.Parse(*parser_, buffer_);
  if (error == http::error::need_more) {
    return MustRefuse() ? delegate_.OnReadError(asio::error::no_memory) : AwaitInput();
  }
  if (error) return delegate_.OnReadError(error);
  reading_head_ = false;
  delegate_.OnRequestHead();
}

bool RequestReader::MustRefuse() const {
  BufferBudget& budget = charge_.budget();
  if (!budget.Exceeded()) return false;
  std::size_t head_bytes = buffer_.size();
  if (parser_->is_header_done()) {
    for (const auto& field : head()) head_bytes += field.name_string().size() + field.value().size();
  }
  return budget.Exhausted() || head_bytes > kSmallReadBytes;
}

RequestFraming RequestReader::framing() const {
  return {parser_->chunked(), parser_->content_length().value_or(0)};
}

bool RequestReader::may_stream() const {
  return parser_->chunked() || parser_->content_length().value_or(0) > kSmallPieceBytes;
}

// --- Body

void RequestReader::ReadBody(Millis request_started_at, Millis last_arrival_at) {
  in_body_ = true;
  progress_.Start(request_started_at, Now());
  std::optional<std::uint64_t> length_bytes;
  if (const auto content_length = parser_->content_length()) length_bytes = *content_length;
  arrival_.Start(last_arrival_at, length_bytes);
  parsed_bytes_ = 0;
  parser_->eager(true);
  const bool awaits_continue = !done() && head().count(http::field::expect) > 0 && head().version() >= 11;
  request_ = MakeForwardedRequest(head());
  request_.body_bytes = length_bytes;
  request_bytes_ = request_.head.size();
  parser_->get().base().clear();
  awaits_continue ? SendContinue() : ReadPiece();
}

// Sends the interim response 100 (Continue). The client waits for this response before it sends the body.
// The time until the client accepts it counts as time to wait for the body.
void RequestReader::SendContinue() {
  static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
  progress_.BeginWait(Now());
  asio::async_write(socket_, asio::buffer(kContinue),
                    [this, connection = delegate_.KeepAlive()](error_code error, std::size_t) {
                      if (stopped_) return;
                      progress_.EndWait(Now(), 0);
                      error ? delegate_.OnReadError(error) : ReadPiece();
                    });
}

void RequestReader::ReadNextPiece(BodySource::PieceHandler handler) {
  piece_handler_ = std::move(handler);
  streaming_started_ = true;
  piece_in_use_ = false;
  request_bytes_ = 0;
  // Posts the call, because a piece handler must not be called before ReadNextPiece returns.
  asio::post(io_, [this, connection = delegate_.KeepAlive()] {
    if (piece_handler_) stopped_ ? FailPendingPiece() : ReadPiece();
  });
}

void RequestReader::FailPendingPiece() {
  if (!piece_handler_) return;
  asio::post(io_, [connection = delegate_.KeepAlive(), handler = std::exchange(piece_handler_, nullptr)] {
    handler(asio::error::connection_reset, {}, false);
  });
}

// Reads the next piece of the body.
void RequestReader::ReadPiece() {
  wants_piece_ = true;
  progress_.BeginWait(Now());
  ObserveArrival();
  ParsePiece();
}

// Parses buffered input until a piece is full, the body ends, or the input is used up.
void RequestReader::ParsePiece() {
  if (done()) return OnPiece({}, 0);
  piece_.resize(charge_.budget().Exceeded() ? kSmallPieceBytes : kBodyPieceBytes);
  auto& body = parser_->get().body();
  body.data = piece_.data();
  body.size = piece_.size();
  error_code error;
  if (buffer_.size() > 0) {
    const std::size_t parsed_bytes = parser_->put(buffer_.data(), error);
    buffer_.consume(parsed_bytes);
    parsed_bytes_ += parsed_bytes;
  }
  const std::size_t received_bytes = piece_.size() - body.size;
  const bool needs_input = error == http::error::need_more || (!error && !done());
  if (needs_input || error == http::error::need_buffer) error = {};
  if (needs_input && received_bytes == 0) return AwaitPiece();
  OnPiece(error, received_bytes);
}

void RequestReader::AwaitPiece() {
  if (buffer_.size() > kMaxUnparsedBytes) return delegate_.OnReadError(http::error::buffer_overflow);
  AwaitInput();
}

// Reads the body before an attempt reads it, because only a read can detect a client's FIN that follows the
// body. A body that is longer than the read-ahead keeps its FIN hidden.
void RequestReader::ReadAhead() {
  BufferBudget& budget = charge_.budget();
  const std::size_t limit_bytes =
      std::max(kMinBodyReadAheadBytes, budget.limit_bytes() / kBodyReadAheadDivisor);
  const bool has_room = buffer_.size() < limit_bytes && !budget.Exceeded();
  if (has_room && !streaming_started_) return AwaitInput();
  ShrinkBuffer();
}

void RequestReader::ObserveArrival() {
  if (!may_stream()) return;
  if (const auto unread_bytes = UnreadBytes()) arrival_.RecordArrived(Now(), read_bytes() + *unread_bytes);
}

// Returns whether the body is known to be incomplete if this many bytes have arrived: all of them were
// parsed, the parser waits for more, or they are fewer than the length states.
bool RequestReader::IsIncompleteWith(std::uint64_t arrived_bytes) const {
  const auto length = parser_->content_length();
  return arrived_bytes == parsed_bytes_ || wants_piece_ || (length && arrived_bytes < *length);
}

Millis RequestReader::EarliestCompletion() {
  const auto unread_bytes = UnreadBytes();
  if (!unread_bytes) return arrival_.earliest_completion();
  arrival_.RecordArrived(Now(), read_bytes() + *unread_bytes);
  if (*unread_bytes == 0 && IsIncompleteWith(read_bytes())) arrival_.RecordWait(Now());
  return arrival_.earliest_completion();
}

void RequestReader::OnPiece(error_code error, std::size_t received_bytes) {
  wants_piece_ = false;
  progress_.EndWait(Now(), received_bytes);
  if (error) return delegate_.OnReadError(error);
  const bool last = done();
  if (last) OnBodyParsed();
  piece_handler_ ? StreamPiece(received_bytes, last) : BufferPiece(received_bytes, last);
}

// The parser stores the trailer of a chunked body as a list of fields, which is not used.
void RequestReader::OnBodyParsed() {
  in_body_ = false;
  parser_->get().base().clear();
}

void RequestReader::StreamPiece(std::size_t received_bytes, bool last) {
  if (last) delegate_.OnStreamedBodyComplete();
  if (!piece_handler_) return;  // the delegate has ended the request
  piece_in_use_ = true;
  UpdateCharge();
  std::exchange(piece_handler_, nullptr)({}, {piece_.data(), received_bytes}, last);
}

void RequestReader::BufferPiece(std::size_t received_bytes, bool last) {
  request_.body.append(piece_.data(), received_bytes);
  request_bytes_ = request_.head.capacity() + request_.body.capacity();
  if (last) request_.body_bytes = request_.body.size();
  UpdateCharge();
  const std::size_t limit_bytes = charge_.budget().Exceeded() ? kSmallPieceBytes : kMaxBufferedBodyBytes;
  if (!last && request_.body.size() <= limit_bytes) return ReadPiece();
  FreeMemory(piece_);
  ShrinkBuffer();
  delegate_.OnRequestBuffered();
  if (!last && !stopped_ && !wants_piece_) ReadAhead();
}

// --- Disconnects and memory

std::size_t RequestReader::ReadAheadRoom() const {
  const std::size_t limit_bytes = charge_.budget().Exceeded() ? kSmallReadBytes : kMaxUnparsedBytes;
  return limit_bytes - std::min(limit_bytes, buffer_.size());
}

bool RequestReader::DetectDisconnect() {
  const int socket = socket_.native_handle();
  if (in_body_) return HasReceivedFin(socket);
  while (const std::size_t room = std::min(ReadAheadRoom(), kSmallReadBytes)) {
    const auto received = ::recv(socket, buffer_.prepare(room).data(), room, MSG_DONTWAIT);
    if (received <= 0) return !IsOpen(received);
    buffer_.commit(static_cast<std::size_t>(received));
    UpdateCharge();
  }
  return HasReceivedFin(socket);
}

void RequestReader::ObserveHeadProgress(Millis now) {
  if (std::exchange(observed_bytes_, buffer_.size()) != buffer_.size()) head_progress_at_ = now;
}

void RequestReader::UpdateCharge() { charge_.Set(request_bytes_ + buffer_.capacity() + piece_.size()); }

void RequestReader::Reset() {
  request_ = {};
  FreeMemory(piece_);
  piece_in_use_ = false;
  request_bytes_ = 0;
  UpdateCharge();
}

void RequestReader::DiscardInput() {
  buffer_.clear();
  ShrinkBuffer();
}

void RequestReader::ShrinkBuffer() {
  buffer_.shrink_to_fit();
  UpdateCharge();
}

}  // namespace gateway::proxy
