// One HTTP call to a list service.
#ifndef GATEWAY_PROXY_DISCOVERY_LIST_CALL_HPP_
#define GATEWAY_PROXY_DISCOVERY_LIST_CALL_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/error_code.hpp>
#include <memory>
#include <string>
#include <variant>

#include "proxy/clock.hpp"
#include "proxy/discovery/endpoint_list.hpp"
#include "proxy/discovery/list_error.hpp"

namespace gateway::proxy {

// A GET request to a list service for the endpoint list. A call ends exactly once: with the list, with an
// error or by Abandon(). A std::shared_ptr must own the call, because its asynchronous operations share the
// ownership. To be used in the event loop's thread only.
class ListCall : public std::enable_shared_from_this<ListCall> {
 public:
  using Connection = std::unique_ptr<boost::asio::ip::tcp::socket>;
  using Result = std::variant<EndpointList, ListError>;

  class Observer {
   public:
    virtual ~Observer() = default;
    // Called from the event loop when the call has ended: once, and never from within Start(). May release
    // `call`, take its connection and start other calls.
    virtual void OnListCallEnded(ListCall& call, Result result) = 0;
  };

  struct Options {
    boost::asio::ip::tcp::endpoint service;
    std::string target;           // path and query
    bool keep_alive = true;       // whether a later call may reuse the connection
    Millis connect_timeout = 0;   // from Start() until the connection is open
    Millis response_timeout = 0;  // from Start() to the last byte of the response
  };

  // `connection` is an open connection to the service from an earlier call. If it is null, Start() opens one.
  // `observer` must outlive the call, unless Abandon() is called.
  ListCall(boost::asio::io_context& io, const Options& options, Connection connection, Observer& observer);

  void Start();
  // Ends the call with kResponseTimeout after `timeout`, counted from now. Replaces the timeouts of the
  // options.
  void SetTimeout(Millis timeout);
  // Ends the call without notifying the observer, and closes the connection. Does nothing if the call has
  // ended.
  void Abandon();

  Millis started_at() const { return started_at_; }
  // Whether the connection was opened. If so, the call has sent its request or is sending it.
  bool connected() const { return connected_; }
  // Returns the connection for a later call, or null if it can't be reused. To be called after the call has
  // ended with a list.
  Connection TakeConnection();

 private:
  void Connect();
  void SendRequest();
  void ReadHeader();
  void ReadBody();
  void ExpireAfter(Millis timeout, ListError error);
  ListError TransportError(const boost::system::error_code& ec) const;
  Result ParseResponse() const;
  void End(Result result);
  void CloseConnection();

  const Options options_;
  Connection connection_;
  Observer* observer_;  // null once the call has ended
  bool connected_;
  Millis started_at_ = 0;
  boost::asio::steady_timer timer_;
  boost::beast::http::request<boost::beast::http::empty_body> request_;
  boost::beast::http::response_parser<boost::beast::http::string_body> parser_;
  boost::beast::flat_buffer buffer_;
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_DISCOVERY_LIST_CALL_HPP_
