// Writes responses to a client's connection.
#ifndef GATEWAY_PROXY_CLIENT_RESPONSE_WRITER_HPP_
#define GATEWAY_PROXY_CLIENT_RESPONSE_WRITER_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "proxy/body_source.hpp"
#include "proxy/buffer_budget.hpp"
#include "proxy/clock.hpp"
#include "proxy/connection_part.hpp"
#include "proxy/http_types.hpp"

namespace gateway::proxy {

// Writes one response at a time. Writes a complete body at once, and a streamed body piece by piece as the
// body's source delivers the pieces.
class ResponseWriter {
 public:
  class Delegate : public ConnectionPartOwner {
   public:
    // Called when the last byte was handed to the kernel, or when the write of a buffered response has
    // failed.
    virtual void OnResponseWritten(boost::system::error_code error) = 0;
    // Called when the write of a streamed response has failed, or when the body's source has failed. The
    // delegate must close the socket, which shows the client that the response is incomplete.
    virtual void OnResponseAborted() = 0;

   protected:
    ~Delegate() = default;
  };

  // The socket and the delegate belong to the connection, and outlive this object.
  ResponseWriter(boost::asio::ip::tcp::socket& socket, std::shared_ptr<BufferBudget> budget,
                 Delegate& delegate)
      : socket_(socket), charge_(std::move(budget)), delegate_(delegate) {}

  // Starts to write a response. `version` is the HTTP version of the request (10 or 11). `remaining_body` is
  // the part of the body that follows the part in `response`, or null. `keep_alive` is true if the connection
  // may stay open afterwards. Unless Stop is called, the writer calls either OnResponseWritten or
  // OnResponseAborted exactly once, after this function has returned.
  void Write(HttpResponse response, std::shared_ptr<BodySource> remaining_body, unsigned version,
             bool keep_alive);
  // Stops the calls to the delegate, and cancels the remaining body if there is one.
  void Stop();

  // Returns whether the connection may stay open after the current response. False if the end of the
  // connection delimits the body.
  bool keep_alive() const { return keep_alive_; }
  // The status of the current response.
  unsigned status() const { return response_.result_int(); }
  // Returns whether the client does not read: a write is pending, and no more data was acknowledged for the
  // duration of the write timeout. To be called at regular intervals.
  bool TimedOut(Millis now);
  // The last time at which progress of the current response was observed: the start of a write, or an
  // acknowledgment by the client that TimedOut has observed.
  Millis progress_at() const { return progress_at_; }
  // Returns whether the client's system has not acknowledged all that was written.
  bool HasUnacknowledgedBytes() const;
  // Frees the memory of the response that was written.
  void Reset();

 private:
  void SerializeFields();
  void ReleaseResponse();
  void WriteBuffered();
  void WriteHead();
  void WritePiece(std::string_view piece, bool last);
  void OnPieceWritten(boost::system::error_code error, bool last);
  void ReadNextPiece();
  void Finish(boost::system::error_code error);
  void Abort();

  boost::asio::ip::tcp::socket& socket_;
  BufferCharge charge_;  // the share of the buffer budget that the buffered body uses
  Delegate& delegate_;
  HttpResponse response_;
  std::shared_ptr<BodySource> remaining_body_;
  std::string frame_;             // bytes to write before the current piece
  bool active_ = false;           // a response is being written
  bool write_pending_ = false;    // the kernel has not accepted all of the last write yet
  Millis progress_at_ = 0;        // start of the last write, or the later time at which progress was observed
  int unacknowledged_bytes_ = 0;  // at the last call of TimedOut
  bool keep_alive_ = true;        // the connection may stay open after the response
  bool chunked_ = false;          // the body has chunked transfer coding
  bool ends_by_close_ = false;    // neither Content-Length nor chunked coding delimits the body
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_CLIENT_RESPONSE_WRITER_HPP_
