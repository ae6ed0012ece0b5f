// Reads requests from a client's connection.
#ifndef GATEWAY_PROXY_CLIENT_REQUEST_READER_HPP_
#define GATEWAY_PROXY_CLIENT_REQUEST_READER_HPP_

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
#include "proxy/client/body_arrival.hpp"
#include "proxy/client/body_progress.hpp"
#include "proxy/client/request_validation.hpp"
#include "proxy/clock.hpp"
#include "proxy/connection_part.hpp"
#include "proxy/forwarded_request.hpp"
#include "proxy/head_parsing.hpp"
#include "proxy/http_types.hpp"

namespace gateway::proxy {

// Reads one request at a time: first the head, then the body. A small body is buffered if the budget allows
// it; any other body is streamed piece by piece. Also reads ahead: past the current request, and in a body
// that no attempt reads yet, because only a read can detect that the client has closed the connection.
//
// Reads a limited number of bytes in each turn of the event loop, however many the client has sent.
class RequestReader {
 public:
  class Delegate : public ConnectionPartOwner {
   public:
    // Called when the head is complete. request() returns the head. The delegate then calls ReadBody or
    // writes a response.
    virtual void OnRequestHead() = 0;
    // Called when the body is complete, or when the limit for buffering the body is reached. In the second
    // case in_body() is true. The delegate takes the request with ReleaseRequest.
    virtual void OnRequestBuffered() = 0;
    // Called when the last byte of a streamed body was read. The last piece is delivered afterwards.
    virtual void OnStreamedBodyComplete() = 0;
    // Called when the request is malformed, or the connection has ended before the request was complete.
    virtual void OnReadError(boost::system::error_code error) = 0;

   protected:
    ~Delegate() = default;
  };

  // The socket and the delegate belong to the connection, and outlive this object.
  RequestReader(boost::asio::io_context& io, boost::asio::ip::tcp::socket& socket,
                std::shared_ptr<BufferBudget> budget, Delegate& delegate);

  // Begins to read the next request.
  void ReadHead();
  // Reads the body of the request after OnRequestHead. `request_started_at` is the time at which the first
  // byte of the request arrived, or an earlier time. `last_arrival_at` is the time at which the last bytes
  // arrived before the gateway read the head; it is used only if may_stream().
  void ReadBody(Millis request_started_at, Millis last_arrival_at);
  // Reads the next piece of a streamed body, see BodySource::ReadNext. May be called only while the request
  // is incomplete.
  void ReadNextPiece(BodySource::PieceHandler handler);
  // Stops the calls to the delegate until the next call to ReadHead. A pending piece handler stays pending.
  void Stop() { stopped_ = true; }
  // If a piece handler is pending, calls it with an error after this function has returned.
  void FailPendingPiece();

  // The head of the request. Valid until ReadBody is called.
  const RequestHead& head() const { return parser_->get().base(); }
  // The head as it is forwarded, and the buffered part of the body.
  ForwardedRequest ReleaseRequest() { return std::exchange(request_, {}); }
  // Returns whether the request must be refused because the budget of buffers is used up. Short requests may
  // exceed it a little, so that long ones do not displace them.
  bool MustRefuse() const;
  RequestFraming framing() const;
  // Whether the client wants the connection to stay open after this request.
  bool keep_alive() const { return parser_->keep_alive(); }
  // Whether the complete request has been parsed.
  bool done() const { return parser_->is_done(); }
  // Whether the body may be streamed: it is chunked, or longer than the part that is always buffered.
  bool may_stream() const;
  // Whether the head has been read and the body is incomplete.
  bool in_body() const { return in_body_; }
  // Whether ReadNextPiece was called for the current body.
  bool streaming_started() const { return streaming_started_; }
  // Whether bytes that follow the current request have been read. They belong to the next request.
  bool has_unparsed_bytes() const { return buffer_.size() > 0; }

