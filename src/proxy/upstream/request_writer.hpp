// Writes requests to a connection to an endpoint.
#ifndef GATEWAY_PROXY_UPSTREAM_REQUEST_WRITER_HPP_
#define GATEWAY_PROXY_UPSTREAM_REQUEST_WRITER_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <memory>
#include <string>

#include "proxy/body_source.hpp"
#include "proxy/clock.hpp"
#include "proxy/connection_part.hpp"
#include "proxy/forwarded_request.hpp"

namespace gateway::proxy {

// Writes one request at a time. Writes a complete body at once, and a streamed body piece by piece as the
// body's source delivers the pieces.
class RequestWriter {
 public:
  class Delegate : public ConnectionPartOwner {
   public:
    // Called when the write of a part of a streamed request begins. The writer then waits for the endpoint to
    // read the part.
    virtual void OnWaitForEndpoint() = 0;
    // Called when the writer requests the next piece of a streamed request. The writer then waits for the
    // client to send the piece.
    virtual void OnWaitForBody() = 0;
    // Called when the head and the buffered part of a streamed request were written. May stop the writer.
    virtual void OnBufferedPartSent() = 0;
    // Called when the last byte was handed to the kernel, or with an `error` when a write has failed. After a
    // failed write, the endpoint cannot have received the last byte.
    virtual void OnRequestSent(boost::system::error_code error) = 0;
    // Called when the body's source has failed, so that the request will never be complete.
    virtual void OnBodyFailed() = 0;

   protected:
    ~Delegate() = default;
  };

  // The socket and the delegate belong to the connection, and outlive this object.
  RequestWriter(boost::asio::ip::tcp::socket& socket, Delegate& delegate)
      : socket_(socket), delegate_(delegate) {}

  // Writes a complete request. Sets the value of Req-Deadline to the remaining time until `deadline`.
  void Write(std::shared_ptr<const ForwardedRequest> request, Millis deadline);
  // Writes a request with a streamed body: the part in `request`, followed by `remaining_body`. Sets the
  // value of Req-Deadline as Write does: the client may have sent the complete request already.
  void WriteStreamed(std::shared_ptr<const ForwardedRequest> request,
                     std::shared_ptr<BodySource> remaining_body, Millis deadline);
  // Stops the calls to the delegate. The buffers of a pending write stay valid until the write has completed.
  void Stop();

  // Whether the write of the last part of the request has begun.
  bool last_part_started() const { return last_part_started_; }
  // The body size of the current request; 0 for a streamed request.
  std::size_t body_bytes() const { return body_bytes_; }

 private:
  void ReadNextPiece();
  void WritePiece(std::string_view piece, bool last);
  void OnPieceWritten(boost::system::error_code error);

  boost::asio::ip::tcp::socket& socket_;
  Delegate& delegate_;
  std::shared_ptr<BodySource> remaining_body_;
  std::string frame_;               // bytes to write before the current piece
  bool active_ = false;             // a request is being written
  bool last_part_started_ = false;  // see last_part_started()
  bool chunked_ = false;            // the body has chunked transfer coding
  std::size_t body_bytes_ = 0;      // see body_bytes()
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_UPSTREAM_REQUEST_WRITER_HPP_
