// The table of client connections, with the connection limit, eviction and load shedding.
#ifndef GATEWAY_PROXY_CLIENT_CONNECTION_TABLE_HPP_
#define GATEWAY_PROXY_CLIENT_CONNECTION_TABLE_HPP_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_set>
#include <utility>
#include <vector>

#include "proxy/client/client_connection.hpp"
#include "proxy/clock.hpp"

namespace gateway::proxy {

// Owns the client connections. At the connection limit, an idle or stalled connection is evicted for each new
// client. If no connection has been reclaimable for some time, new clients are shed: they receive the
// response 503. Times are on the clock of Now().
class ConnectionTable {
 public:
  explicit ConnectionTable(std::size_t limit) : limit_(limit) {}

  std::size_t size() const { return connections_.size(); }
  bool empty() const { return connections_.empty(); }
  // The number of connections that were evicted, since the start of the process.
  std::uint64_t evictions() const { return evictions_; }
  bool AtLimit() const { return connections_.size() >= limit_; }
  // Changes the limit. Connections in excess of the limit stay open until they are evicted or end.
  void SetLimit(std::size_t limit) { limit_ = limit; }

  void Add(std::shared_ptr<ClientConnection> connection) { connections_.insert(std::move(connection)); }
  void Remove(const std::shared_ptr<ClientConnection>& connection) { connections_.erase(connection); }
  // Returns a copy of the table, for loops that may add or remove connections.
  std::vector<std::shared_ptr<ClientConnection>> Snapshot() const;

  // Returns whether there is room for another connection. At the limit, evicts a connection if possible.
  bool MakeRoom();
  // Closes the connection that has been idle for the longest time. If no connection is idle, refuses the
  // incomplete request that has made no progress for the longest time, or else the one that began first,
  // because slow clients must not lock out clients that send complete requests. If there is none, closes the
  // connection whose last response was written first. Returns false if no connection may be
  // closed. Takes time proportional to the number of connections.
  bool EvictOne();
  // Refuses incomplete requests of which no endpoint has a part, those that use most memory first, until they
  // used `bytes` together. Takes time proportional to the number of connections.
  void RefuseUnsent(std::size_t bytes);
  // Returns whether new clients are shed, because no connection has been reclaimable for some time. Call
  // MakeRoom first, which records whether a connection is reclaimable.
  bool ShedsNewClients() const;
  // Returns whether a connection has pending work at `now`, see ClientConnection::HasPendingWork. Takes time
  // proportional to the number of connections.
  bool HasPendingWork(Millis now) const;
  // Returns whether there is room for another connection that is shed.
  bool HasRoomToShed() const;

 private:
  bool HasReclaimable() const;

  std::size_t limit_;
  std::unordered_set<std::shared_ptr<ClientConnection>> connections_;
  std::uint64_t evictions_ = 0;
  Millis last_reclaimable_at_ = 0;  // last time at which MakeRoom found room or a reclaimable connection
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_CLIENT_CONNECTION_TABLE_HPP_
