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

// Owns the connections. Once their limit is reached, each new client needs an idle or stalled connection to
// be evicted; if none has been reclaimable for some time, new clients are shed. Times are those of Now().
class ConnectionTable {
 public:
  explicit ConnectionTable(std::size_t limit) : limit_(limit) {}

  std::size_t size() const { return connections_.size(); }
  bool empty() const { return connections_.empty(); }
  bool AtLimit() const { return connections_.size() >= limit_; }
  // Changes the limit. Connections beyond it stay until they are evicted or end.
  void SetLimit(std::size_t limit) { limit_ = limit; }

  void Add(std::shared_ptr<ClientConnection> connection) { connections_.insert(std::move(connection)); }
  void Remove(const std::shared_ptr<ClientConnection>& connection) { connections_.erase(connection); }
  // Returns a copy, for calls that may add or remove connections.
  std::vector<std::shared_ptr<ClientConnection>> Snapshot() const;

  // Returns whether there is room for another connection, and evicts one if that is needed.
  bool MakeRoom();
  // Closes the connection that has been idle for longest, or else the one that has been silent for longest in
  // the middle of its request: stalled clients must not keep out those that send complete requests. Returns
  // false if no connection may be closed. Takes time in proportion to the number of connections.
  bool EvictOne();
  // Returns whether no connection was reclaimable for so long that new clients are to be answered with 503.
  // Up to date after MakeRoom.
  bool ShedsNewClients() const;
  // Returns whether there is room for a connection that only receives that answer.
  bool HasRoomToShed() const;

 private:
  bool HasReclaimable() const;

  std::size_t limit_;
  std::unordered_set<std::shared_ptr<ClientConnection>> connections_;
  Millis last_reclaimable_at_ = 0;  // when there last was room, or a connection that soon gives some
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_CLIENT_CONNECTION_TABLE_HPP_
