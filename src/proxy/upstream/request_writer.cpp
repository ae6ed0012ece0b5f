#include "proxy/upstream/request_writer.hpp"

#include <array>
#include <boost/asio/write.hpp>
#include <utility>
#include <vector>

#include "proxy/body_framing.hpp"

namespace gateway::proxy {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

}  // namespace

void RequestWriter::Write(std::shared_ptr<const ForwardedRequest> request, Millis deadline) {
  active_ = true;
  last_part_started_ = true;
  body_bytes_ = request->body.size();
  frame_ = AttemptFields(*request, deadline);
  const std::array buffers = {asio::buffer(request->head), asio::buffer(std::as_const(frame_)),
                              asio::buffer(request->body)};
  asio::async_write(socket_, buffers,
                    [this, request = std::move(request), connection = delegate_.KeepAlive()](error_code error,
                                                                                             std::size_t) {
                      if (active_) delegate_.OnRequestSent(error);
                    });
}

void RequestWriter::WriteStreamed(std::shared_ptr<const ForwardedRequest> request,
                                  std::shared_ptr<BodySource> remaining_body, Millis deadline) {
  active_ = true;
  last_part_started_ = false;
  body_bytes_ = 0;
  remaining_body_ = std::move(remaining_body);
  chunked_ = !request->body_bytes;
  delegate_.OnWaitForEndpoint();
  frame_ = AttemptFields(*request, deadline);
  const FramedPiece framed = FrameBodyPiece(frame_, request->body, /*last=*/false, chunked_);
  std::vector<asio::const_buffer> buffers = {asio::buffer(request->head)};
  buffers.insert(buffers.end(), framed.begin(), framed.end());
  asio::async_write(socket_, buffers,
                    [this, request = std::move(request), connection = delegate_.KeepAlive()](
                        error_code error, std::size_t) mutable {
                      if (!active_) return;
                      if (error) return delegate_.OnRequestSent(error);
                      request.reset();
                      delegate_.OnBufferedPartSent();
                      if (active_) ReadNextPiece();
                    });
}

void RequestWriter::Stop() {
  active_ = false;
  remaining_body_.reset();
}

void RequestWriter::ReadNextPiece() {
  delegate_.OnWaitForBody();
  remaining_body_->ReadNext(
      [this, connection = delegate_.KeepAlive()](const error_code& error, std::string_view piece, bool last) {
        if (!active_) return;
        error ? delegate_.OnBodyFailed() : WritePiece(piece, last);
      });
}

void RequestWriter::WritePiece(std::string_view piece, bool last) {
  last_part_started_ = last;
  delegate_.OnWaitForEndpoint();
  frame_.clear();
  const FramedPiece framed = FrameBodyPiece(frame_, piece, last, chunked_);
  asio::async_write(socket_, framed,
                    [this, connection = delegate_.KeepAlive()](error_code error, std::size_t) {
                      if (active_) OnPieceWritten(error);
                    });
}

void RequestWriter::OnPieceWritten(error_code error) {
  last_part_started_ || error ? delegate_.OnRequestSent(error) : ReadNextPiece();
}

}  // namespace gateway::proxy
