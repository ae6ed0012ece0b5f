// Writes requests on a connection to an endpoint.
#ifndef GATEWAY_PROXY_UPSTREAM_REQUEST_WRITER_HPP_
#define GATEWAY_PROXY_UPSTREAM_REQUEST_WRITER_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "proxy/body_source.hpp"
#include "proxy/clock.hpp"
#include "proxy/connection_part.hpp"
#include "proxy/http_types.hpp"

namespace gateway::proxy {

// Writes one request at a time. A complete body is written at once, a streamed body piece by piece as its
// source delivers the pieces.
class RequestWriter {
 public:
  class Delegate : public ConnectionPartOwner {
   public:
    // The write of a part of a streamed request has begun. It completes when the endpoint reads the part.
    virtual void OnWaitForEndpoint() = 0;
    // The next piece of a streamed request was requested from its source. The client has to send the piece.
    virtual void OnWaitForBody() = 0;
    // The head and the buffered part of a streamed request were written. May stop the writer.
    virtual void OnBufferedPartSent() = 0;
    // The last byte was handed to the kernel or, with an `error`, a write has failed. After a failed write
    // the endpoint cannot have received the last byte.
    virtual void OnRequestSent(boost::system::error_code error) = 0;
    // The body's source has failed: the request will never be complete.
    virtual void OnBodyFailed() = 0;

   protected:
    ~Delegate() = default;
  };

  // The socket and the delegate belong to the connection, and outlive this object.
  RequestWriter(boost::asio::ip::tcp::socket& socket, Delegate& delegate)
      : socket_(socket), delegate_(delegate) {}

  // Writes a complete request, and states the remaining time until `deadline` in it.
  void Write(const HttpRequest& request, Millis deadline);
  // Writes a request whose body continues with `remaining_body`. Keeps the client's Req-Deadline, because a
  // deadline counts from the last byte of the request.
  void WriteStreamed(std::shared_ptr<const HttpRequest> request, std::shared_ptr<BodySource> remaining_body);
  // Stops the notifications of the delegate. The buffers of a pending write stay valid until it has
  // completed.
  void Stop();
  // Frees the memory of a request that was written completely.
  void Reset() { head_and_body_ = {}; }

  // Whether the write of the last part of the request has begun.
  bool last_part_started() const { return last_part_started_; }
  // The traffic class and the body size of the current request. The size is 0 for a streamed request.
  std::string_view class_name() const;
  std::size_t body_bytes() const { return head_and_body_.body().size(); }

 private:
  void PrepareHead(const HttpRequest& request);
  void ReadNextPiece();
  void WritePiece(std::string_view piece, bool last);
  void OnPieceWritten(boost::system::error_code error);

  boost::asio::ip::tcp::socket& socket_;
  Delegate& delegate_;
  HttpRequest head_and_body_;  // the request as sent; without the body of a streamed request
  std::shared_ptr<BodySource> remaining_body_;
  std::string frame_;               // what is written before the current piece
  bool active_ = false;             // a request is being written
  bool last_part_started_ = false;  // see last_part_started()
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_UPSTREAM_REQUEST_WRITER_HPP_
