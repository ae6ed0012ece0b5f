// HTTP/1.1 from the client's end, over Beast: for the parts that call others, and for the lab's parties.
#ifndef GATEWAY_BASE_HTTP_CLIENT_HPP_
#define GATEWAY_BASE_HTTP_CLIENT_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/base.hpp"

namespace gateway::base {

using tcp = boost::asio::ip::tcp;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

// The client's end. One exchange at a time; a connection that failed is of no further use.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  enum class Failure { kNone, kNoConnection, kNoAnswer, kBroken, kGivenUp };
  struct Result {
    Failure failure = Failure::kNone;
    HttpResponse response;
  };
  using Done = std::function<void(Result)>;

  ClientConnection(boost::asio::io_context& io, tcp::endpoint to) : socket_(io), timer_(io), to_(to) {}

  // Connects first where it has not yet. `written`, where given, is called when the last byte has left. Gives
  // up after `patience`.
  void Exchange(std::string request, Millis patience, Done done, std::function<void()> written = {});
  void Close();
  bool usable() const { return open_ && !done_; }
  int exchanges() const { return exchanges_; }
  const tcp::endpoint& to() const { return to_; }

  // Tells when the peer closes while no exchange is on; until the next Exchange().
  void WatchIdle(std::function<void()> closed);

 private:
  void Write();
  void Finish(Failure failure);

  tcp::socket socket_;
  boost::asio::steady_timer timer_;
  const tcp::endpoint to_;
  boost::beast::flat_buffer buffer_;
  std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser_;
  std::string request_;
  Done done_;
  std::function<void()> written_;
  bool open_ = true, connected_ = false;
  int exchanges_ = 0;
};

}  // namespace gateway::base

#endif  // GATEWAY_BASE_HTTP_CLIENT_HPP_
