// HTTP/1.1 as the lab's parties speak it, over Beast: one request at a time on a connection.
#ifndef GATEWAY_LAB_HTTP_HPP_
#define GATEWAY_LAB_HTTP_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
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

// The server's end of a connection.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  struct Handlers {
    std::function<void(const std::shared_ptr<ServerConnection>&, HttpRequest)>
        request;                                                           // whole; Answer() it once
    std::function<void(const std::shared_ptr<ServerConnection>&)> closed;  // by the peer or by Close(); once
  };
  // `link` may be null; else it outlives the connection.
  ServerConnection(tcp::socket socket, Link* link, std::shared_ptr<const Handlers> handlers);

  void Begin();
  // `passes`, where given, is called when the answer passes the link, just before it is written.
  void Answer(HttpResponse response, std::function<void()> passes = {});
  void Close(bool reset = false);
  bool open() const { return open_; }
  int requests() const { return requests_; }
  // Since when no request is on; nothing while one is.
  std::optional<Millis> idle_since() const { return answering_ ? std::nullopt : std::optional(idle_since_); }
  std::uint64_t tag = 0;  // the owner's, as is the next
  int peer = -1;

 private:
  void Read();
  void Watch();

  tcp::socket socket_;
  Link* const link_;
  const std::shared_ptr<const Handlers> handlers_;
  boost::beast::flat_buffer buffer_;
  std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser_;
  HttpResponse response_;
  int requests_ = 0;
  Millis idle_since_ = MonotonicNow();
  bool open_ = true, answering_ = false, keep_ = true;
};

// Accepts connections at one address. Behind a cut link new ones never come up.
class Listener {
 public:
  using Accepted = std::function<void(tcp::socket)>;
  // Throws std::runtime_error if it can't listen.
  Listener(boost::asio::io_context& io, const tcp::endpoint& address, Link* link, Accepted accepted);
  ~Listener();

 private:
  void Accept();
  void Hush(bool silent);

  boost::asio::io_context& io_;
  tcp::acceptor acceptor_;
  Link* const link_;
  const Accepted accepted_;
  bool silent_ = false;
  std::vector<tcp::socket> stuffing_;  // fill the kernel's queue, so that it drops further calls
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_HTTP_HPP_
