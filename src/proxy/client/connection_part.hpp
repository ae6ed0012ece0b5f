// What the asynchronous parts of a client's connection have in common.
#ifndef GATEWAY_PROXY_CLIENT_CONNECTION_PART_HPP_
#define GATEWAY_PROXY_CLIENT_CONNECTION_PART_HPP_

#include <memory>

namespace gateway::proxy {

// Implemented by a connection for the parts that it owns (RequestReader, ResponseWriter, LingeringClose).
class ConnectionPartOwner {
 public:
  // Returns a pointer that keeps the connection, and with it the part, alive. A part holds it for the
  // duration of each asynchronous operation.
  virtual std::shared_ptr<void> KeepAlive() = 0;

 protected:
  ~ConnectionPartOwner() = default;
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_CLIENT_CONNECTION_PART_HPP_
