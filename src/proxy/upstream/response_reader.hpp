// Reads responses from a connection to an endpoint.
#ifndef GATEWAY_PROXY_UPSTREAM_RESPONSE_READER_HPP_
#define GATEWAY_PROXY_UPSTREAM_RESPONSE_READER_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "proxy/body_source.hpp"
#include "proxy/buffer_budget.hpp"
#include "proxy/connection_part.hpp"
#include "proxy/head_parsing.hpp"
#include "proxy/http_types.hpp"

namespace gateway::proxy {

// Reads one response at a time: first the head, then the body. A small body is buffered if the budget allows
// it. For any other body, the delegate decides whether the rest of the body is streamed.
class ResponseReader {
 public:
  class Delegate : public ConnectionPartOwner {
   public:
    // Called when a head has arrived or the read has failed. Also called if the endpoint closes an idle
    // connection or sends data on it. After the head of an interim response the delegate calls ReadHead,
    // after any other head ReadBody.
    virtual void OnResponseHead(boost::system::error_code error) = 0;
    // Called when the complete response is buffered.
    virtual void OnResponseBuffered() = 0;
    // Called when the limit for buffering the body is reached. The delegate calls StartStreaming or Stop.
    virtual void OnBufferLimitReached() = 0;
    // Called before a piece of a streamed body is delivered, except for the last piece.
    virtual void OnPieceStreamed() = 0;
    // Called before the last piece of a streamed body is delivered.
    virtual void OnResponseStreamed() = 0;
    // Called when reading the body has failed, or the body violates HTTP.
    virtual void OnResponseBroken(boost::system::error_code error) = 0;

   protected:
    ~Delegate() = default;
  };

  // The socket and the delegate belong to the connection, and outlive this object.
  ResponseReader(boost::asio::io_context& io, boost::asio::ip::tcp::socket& socket,
                 std::shared_ptr<BufferBudget> budget, Delegate& delegate);

  // Begins to read a head. Such a read is also pending while the connection is idle.
  void ReadHead();
  // Reads the body of the response whose head has arrived.
  void ReadBody();
  // Whether the response may be held back only for a limited time, whether or not more of it arrives: its end
  // is unknown, or its head alone decides the result of the attempt.
  bool has_bounded_hold() const;
  // Whether a body is being read, and how many bytes of it were received.
  bool reading_body() const { return reading_body_; }
  std::uint64_t received_bytes() const { return received_bytes_; }
  // Whether the body is being buffered.
  bool buffering() const { return reading_body_ && !streaming_; }
  // Begins to stream the body; see ReadNextPiece. ReleaseResponse returns the head and the part of the body
  // that is buffered already. May be called while a read is pending.
  void StartStreaming();
  // Reads the next piece of a streamed body, see BodySource::ReadNext. May be called only between
  // StartStreaming and the last piece.
  void ReadNextPiece(BodySource::PieceHandler handler);
  // Stops the calls to the delegate about the body, and releases the charge to the buffer budget. A pending
  // piece handler stays pending.
  void Stop();
  // If a piece handler is pending, calls it with an error after this function has returned.
  void FailPendingPiece();
  // Calls `handler` with an error after this function has returned. Used for a handler that is passed after
  // the attempt has ended.
  void FailPiece(BodySource::PieceHandler handler);

  // The head of the current response. After ReadBody, use response().
  const HttpResponse::header_type& head() const { return parser_->get().base(); }
  // Whether the head belongs to an interim response such as 100 Continue, which precedes the final response.
  // 101 Switching Protocols does not count as interim, because the gateway never requests a switch.
  bool is_interim() const;
  // Whether the Content-Length exceeds the limit on bodies.
  bool exceeds_body_limit() const;
  // The buffered part of the response.
  const HttpResponse& response() const { return response_; }
  HttpResponse ReleaseResponse() { return std::exchange(response_, {}); }
  bool streaming() const { return streaming_; }
  // Whether the endpoint keeps the connection open, and has sent nothing after the response.
  bool AllowsReuse() const { return parser_->keep_alive() && buffer_.size() == 0; }
  // Frees the memory of the body and of the read buffer, for a connection that becomes idle.
  void ReleaseMemory();

 private:
  void AwaitHead();
  void OnHeadReadable();
  void ParseHead();
  void ReadPiece();
  void ParseBuffered(boost::system::error_code& error);
  void OnPiece(boost::system::error_code error, std::size_t received_bytes);
  void BufferPiece(std::size_t received_bytes, bool last);
  void StreamPiece(std::size_t received_bytes, bool last);
  bool ReachesBufferLimit() const;
  void UpdateCharge();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::socket& socket_;
  BufferCharge charge_;
  Delegate& delegate_;
  boost::beast::flat_buffer buffer_;  // bytes that are not parsed yet
  std::optional<boost::beast::http::response_parser<boost::beast::http::buffer_body>> parser_;
  HeadParsing head_parsing_;
  std::vector<char> piece_;
  HttpResponse response_;
  BodySource::PieceHandler piece_handler_;  // handler of the pending ReadNextPiece; empty if there is none
  std::uint64_t received_bytes_ = 0;        // bytes of the current body
  bool reading_body_ = false;
  bool read_pending_ = false;
  // Size of a piece that arrived after StartStreaming and before the first ReadNextPiece.
  std::optional<std::size_t> unclaimed_bytes_;
  bool streaming_ = false;
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_UPSTREAM_RESPONSE_READER_HPP_
