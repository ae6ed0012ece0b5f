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

// Writes one request at a time: at once if its body is complete, else piece by piece as its source delivers
// them.
class RequestWriter {
 public:
  class Delegate : public ConnectionPartOwner {
   public:
    // A part of a streamed request is being written, and the endpoint has to read it.
    virtual void OnWaitForEndpoint() = 0;
    // The next piece of a streamed request was requested, and its client has to send it.
    virtual void OnWaitForBody() = 0;
    // The head and the buffered part of a streamed request were written. May stop the writer.
    virtual void OnBufferedPartSent() = 0;
    // The last byte was handed to the kernel; or a write has failed, so that the endpoint cannot have
    // received the last byte.
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
  // Writes a request whose body continues with `remaining_body`. States the same deadline as the client did,
  // since that counts from the last byte of the request.
  void WriteStreamed(std::shared_ptr<const HttpRequest> request, std::shared_ptr<BodySource> remaining_body);
  // Stops the notifications of the delegate. The buffers of a pending write stay valid until it has
  // completed.
  void Stop();
  // Frees the memory of a request that was written completely.
  void Reset() { head_and_body_ = {}; }

  // Whether the last part of the body is being written, or was.
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
  HttpRequest head_and_body_;  // as sent; without the body if that is streamed
  std::shared_ptr<BodySource> remaining_body_;
  std::string frame_;               // what is written before the current piece
  bool active_ = false;             // a request is being written
  bool last_part_started_ = false;  // see last_part_started()
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_UPSTREAM_REQUEST_WRITER_HPP_
