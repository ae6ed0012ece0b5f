// A client's request as the ClientServer passes it to the gateway, and the object that sends the response.
#ifndef GATEWAY_PROXY_CLIENT_CLIENT_REQUEST_HPP_
#define GATEWAY_PROXY_CLIENT_CLIENT_REQUEST_HPP_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "proxy/body_source.hpp"
#include "proxy/client/request_validation.hpp"
#include "proxy/clock.hpp"
#include "proxy/forwarded_request.hpp"
#include "proxy/http_types.hpp"

namespace gateway::proxy {

class ClientConnection;

// Sends the response to one request, and detects whether the client has disconnected. Does not keep the
// connection alive. All functions may be called after the connection has ended.
class ClientResponder {
 public:
  ClientResponder() = default;
  // Creates the responder for request number `request_number` of `connection`.
  ClientResponder(std::weak_ptr<ClientConnection> connection, std::uint64_t request_number)
      : connection_(std::move(connection)), request_number_(request_number) {}

  // Sends the response. `remaining_body` is the part of the body that follows the part in `response`, or
  // null. If the request already has a response, or the client has disconnected, cancels `remaining_body` at
  // once.
  void Respond(HttpResponse response, std::shared_ptr<BodySource> remaining_body) const;

  // Checks the socket, and returns whether the client has disconnected. If so, and if
  // ClientCallbacks::on_disconnect was not called yet, on_disconnect is called after this function has
  // returned.
  bool ClientDisconnected() const;

  // Returns the earliest time at which the client can have sent the last byte of the request, by what was
  // observed until now. To be called while the request is incomplete.
  Millis EarliestCompletion() const;

 private:
  std::weak_ptr<ClientConnection> connection_;
  std::uint64_t request_number_ = 0;
};

// A valid request. If `remaining_body` is null, the body in `message` is complete.
struct ClientRequest : RequestAttributes {
  ForwardedRequest message;
  // The time at which the last byte of the request arrived at this machine. The gateway may have read it
  // later. If the request is incomplete: the earliest time at which the client can have sent its last byte.
  Millis received_at = 0;
  std::shared_ptr<BodySource> remaining_body;
  ClientResponder responder;
};

// The callbacks through which a ClientServer reports events to the gateway. All callbacks are required. They
// run on the event loop's thread, and may call functions of the ClientServer and the ClientResponder.
struct ClientCallbacks {
  // Returns whether the gateway is ready. The status of the response to GET /up is 200 if so, otherwise 503.
  std::function<bool()> is_ready;
  // Called when a valid request has arrived. The gateway must respond to the request exactly once, unless
  // on_disconnect is called first.
  std::function<void(ClientRequest request)> on_request;
  // Called when the last byte of a request with a remaining body was read. `completed_at` is the earliest
  // time at which the client can have sent that byte. Called before the body's source delivers the last
  // piece.
  std::function<void(const std::string& request_id, Millis completed_at)> on_request_complete;
  // Called when the client has disconnected, or has sent the body too slowly, before a response was sent. The
  // ClientServer discards a later response.
  std::function<void(const std::string& request_id)> on_disconnect;
  // Called when the write of a response has ended. `complete` is false if the response was not written
  // completely.
  std::function<void(const std::string& class_name, unsigned status, bool complete)> on_response_end;
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_CLIENT_CLIENT_REQUEST_HPP_
