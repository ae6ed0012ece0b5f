// The interface between a connection and its asynchronous parts, for connections to clients and to endpoints.
#ifndef GATEWAY_PROXY_CONNECTION_PART_HPP_
#define GATEWAY_PROXY_CONNECTION_PART_HPP_

#include <memory>

namespace gateway::proxy {

// Implemented by a connection for the parts that it owns (its reader and its writer, for example).
class ConnectionPartOwner {
 public:
  // Returns a pointer that keeps the connection, and with it the part, alive. A part holds it for the
  // duration of each asynchronous operation.
  virtual std::shared_ptr<void> KeepAlive() = 0;

 protected:
  ~ConnectionPartOwner() = default;
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_CONNECTION_PART_HPP_
