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
#include "registry/http_response.hpp"

namespace gateway::registry {

class Session;

// Totals of requests and their bytes, heads included.
struct TrafficTotals {
  std::uint64_t requests = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t bytes_sent = 0;  // of responses whose writing has begun
};

// The owner of sessions. Called in the thread of their io_context.
class SessionHandler {
 public:
  enum class CloseReason { kOrdinary, kSlowReader };

  virtual ~SessionHandler() = default;
  // Bytes of a request were read, or the writing of a response of so many bytes has begun.
  virtual void OnTraffic(std::size_t received, std::size_t sent) = 0;
  // A complete request was read. Expects exactly one Respond(), at once or later.
  virtual void OnRequest(const std::shared_ptr<Session>& session) = 0;
  // Called once, when the session has closed its socket.
  virtual void OnClosed(const std::shared_ptr<Session>& session, CloseReason reason) = 0;
};

// Handles one request at a time, so a slow reader holds at most one response body. Keeps itself alive while
// an operation is pending; `io` must outlive it, and `handler` the open session. In the thread of `io`.
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(boost::asio::io_context& io, boost::asio::ip::tcp::socket socket, SessionHandler& handler);

  // Reads the first request; closes the connection if it does not arrive in time.
  void Start();
  const boost::beast::http::request<boost::beast::http::string_body>& request() const {
    return parser_->get();
  }
  // Counts the request that was read, and the response to it, in `totals`, which must outlive the session.
  void CountIn(TrafficTotals& totals);
  // Sends the response, then reads the next request. No effect on a closed session.
  void Respond(Response response);
  // Calls `on_timeout` unless a response is sent or the session is closed before.
  void SetTimeout(base::Millis timeout, std::function<void()> on_timeout);
  void Close();

 private:
  using CloseReason = SessionHandler::CloseReason;
  void ReadRequest(base::Millis timeout);
  void OnRead(boost::system::error_code error, std::size_t bytes);
  void RejectMalformed(const std::string& message);
  void OnWritten(boost::system::error_code error);
  void CloseAfter(base::Millis timeout, CloseReason reason);
  void CloseFor(CloseReason reason);

  SessionHandler& handler_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_;
  std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser_;
  std::string response_head_;
  Body response_body_;
  std::size_t request_bytes_ = 0;
  TrafficTotals* extra_totals_ = nullptr;  // set by CountIn() until the response
  bool open_ = true;
  bool keep_alive_ = true;
};

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_SESSION_HPP_
