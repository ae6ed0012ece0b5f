#include "proxy/upstream/response_reader.hpp"

#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/status.hpp>
#include <memory>

#include "proxy/upstream/forwarded_response.hpp"

namespace gateway::proxy {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

// The largest number of unparsed bytes in the buffer, for example of a message head or of a chunk header.
constexpr std::size_t kMaxUnparsedBytes = 2 * kMaxHeaderBytes;
// The read size while a body is buffered. Beast's default is 512 bytes.
constexpr std::size_t kBufferedReadBytes = kBodyPieceBytes / 4;

}  // namespace

ResponseReader::ResponseReader(asio::io_context& io, asio::ip::tcp::socket& socket,
                               std::shared_ptr<BufferBudget> budget, Delegate& delegate)
    : io_(io), socket_(socket), charge_(std::move(budget)), delegate_(delegate), buffer_(kMaxUnparsedBytes) {}

// Reads the head separately from the body, because http::async_read of Boost 1.74 does not apply the body
// limit to a Content-Length.
void ResponseReader::ReadHead() {
  parser_.emplace();
  parser_->body_limit(kMaxBodyBytes);
  parser_->header_limit(kMaxHeaderBytes);
  head_parsing_ = {};
  if (buffer_.size() == 0) return AwaitHead();
  // Posts the call, because the delegate may call this function from OnResponseHead.
  asio::post(io_, [this, connection = delegate_.KeepAlive()] { ParseHead(); });
}

void ResponseReader::AwaitHead() {
  socket_.async_wait(tcp::socket::wait_read, [this, connection = delegate_.KeepAlive()](error_code error) {
    error ? delegate_.OnResponseHead(error) : OnHeadReadable();
  });
}

void ResponseReader::OnHeadReadable() {
  error_code error;
  socket_.non_blocking(true, error);
  if (!error) buffer_.commit(socket_.read_some(buffer_.prepare(kHeadReadBytes), error));
  if (error == asio::error::would_block || error == asio::error::interrupted) return AwaitHead();
  if (error == asio::error::eof) error = http::error::end_of_stream;
  UpdateCharge();
  error ? delegate_.OnResponseHead(error) : ParseHead();
}

void ResponseReader::ParseHead() {
  const error_code error = head_parsing_.Parse(*parser_, buffer_);
  error == http::error::need_more ? AwaitHead() : delegate_.OnResponseHead(error);
}

bool ResponseReader::is_interim() const {
  constexpr unsigned kInformationalClass = 1;
  return head().result_int() / 100 == kInformationalClass &&
         head().result() != http::status::switching_protocols;
}

bool ResponseReader::exceeds_body_limit() const {
  return parser_->content_length().value_or(0) > kMaxBodyBytes;
}

void ResponseReader::ReadBody() {
  reading_body_ = true;
  received_bytes_ = 0;
  response_ = MakeForwardedResponse(head());
  parser_->get().base().clear();
  const auto length = parser_->content_length();
  const bool long_body = length.value_or(0) > kMaxBufferedBodyBytes;
  const bool served = response_.result() == http::status::ok;
  if (served && (long_body || charge_.budget().Exceeded())) return delegate_.OnBufferLimitReached();
  if (length && !long_body) response_.body().reserve(static_cast<std::size_t>(*length));
  ReadPiece();
}

bool ResponseReader::has_bounded_hold() const {
  const bool served = head().result() == http::status::ok;
  return !served || !parser_->content_length();
}

void ResponseReader::StartStreaming() { streaming_ = true; }

void ResponseReader::ReadNextPiece(BodySource::PieceHandler handler) {
  piece_handler_ = std::move(handler);
  if (read_pending_) return;
  if (unclaimed_bytes_)
    return StreamPiece(*std::exchange(unclaimed_bytes_, std::nullopt), parser_->is_done());
  ReadPiece();
}

void ResponseReader::Stop() {
  reading_body_ = false;
  streaming_ = false;
  unclaimed_bytes_.reset();
  charge_.Set(0);
}

void ResponseReader::FailPendingPiece() {
  if (piece_handler_) FailPiece(std::exchange(piece_handler_, nullptr));
}