  // Returns whether the buffer has room to read further past the current request.
  bool CanReadAhead() const { return ReadAheadRoom() > 0; }
  // Checks the socket, and returns whether the client has closed its side or the connection has failed. Reads
  // past the current request if the body of the request is complete. A close that the system has not received
  // yet, because more unread bytes precede it than the system buffers, is not detected.
  bool DetectDisconnect();

  // Returns the earliest time at which the client can have sent the last byte of the body, by what was
  // observed until now. To be called only for a body that is streamed.
  Millis EarliestCompletion();
  // As EarliestCompletion, by what was observed until the last read.
  Millis earliest_completion() const { return arrival_.earliest_completion(); }

  // Returns whether the client sends the body too slowly.
  bool BodyTimedOut(Millis now) const { return progress_.TimedOut(now); }
  // Records whether more of a head has arrived since the last call. Called at regular intervals.
  void ObserveHeadProgress(Millis now);
  // The last time at which progress of the current request was observed.
  Millis last_progress_at() const { return in_body_ ? progress_.wait_started_at() : head_progress_at_; }

  // Discards the request, and releases its charge to the buffer budget.
  void Reset();
  // Frees the memory of an empty buffer, for a connection that becomes idle.
  void ShrinkBuffer();
  void ReleaseCharge() { charge_.Set(0); }
  // Discards the input that was not parsed, for a connection that serves no further request.
  void DiscardInput();
  // The memory that the current request and the buffers use.
  std::size_t held_bytes() const { return charge_.bytes(); }

 private:
  void AwaitInput();
  void OnReadable();
  void ReadInput(std::size_t limit_bytes, boost::system::error_code& error);
  std::optional<std::size_t> UnreadBytes();
  // The bytes of the body that were read from the socket.
  std::uint64_t read_bytes() const { return parsed_bytes_ + buffer_.size(); }
  bool IsIncompleteWith(std::uint64_t arrived_bytes) const;
  void Continue();
  void ParseHead();
  void SendContinue();
  void ReadPiece();
  void ParsePiece();
  void AwaitPiece();
  void ReadAhead();
  void ObserveArrival();
  void OnBodyParsed();
  std::size_t ReadAheadRoom() const;
  void OnPiece(boost::system::error_code error, std::size_t received_bytes);
  void StreamPiece(std::size_t received_bytes, bool last);
  void BufferPiece(std::size_t received_bytes, bool last);
  void UpdateCharge();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::socket& socket_;
  BufferCharge charge_;  // the share of the buffer budget that the buffers of this object use
  Delegate& delegate_;
  boost::beast::flat_buffer buffer_;  // bytes that are not parsed yet
  std::optional<boost::beast::http::request_parser<boost::beast::http::buffer_body>> parser_;
  ForwardedRequest request_;
  std::vector<char> piece_;
  BodySource::PieceHandler piece_handler_;  // handler of the pending ReadNextPiece; empty if there is none
  BodyProgress progress_;
  BodyArrival arrival_;
  std::uint64_t parsed_bytes_ = 0;     // bytes of the body that were parsed, including its framing
  std::size_t request_bytes_ = 0;      // size of the head and the buffered body, also after ReleaseRequest
  bool receive_buffer_empty_ = false;  // whether the socket had no unread bytes when the wait began
  bool awaits_input_ = false;          // a wait for readability is pending
  bool wants_piece_ = false;           // a piece of the body is to be parsed as soon as there is input
  bool piece_in_use_ = false;          // the receiver of a streamed body uses the last piece
  bool stopped_ = false;
  bool reading_head_ = false;
  bool in_body_ = false;
  bool streaming_started_ = false;
  HeadParsing head_parsing_;
  std::size_t observed_bytes_ = 0;  // size of the buffer at the last ObserveHeadProgress
  Millis head_progress_at_ = 0;
};

// Returns whether a read error means that a message violates HTTP. Any other read error means that the
// connection has ended.
bool IsProtocolViolation(boost::system::error_code error);

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_CLIENT_REQUEST_READER_HPP_
