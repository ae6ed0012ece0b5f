// One HTTP/1.1 connection of the registry service: reads a request, hands it over, writes the response.
#ifndef GATEWAY_REGISTRY_SESSION_HPP_
#define GATEWAY_REGISTRY_SESSION_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/millis.hpp"
#include "registry/response.hpp"

namespace gateway::registry {

class Session;

// Totals of requests and their bytes, heads included.
struct Traffic {
  std::uint64_t requests = 0;
  std::uint64_t bytes_in = 0;
  std::uint64_t bytes_out = 0;  // of answers begun
};

// The owner of sessions. Called in the thread of their io_context.
class SessionHandler {
 public:
  enum class CloseReason { kOrdinary, kSlowReader };

  virtual ~SessionHandler() = default;
  // Bytes were read of a request, or the writing of so many bytes of an answer has begun.
  virtual void OnBytes(std::size_t in, std::size_t out) = 0;
  // A whole request was read. Expects exactly one Answer(), at once or later.
  virtual void OnRequest(const std::shared_ptr<Session>& session) = 0;
  // Called once, when the session has closed its socket.
  virtual void OnClosed(const std::shared_ptr<Session>& session, CloseReason reason) = 0;
};

// Handles one request at a time, so a slow reader holds at most one body. Keeps itself alive while an
// operation is pending; `handler` must outlive the open session.
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(boost::asio::io_context& io, boost::asio::ip::tcp::socket socket, SessionHandler& handler);

  // Reads the first request; closes the connection if it is not there in time.
  void Start();
  const boost::beast::http::request<boost::beast::http::string_body>& request() const {
    return parser_->get();
  }
  // Counts the request that was read, and the answer to it, in another total too.
  void CountIn(Traffic& total);
  // Sends the response, then reads the next request. No effect on a closed session.
  void Answer(Response response);
  // Calls `expired` unless the session is answered or closed before.
  void WaitAtMost(base::Millis time, std::function<void()> expired);
  void Close();

 private:
  using CloseReason = SessionHandler::CloseReason;
  void ReadWithin(base::Millis time);
  void OnRead(boost::system::error_code error, std::size_t bytes);
  void RejectRequest(const std::string& message);
  void OnWritten(boost::system::error_code error);
  void CloseAfter(base::Millis time, CloseReason reason);
  void CloseFor(CloseReason reason);

  SessionHandler& handler_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_;
  std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser_;
  std::string response_head_;
  Body response_body_;
  std::size_t request_bytes_ = 0;
  Traffic* also_counted_in_ = nullptr;  // until the request is answered
  bool open_ = true;
  bool keep_alive_ = true;
};

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_SESSION_HPP_
