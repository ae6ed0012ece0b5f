// A pool of connections to endpoints. Each connection serves one request at a time. Of the idle connections
// to an endpoint, the most recently used one is reused first.
#ifndef GATEWAY_PROXY_UPSTREAM_UPSTREAM_POOL_HPP_
#define GATEWAY_PROXY_UPSTREAM_UPSTREAM_POOL_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "proxy/clock.hpp"
#include "proxy/discovery/endpoint_list.hpp"
#include "proxy/upstream/upstream_connection.hpp"
#include "proxy/upstream/upstream_request.hpp"

namespace gateway::proxy {

struct UpstreamPoolOptions {
  Millis connect_timeout_ms = 250;
  // The time after which endpoints close an idle connection. The pool closes idle connections earlier.
  Millis endpoint_idle_timeout_ms = 15000;
  // The limit on connections to all endpoints together, see SetConnectionLimit.
  std::size_t connection_limit = 256;
  // Accounts for the memory that the connections hold. While it is exceeded, the pool streams bodies that it
  // would otherwise buffer.
  std::shared_ptr<BufferBudget> buffer_budget = std::make_shared<BufferBudget>(16 * 1024 * 1024);
};

// Sends attempts to endpoints. Uses an idle connection if there is one, otherwise opens a new connection.
// Runs on the event loop's thread. Must outlive its pending operations on `io`.
class UpstreamPool final : private UpstreamConnectionOwner {
 public:
  UpstreamPool(boost::asio::io_context& io, const UpstreamPoolOptions& options);

  // Applies a complete list of endpoints, or a change of the list. Takes effect at once: the pool sends no
  // further request to an endpoint that drains or is no longer listed. This includes requests that wait for a
  // connection to be established. The cost of a change does not depend on the length of the list.
  void ApplyEndpointList(const EndpointList& list);

  // Starts an attempt that sends the request. If the endpoint must not be used, the deadline has passed, or
  // no connection is available, the attempt ends with kNotSent before this function returns.
  AttemptId Start(const std::string& endpoint, UpstreamRequest request);
  // Changes the deadline of an attempt. Has no effect if the attempt has ended.
  void SetDeadline(AttemptId attempt, Millis deadline);
  // If the attempt's connection is still being established, ends the attempt with kNotSent. Otherwise has no
  // effect.
  void CancelUnsent(AttemptId attempt);
  // Ends an attempt as if its deadline had passed. Has no effect if the attempt has ended.
  void TimeOut(AttemptId attempt);
  // Ends an attempt with kCancelled, or with kNotSent if the endpoint can't have received the complete
  // request, and closes its connection. Has no effect if the attempt has ended.
  void Cancel(AttemptId attempt);

  // The number of connections that are idle, connecting, or serving an attempt.
  std::size_t connections() const { return context_.open_connections; }
  // Changes the limit on connections. Closes idle connections in excess of the limit.
  void SetConnectionLimit(std::size_t limit);
  std::size_t connection_limit() const { return connection_limit_; }

  const UpstreamCounts& counts() const { return context_.counts; }

 private:
  using IdleConnections = std::vector<std::shared_ptr<UpstreamConnection>>;
  struct PooledEndpoint {
    boost::asio::ip::tcp::endpoint address;
    bool up = false;
    IdleConnections idle;  // ordered by last use, most recent last
  };

  // UpstreamConnectionOwner
  bool MayUse(const std::string& endpoint, const boost::asio::ip::tcp::endpoint& address) const override;
  void OnAttemptStarted(AttemptId attempt, const std::shared_ptr<UpstreamConnection>& connection) override;
  void OnAttemptEnded(AttemptId attempt) override { connection_by_attempt_.erase(attempt); }
  void OnIdle(const std::shared_ptr<UpstreamConnection>& connection) override;
  void OnIdleClosed(const UpstreamConnection& connection) override;

  void ApplyEntry(const ListedEndpoint& entry);
  std::shared_ptr<UpstreamConnection> TakeIdle(PooledEndpoint& endpoint);
  std::shared_ptr<UpstreamConnection> OpenConnection(const std::string& id, const PooledEndpoint& endpoint);
  std::shared_ptr<UpstreamConnection> FindConnection(AttemptId attempt) const;
  bool EvictIdle();

  UpstreamConnectionContext context_;
  std::size_t connection_limit_;
  std::map<std::string, PooledEndpoint> endpoints_;  // the endpoints that may be used, by ID
  std::unordered_map<AttemptId, std::shared_ptr<UpstreamConnection>> connection_by_attempt_;
  AttemptId next_attempt_ = 1;
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_UPSTREAM_UPSTREAM_POOL_HPP_
