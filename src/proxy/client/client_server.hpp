// The client side of the proxy: accepts connections, reads requests, and writes one response to each request.
#ifndef GATEWAY_PROXY_CLIENT_CLIENT_SERVER_HPP_
#define GATEWAY_PROXY_CLIENT_CLIENT_SERVER_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "base/file_descriptor.hpp"
#include "gateway/policy.hpp"
#include "proxy/client/client_connection.hpp"
#include "proxy/client/client_listener.hpp"
#include "proxy/client/client_request.hpp"
#include "proxy/client/connection_table.hpp"
#include "proxy/clock.hpp"

namespace gateway::proxy {

struct ClientServerOptions {
  boost::asio::ip::tcp::endpoint address;
  bool shared = false;               // other processes may listen at the same address
  std::size_t connection_limit = 1;  // see ClientServer::SetConnectionLimit
  // Accounts for the memory that the connections hold. Required.
  std::shared_ptr<BufferBudget> buffer_budget;
};

// Accepts connections from clients and passes valid requests to the gateway. Responds to invalid requests and
// to GET /up without the gateway. Runs on the event loop's thread. Must outlive its pending operations on
// `io`.
class ClientServer final : private ClientConnectionOwner, private ClientListener::Delegate {
 public:
  // Starts to accept connections: on `inherited_listener` if it is open, otherwise at the options' address.
  // Throws ConfigError if the address is not available. Calls the callbacks only from the event loop.
  ClientServer(boost::asio::io_context& io, const ClientServerOptions& options,
               base::FileDescriptor inherited_listener, const policy::Settings& settings,
               ClientCallbacks callbacks);

  boost::asio::ip::tcp::endpoint address() const { return listener_.address(); }
  std::size_t connections() const { return table_.size(); }
  // The number of requests that were refused to save memory, since the start of the process.
  std::uint64_t memory_refusals() const { return context_.memory_refusals; }
  // The number of connections that were closed to make room for others, since the start of the process.
  std::uint64_t evictions() const { return table_.evictions(); }
  // The number of complete requests whose response is not written yet.
  std::size_t active_requests() const { return context_.active_requests; }

  // Begins or ends a drain. During a drain, each response closes its connection. Idle connections are closed
  // after a delay, which gives the load balancer time to stop sending new requests.
  void SetDraining(bool draining);
  // Changes the limit on connections. At the limit, an idle or stalled connection is evicted for each new
  // client.
  void SetConnectionLimit(std::size_t limit);

  // The descriptor of the listening socket, for the transfer to another process. This object continues to own
  // it. -1 if the listener is closed.
  int listener() { return listener_.native_handle(); }
  // Takes over a client's connection from another process. The connection must be between two requests.
  void AcceptTransferredConnection(base::FileDescriptor client);
  // Stops accepting connections, because another process accepts from the same queue. Transfers each
  // connection as soon as the connection is between two requests. Calls `done` when no connection remains
  // open.
  void TransferConnections(ConnectionTransfer transfer, std::function<void()> done);
  // Begins a drain, accepts the pending connections, then closes the listener and the idle connections. Calls
  // `done` when no connection remains open.
  void StopListening(std::function<void()> done);
  // From now on, responds with 503 to each request that `window` does not accept, because the process stops.
  void BeginStop(const ServingWindow& window) { context_.drain.BeginStop(window); }
  // Responds with 503 to all requests of which a part was read and that were not passed to the gateway.
  void RefuseIncompleteRequests();
  // Returns whether the end of the process could cost a client a response, see
  // ClientConnection::HasPendingWork.
  bool HasPendingWork() const { return table_.HasPendingWork(Now()); }

 private:
  // ClientConnectionOwner
  bool AtConnectionLimit() const override { return table_.AtLimit(); }
  void OnMemoryExhausted() override;
  void CheckTimeoutsBy(Millis time) override;
  void OnConnectionClosed(const std::shared_ptr<ClientConnection>& connection) override;
  // ClientListener::Delegate
  bool MayAccept() override;
  void OnAccepted(boost::asio::ip::tcp::socket socket) override;
  void OnOutOfDescriptors() override { table_.EvictOne(); }

  std::shared_ptr<ClientConnection> AddConnection(boost::asio::ip::tcp::socket socket, bool transferred);
  void CheckTimeouts();
  void CheckTimeoutsAt(Millis time);
  void RelieveMemory();
  void ReportStopIfEmpty();

  boost::asio::io_context& io_;
  ClientConnectionContext context_;
  ConnectionTable table_;
  boost::asio::steady_timer timeout_timer_;
  Millis next_check_at_ = 0;          // time of the next call of CheckTimeouts
  bool relief_pending_ = false;       // a call of RelieveMemory was posted
  Millis relieved_at_ = 0;            // last time at which incomplete requests were refused to free memory
  std::function<void()> on_stopped_;  // called when no connection remains open; empty before a stop
  ClientListener listener_;
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_CLIENT_CLIENT_SERVER_HPP_
