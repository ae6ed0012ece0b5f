// An HTTP/1.1 server on Boost.Beast. Its messages pass the emulated links of the lab. The HTTP client is in
// base/http_client.
#ifndef GATEWAY_LAB_HTTP_SERVER_HPP_
#define GATEWAY_LAB_HTTP_SERVER_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/http_client.hpp"
#include "lab/link.hpp"

namespace gateway::lab {

using tcp = boost::asio::ip::tcp;
using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using base::ClientConnection;
using base::HttpResponse;

HttpResponse MakeResponse(unsigned status, std::string body = {});

// A connection from a client. It handles one request at a time. Pending operations hold shared pointers that
// keep the connection alive. Must be used in the thread that runs the io_context.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  struct Handlers {
    // Called with each complete request. The handler responds with one call of Answer.
    std::function<void(const std::shared_ptr<ServerConnection>&, HttpRequest)> request;
    // Called once, when the connection is closed by the client or by Close.
    std::function<void(const std::shared_ptr<ServerConnection>&)> closed;
  };

  // `link` may be null; otherwise it must outlive the connection.
  ServerConnection(tcp::socket socket, Link* link, std::shared_ptr<const Handlers> handlers);

  // Reads the first request.
  void Begin() { Read(); }

  // Sends the response. Does nothing on a closed connection. Calls `on_write`, if given, when the response
  // has passed the link, just before it is written to the socket.
  void Answer(HttpResponse response, std::function<void()> on_write = {});

  // `reset`: closes with a TCP reset rather than an orderly shutdown.
  void Close(bool reset = false);

  bool open() const { return open_; }

  // Number of requests received.
  int requests() const { return requests_; }

  // The time at which the connection became idle; empty while a request is being answered.
  std::optional<Millis> idle_since() const { return answering_ ? std::nullopt : std::optional(idle_since_); }

  // Set and read by the owner; not used by this class.
  std::uint64_t tag = 0;
  int peer = -1;

 private:
  void Read();
  void OnRead(const boost::system::error_code& ec);
  void Write(HttpResponse response);
  void WatchForClose();
  void OnReadable();
  void Transmit(Link::Direction direction, std::function<void()> deliver);

  tcp::socket socket_;
  Link* const link_;
  const std::shared_ptr<const Handlers> handlers_;
  boost::beast::flat_buffer buffer_;
  std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser_;
  HttpResponse response_;
  int requests_ = 0;
  Millis idle_since_ = MonotonicNow();
  bool open_ = true;
  bool answering_ = false;
  bool keep_alive_ = true;
};

// Accepts connections at one address. While the link is cut, new connections are not established, as if the
// network dropped their packets.
class Listener {
 public:
  using OnAccept = std::function<void(tcp::socket)>;

  // `link` may be null; otherwise it must outlive the listener. Throws std::runtime_error if listening fails.
  Listener(boost::asio::io_context& io, const tcp::endpoint& address, Link* link, OnAccept on_accept);
  ~Listener();

 private:
  void Accept();
  void SetUnreachable(bool unreachable);
  void FillBacklog();

  boost::asio::io_context& io_;
  tcp::acceptor acceptor_;
  Link* const link_;
  const OnAccept on_accept_;
  bool unreachable_ = false;
  std::vector<tcp::socket> backlog_fillers_;
  std::shared_ptr<bool> alive_ =
      std::make_shared<bool>(true);  // false once the listener is destroyed; pending handlers then return
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_HTTP_SERVER_HPP_
