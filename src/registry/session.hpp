// HTTP/1.1 connection of the registry service: reads a request, passes it to a handler, and writes the
// response.
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
#include "registry/http_response.hpp"

namespace gateway::registry {

class Session;

// Totals of requests and their bytes, including headers.
struct TrafficTotals {
  std::uint64_t requests = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t bytes_sent = 0;  // each response is counted when its sending begins
};

// Handler of the events of sessions. Called in the thread of their io_context.
class SessionHandler {
 public:
  enum class CloseReason { kNormal, kSlowReader };

  virtual ~SessionHandler() = default;
  // Called when bytes of a request were received, or when the sending of a response of `sent` bytes has
  // begun.
  virtual void OnTraffic(std::size_t received, std::size_t sent) = 0;
  // Called when a complete request was read. The handler must call Respond() exactly once, at once or later.
  virtual void OnRequest(const std::shared_ptr<Session>& session) = 0;
  // Called once when the session has closed its socket.
  virtual void OnClosed(const std::shared_ptr<Session>& session, CloseReason reason) = 0;
};

// Handles one request at a time, so a slow client occupies at most one response body. Keeps itself alive
// while an operation is pending. `io` must outlive the session. `handler` must not be destroyed before the
// session is closed. Must be used in the thread of `io`.
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(boost::asio::io_context& io, boost::asio::ip::tcp::socket socket, SessionHandler& handler);

  // Starts to read the first request. Closes the connection if the request does not arrive in time.
  void Start();
  const boost::beast::http::request<boost::beast::http::string_body>& request() const {
    return parser_->get();
  }
  // Adds the current request and its response to `totals`, which must outlive the session.
  void CountRequestIn(TrafficTotals& totals);
  // Sends the response, then reads the next request. Has no effect on a closed session.
  void Respond(Response response);
  // Calls `on_timeout` after the timeout, unless a response has been sent or the session has been closed by
  // then.
  void SetTimeout(base::Millis timeout, std::function<void()> on_timeout);
  void Close();

 private:
  using CloseReason = SessionHandler::CloseReason;
  void ReadRequest(base::Millis timeout);
  void OnRead(boost::system::error_code error, std::size_t bytes);
  void RejectMalformed(const std::string& message);
  void OnWritten(boost::system::error_code error);
  void CloseAfter(base::Millis timeout, CloseReason reason);
  void CloseWithReason(CloseReason reason);

  SessionHandler& handler_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_;
  std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser_;
  std::string response_head_;
  Body response_body_;
  std::size_t request_bytes_ = 0;
  TrafficTotals* extra_totals_ = nullptr;  // set from CountRequestIn() until the response
  bool open_ = true;
  bool keep_alive_ = true;
};

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_SESSION_HPP_