void ResponseReader::FailPiece(BodySource::PieceHandler handler) {
  asio::post(io_, [connection = delegate_.KeepAlive(), handler = std::move(handler)] {
    handler(asio::error::connection_reset, {}, false);
  });
}

void ResponseReader::ReadPiece() {
  if (parser_->is_done()) return OnPiece({}, 0);
  const std::size_t piece_bytes = charge_.budget().Exceeded() ? kBufferedReadBytes : kBodyPieceBytes;
  piece_.resize(piece_bytes);
  buffer_.reserve(streaming_ ? piece_bytes : kBufferedReadBytes);
  UpdateCharge();
  auto& body = parser_->get().body();
  body.data = piece_.data();
  body.size = piece_.size();
  read_pending_ = true;
  http::async_read_some(socket_, buffer_, *parser_,
                        [this, connection = delegate_.KeepAlive()](error_code error, std::size_t) {
                          read_pending_ = false;
                          if (!reading_body_) return;
                          if (error == http::error::need_buffer) error = {};
                          if (!error) ParseBuffered(error);
                          OnPiece(error, piece_.size() - parser_->get().body().size);
                        });
}

// Parses the chunks that have arrived already into the current piece, so that small chunks do not use a turn
// of the event loop each.
void ResponseReader::ParseBuffered(error_code& error) {
  if (parser_->is_done() || buffer_.size() == 0 || parser_->get().body().size == 0) return;
  parser_->eager(true);
  buffer_.consume(parser_->put(buffer_.data(), error));
  parser_->eager(false);
  if (error == http::error::need_more || error == http::error::need_buffer) error = {};
}

void ResponseReader::OnPiece(error_code error, std::size_t received_bytes) {
  if (error) return delegate_.OnResponseBroken(error);
  received_bytes_ += received_bytes;
  if (streaming_ && !piece_handler_) {
    unclaimed_bytes_ = received_bytes;
    return;
  }
  const bool last = parser_->is_done();
  if (last) parser_->get().base().clear();  // the fields of the trailer, which are not used
  streaming_ ? StreamPiece(received_bytes, last) : BufferPiece(received_bytes, last);
}

void ResponseReader::BufferPiece(std::size_t received_bytes, bool last) {
  response_.body().append(piece_.data(), received_bytes);
  if (last) return delegate_.OnResponseBuffered();
  UpdateCharge();
  ReachesBufferLimit() ? delegate_.OnBufferLimitReached() : ReadPiece();
}

bool ResponseReader::ReachesBufferLimit() const {
  return response_.body().size() > kMaxBufferedBodyBytes || charge_.budget().Exceeded();
}

// Posts the calls of the piece handler, because it must not be called before ReadNextPiece returns.
void ResponseReader::StreamPiece(std::size_t received_bytes, bool last) {
  if (received_bytes == 0 && !last) return ReadPiece();
  auto handler = std::exchange(piece_handler_, nullptr);
  if (!last) {
    buffer_.shrink_to_fit();  // the client may take long to read the piece
    UpdateCharge();
    delegate_.OnPieceStreamed();
    return asio::post(
        io_, [this, connection = delegate_.KeepAlive(), handler = std::move(handler), received_bytes] {
          handler({}, {piece_.data(), received_bytes}, false);
        });
  }
  // The posted call owns the memory of the last piece, because the connection may serve another request
  // before the handler is called.
  asio::post(io_, [piece = std::make_shared<std::vector<char>>(std::exchange(piece_, {})),
                   handler = std::move(handler), received_bytes] {
    handler({}, {piece->data(), received_bytes}, true);
  });
  delegate_.OnResponseStreamed();
}

void ResponseReader::UpdateCharge() {
  charge_.Set(response_.forwarded_lines.capacity() + response_.body().capacity() + piece_.size() +
              buffer_.capacity());
}

void ResponseReader::ReleaseMemory() {
  FreeMemory(piece_);
  buffer_.shrink_to_fit();
  charge_.Set(0);
}

}  // namespace gateway::proxy
