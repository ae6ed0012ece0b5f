// A client's request as the ClientServer reports it to the gateway, and the handle for its response.
#ifndef GATEWAY_PROXY_CLIENT_CLIENT_REQUEST_HPP_
#define GATEWAY_PROXY_CLIENT_CLIENT_REQUEST_HPP_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "proxy/body_source.hpp"
#include "proxy/client/request_validation.hpp"
#include "proxy/clock.hpp"
#include "proxy/http_types.hpp"

namespace gateway::proxy {

class ClientConnection;

// Sends the response to one request, and reports whether its client has disconnected. Does not keep the
// connection alive; all calls remain valid after the connection has ended.
class ClientResponder {
 public:
  ClientResponder() = default;
  // Creates the responder for request number `request_number` of `connection`.
  ClientResponder(std::weak_ptr<ClientConnection> connection, std::uint64_t request_number)
      : connection_(std::move(connection)), request_number_(request_number) {}

  // Sends the response. `remaining_body` is the part of its body that is not in `response` yet, or null.
  // Cancels `remaining_body` at once if the request already has a response or its client has disconnected.
  void Respond(HttpResponse response, std::shared_ptr<BodySource> remaining_body) const;

  // Asks the socket whether the client has disconnected. If it has, and ClientCallbacks::on_disconnect was
  // not called yet, on_disconnect is called after this function has returned.
  bool ClientDisconnected() const;

 private:
  std::weak_ptr<ClientConnection> connection_;
  std::uint64_t request_number_ = 0;
};

// A valid request. Its body is complete unless there is a `remaining_body`.
struct ClientRequest : RequestAttributes {
  HttpRequest http;
  // The time at which the last byte of `http` arrived at this machine; it may have been read later.
  Millis received_at = 0;
  std::shared_ptr<BodySource> remaining_body;
  ClientResponder responder;
};

// The callbacks by which a ClientServer reports to the gateway. All of them are required, are called on the
// event loop's thread, and may call back into the ClientServer and the ClientResponder.
struct ClientCallbacks {
  // Returns whether the response to GET /up is 200; otherwise it is 503.
  std::function<bool()> is_ready;
  // A valid request has arrived. The gateway must respond exactly once, unless on_disconnect follows.
  std::function<void(ClientRequest request)> on_request;
  // The last byte of a request with a remaining body was read at `received_at`. Called before the body's
  // source delivers the last piece.
  std::function<void(const std::string& request_id, Millis received_at)> on_request_complete;
  // The client of a request has disconnected, or was too slow with its body, before a response was sent. A
  // later response is discarded.
  std::function<void(const std::string& request_id)> on_disconnect;
  // The response to a request has ended. `complete` is false if the response was not written completely.
  std::function<void(const std::string& class_name, unsigned status, bool complete)> on_response_end;
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_CLIENT_CLIENT_REQUEST_HPP_
