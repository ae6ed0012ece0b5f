// The server's end of HTTP/1.1, over Beast, behind the links of the lab. The client's end is
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

// A connection from a client, with one request at a time. Owned by shared pointers: what is under way keeps
// it alive. To be used in the thread that runs the io_context.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  struct Handlers {
    // A complete request, to be answered once by Answer.
    std::function<void(const std::shared_ptr<ServerConnection>&, HttpRequest)> request;
    // The connection was closed, by the client or by Close. Called once.
    std::function<void(const std::shared_ptr<ServerConnection>&)> closed;
  };

  // `link` may be null; otherwise it outlives the connection.
  ServerConnection(tcp::socket socket, Link* link, std::shared_ptr<const Handlers> handlers);

  // Reads the first request.
  void Begin() { Read(); }

  // Does nothing on a closed connection. `on_write`, where given, is called when the answer has passed the
  // link, just before it is written.
  void Answer(HttpResponse response, std::function<void()> on_write = {});

  // `reset`: with a TCP reset in place of an orderly end.
  void Close(bool reset = false);

  bool open() const { return open_; }

  // Requests that have been received.
  int requests() const { return requests_; }

  // Since when it has been idle; nothing while a request is answered.
  std::optional<Millis> idle_since() const { return answering_ ? std::nullopt : std::optional(idle_since_); }

  // For the owner's use.
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

// Accepts connections at one address. Behind a cut link new connections are not established, as if the
// network lost their packets.
class Listener {
 public:
  using OnAccept = std::function<void(tcp::socket)>;

  // `link` may be null; otherwise it outlives the listener. Throws std::runtime_error where it can't listen.
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
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // false for handlers that come too late
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_HTTP_SERVER_HPP_
