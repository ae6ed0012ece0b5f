// A client for HTTP/1.1, based on Boost.Beast.
#ifndef GATEWAY_BASE_HTTP_CLIENT_HPP_
#define GATEWAY_BASE_HTTP_CLIENT_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "base/millis.hpp"

namespace gateway::base {

// The maximum size of a message body.
inline constexpr std::size_t kMaxHttpBodyBytes = 64 << 20;

using tcp = boost::asio::ip::tcp;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

// Returns the text of a GET request without a body. `host` is the value of its Host field.
std::string FormatGetRequest(const std::string& target, const std::string& host);

// A connection to an HTTP server that carries one exchange at a time. It is owned by shared pointers, and an
// exchange in progress keeps it alive. Only the thread that runs the io_context may use it.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  enum class Failure {
    kNone,
    kConnectFailed,
    kNoResponse,          // the connection was closed before the first byte of the response
    kIncompleteResponse,  // the connection was closed within the response, or the response is malformed
    kTimedOut,
  };
  struct Result {
    Failure failure = Failure::kNone;
    HttpResponse response;  // complete if `failure` is kNone, otherwise empty
    // Returns whether the response is complete and has status 200.
    bool ok() const { return failure == Failure::kNone && response.result_int() == 200; }
  };
  using ResultCallback = std::function<void(Result)>;

  ClientConnection(boost::asio::io_context& io, tcp::endpoint server)
      : socket_(io), timer_(io), server_(std::move(server)) {}

  // Sends `request`, the complete text of a request with its header, and reads the response. Connects first
  // if the connection has not been established. Calls `on_result` exactly once, at the latest after
  // `timeout`. Calls `on_written`, if given, when the last byte of the request has been passed to the kernel,
  // and never after `on_result`. usable() must be true.
  void Exchange(std::string request, Millis timeout, ResultCallback on_result,
                std::function<void()> on_written = {});

  void Close();

  // Returns whether another exchange can begin: no exchange is in progress, and the connection has neither
  // failed nor been closed.
  bool usable() const { return open_ && !on_result_; }

  // Returns the number of finished exchanges.
  int exchanges() const { return exchanges_; }

  const tcp::endpoint& server() const { return server_; }

  // Calls `on_closed` if the server closes the connection while it is idle. The next Exchange() cancels the
  // notification.
  void NotifyOnIdleClose(std::function<void()> on_closed);

 private:
  void Connect();
  void Write();
  void Read();
  void Finish(Failure failure);

  tcp::socket socket_;
  boost::asio::steady_timer timer_;
  const tcp::endpoint server_;
  boost::beast::flat_buffer buffer_;
  std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser_;
  std::string request_;
  ResultCallback on_result_;  // empty if no exchange is in progress
  std::function<void()> on_written_;
  bool open_ = true;
  bool connected_ = false;
  int exchanges_ = 0;
};

}  // namespace gateway::base

#endif  // GATEWAY_BASE_HTTP_CLIENT_HPP_
