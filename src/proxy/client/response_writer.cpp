#include "proxy/client/response_writer.hpp"

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <array>
#include <boost/asio/write.hpp>
#include <cstddef>
#include <optional>
#include <utility>

#include "proxy/body_framing.hpp"

namespace gateway::proxy {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

// The longest time without progress of a write.
constexpr Millis kWriteTimeoutMs = 10000;

// Returns the number of sent or buffered bytes that the peer has not acknowledged, or nothing if the system
// does not report it.
std::optional<int> UnacknowledgedBytes(int socket) {
  int bytes = 0;
  if (::ioctl(socket, SIOCOUTQ, &bytes) != 0) return std::nullopt;
  return bytes;
}

}  // namespace

void ResponseWriter::Write(HttpResponse response, std::shared_ptr<BodySource> remaining_body,
                           unsigned version, bool keep_alive) {
  active_ = true;
  response_ = std::move(response);
  response_.version(version);
  remaining_body_ = std::move(remaining_body);
  keep_alive_ = keep_alive;
  remaining_body_ ? WriteHead() : WriteBuffered();
}

void ResponseWriter::Stop() {
  active_ = false;
  charge_.Set(0);
  if (remaining_body_) std::exchange(remaining_body_, nullptr)->Cancel();
}

// A pending write alone does not mean that the client does not read: the kernel accepts more data only after
// the client has acknowledged a large part of the send buffer, which can be several megabytes.
bool ResponseWriter::TimedOut(Millis now) {
  if (!write_pending_) return false;
  const int previous_bytes = unacknowledged_bytes_;
  unacknowledged_bytes_ = UnacknowledgedBytes(socket_.native_handle()).value_or(previous_bytes);
  if (unacknowledged_bytes_ != previous_bytes) progress_at_ = now;
  return now - progress_at_ > kWriteTimeoutMs;
}

bool ResponseWriter::HasUnacknowledgedBytes() const {
  return UnacknowledgedBytes(socket_.native_handle()).value_or(0) > 0;
}

void ResponseWriter::Reset() {
  ReleaseResponse();
  response_ = {};
}

void ResponseWriter::ReleaseResponse() {
  FreeMemory(frame_);
  FreeMemory(response_.body());
  charge_.Set(0);
}

void ResponseWriter::WriteBuffered() {
  response_.keep_alive(keep_alive_);
  response_.prepare_payload();
  SerializeFields();
  write_pending_ = true;
  progress_at_ = Now();
  const std::array buffers = {asio::buffer(std::as_const(frame_)),
                              asio::buffer(std::as_const(response_).body())};
  asio::async_write(socket_, buffers,
                    [this, connection = delegate_.KeepAlive()](error_code error, std::size_t) {
                      if (active_) Finish(error);
                    });
}

// Stores the head as text only.
void ResponseWriter::SerializeFields() {
  frame_ = SerializeHead(response_);
  response_.base().clear();
  FreeMemory(response_.forwarded_lines);
  charge_.Set(frame_.capacity() + response_.body().capacity());
}

// Writes the head and the available part of the body.
void ResponseWriter::WriteHead() {
  chunked_ = !response_.has_content_length() && response_.version() >= 11;
  ends_by_close_ = !response_.has_content_length() && !chunked_;
  if (chunked_) response_.chunked(true);
  if (ends_by_close_) keep_alive_ = false;
  response_.keep_alive(keep_alive_);
  SerializeFields();
  WritePiece(response_.body(), /*last=*/false);
}

void ResponseWriter::WritePiece(std::string_view piece, bool last) {
  write_pending_ = true;
  progress_at_ = Now();
  const FramedPiece framed = FrameBodyPiece(frame_, piece, last, chunked_);
  asio::async_write(socket_, framed,
                    [this, last, connection = delegate_.KeepAlive()](error_code error, std::size_t) {
                      if (active_) OnPieceWritten(error, last);
                    });
}

void ResponseWriter::OnPieceWritten(error_code error, bool last) {
  write_pending_ = false;
  ReleaseResponse();
  if (error) return delegate_.OnResponseAborted();
  last ? Finish(error) : ReadNextPiece();
}

void ResponseWriter::ReadNextPiece() {
  remaining_body_->ReadNext(
      [this, connection = delegate_.KeepAlive()](const error_code& error, std::string_view piece, bool last) {
        if (!active_) return;
        error ? Abort() : WritePiece(piece, last);
      });
}

void ResponseWriter::Finish(error_code error) {
  active_ = false;
  write_pending_ = false;
  remaining_body_.reset();
  delegate_.OnResponseWritten(error);
}

// Called when the source of the body has failed. If only the end of the connection delimits the body,
// configures the socket so that its close resets the connection: an orderly close would make the response
// look complete.
void ResponseWriter::Abort() {
  error_code ignored;
  if (ends_by_close_) socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  remaining_body_.reset();
  delegate_.OnResponseAborted();
}

}  // namespace gateway::proxy
