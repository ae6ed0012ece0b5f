// The client's end of HTTP/1.1, over Beast.
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

// The largest body that a message may have, in bytes.
inline constexpr std::size_t kMaxHttpBodyBytes = 64 << 20;

using tcp = boost::asio::ip::tcp;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

// The text of a GET request without a body. `host` is the value of its Host field.
std::string FormatGetRequest(const std::string& target, const std::string& host);

// A connection to an HTTP server, with one exchange at a time. Owned by shared pointers: an exchange under
// way keeps it alive. To be used in the thread that runs the io_context.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  enum class Failure {
    kNone,
    kConnectFailed,
    kNoResponse,          // the connection ended before the first byte of the response
    kIncompleteResponse,  // the connection ended within the response, or the response is malformed
    kTimedOut,
  };
  struct Result {
    Failure failure = Failure::kNone;
    HttpResponse response;  // kNone: complete
    bool ok() const { return failure == Failure::kNone && response.result_int() == 200; }
  };
  using Done = std::function<void(Result)>;

  ClientConnection(boost::asio::io_context& io, tcp::endpoint server)
      : socket_(io), timer_(io), server_(std::move(server)) {}

  // Sends a request, complete with its header, and reads the response. Connects first where that has not been
  // done. `done` is called exactly once, after `timeout` at the latest; `written`, where given, before it,
  // when the last byte of the request has been handed to the system. usable() must be true.
  void Exchange(std::string request, Millis timeout, Done done, std::function<void()> written = {});

  void Close();

  // Whether another exchange can begin: none is under way, and the connection has not failed or been closed.
  bool usable() const { return open_ && !done_; }

  // Exchanges that have ended.
  int exchanges() const { return exchanges_; }

  const tcp::endpoint& server() const { return server_; }

  // Calls `closed` when the server closes the connection while it is idle. Ends with the next Exchange.
  void NotifyOnIdleClose(std::function<void()> closed);

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
  Done done_;  // empty: no exchange is under way
  std::function<void()> written_;
  bool open_ = true;
  bool connected_ = false;
  int exchanges_ = 0;
};

}  // namespace gateway::base

#endif  // GATEWAY_BASE_HTTP_CLIENT_HPP_
