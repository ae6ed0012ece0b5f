// The clients' connections of a process: their limit, eviction and load shedding.
#ifndef GATEWAY_PROXY_CLIENT_CONNECTION_TABLE_HPP_
#define GATEWAY_PROXY_CLIENT_CONNECTION_TABLE_HPP_

#include <cstddef>
#include <memory>
#include <unordered_set>
#include <utility>
#include <vector>

#include "proxy/client/client_connection.hpp"
#include "proxy/clock.hpp"

namespace gateway::proxy {

// Owns the connections. At the connection limit, an idle or stalled connection is evicted for each new
// client. If no connection has been reclaimable for some time, new clients are shed. Times are those of
// Now().
class ConnectionTable {
 public:
  explicit ConnectionTable(std::size_t limit) : limit_(limit) {}

  std::size_t size() const { return connections_.size(); }
  bool empty() const { return connections_.empty(); }
  bool AtLimit() const { return connections_.size() >= limit_; }
  // Changes the limit. Connections in excess of it stay open until they are evicted or end.
  void SetLimit(std::size_t limit) { limit_ = limit; }

  void Add(std::shared_ptr<ClientConnection> connection) { connections_.insert(std::move(connection)); }
  void Remove(const std::shared_ptr<ClientConnection>& connection) { connections_.erase(connection); }
  // Returns a copy, for loops that may add or remove connections.
  std::vector<std::shared_ptr<ClientConnection>> Snapshot() const;

  // Returns whether there is room for another connection. Evicts one if necessary.
  bool MakeRoom();
  // Closes the connection that has been idle for the longest time. If no connection is idle, closes the one
  // whose incomplete request has made no progress for the longest time, because stalled clients must not lock
  // out clients that send complete requests. Returns false if no connection may be closed. Takes time
  // proportional to the number of connections.
  bool EvictOne();
  // Returns whether no connection has been reclaimable for so long that new clients get the response 503.
  // Valid after a call to MakeRoom.
  bool ShedsNewClients() const;
  // Returns whether there is room for a connection that only receives the response 503.
  bool HasRoomToShed() const;

 private:
  bool HasReclaimable() const;

  std::size_t limit_;
  std::unordered_set<std::shared_ptr<ClientConnection>> connections_;
  Millis last_reclaimable_at_ = 0;  // last time at which there was room or a reclaimable connection
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_CLIENT_CONNECTION_TABLE_HPP_
