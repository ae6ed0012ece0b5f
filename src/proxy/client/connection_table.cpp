#include "proxy/client/connection_table.hpp"

#include <algorithm>
#include <functional>

namespace gateway::proxy {
namespace {

// The idle time after which a connection may be evicted. A client has at least this time to send a request.
constexpr Millis kMinIdleTimeMs = 50;
// The time without progress after which a connection with an incomplete request may be evicted.
constexpr Millis kMinStallTimeMs = 1000;
// The time after which it may be evicted although the client sends: slow clients must not keep all
// connections.
constexpr Millis kMinIncompleteTimeMs = 350;
// The time within which a client reads the last response of its connection.
constexpr Millis kMinLingerTimeMs = 1000;
// New clients are shed after no connection has been reclaimable for this time.
constexpr Millis kShedDelayMs = 300;
// The number of connections that may be open in excess of the limit. They only receive the response 503.
constexpr std::size_t kMaxShedConnections = 8;

// Finds the connection that meets a condition since the earliest time.
class Oldest {
 public:
  // Ignores connections that meet the condition since `before` or later.
  explicit Oldest(Millis before) : since_(before) {}
  void Consider(const std::shared_ptr<ClientConnection>& connection, Millis since,
                bool (ClientConnection::*condition)() const) {
    if (since >= since_ || !(connection.get()->*condition)()) return;
    connection_ = connection;
    since_ = since;
  }
  const std::shared_ptr<ClientConnection>& connection() const { return connection_; }

 private:
  std::shared_ptr<ClientConnection> connection_;
  Millis since_;
};

}  // namespace

std::vector<std::shared_ptr<ClientConnection>> ConnectionTable::Snapshot() const {
  return {connections_.begin(), connections_.end()};
}

bool ConnectionTable::MakeRoom() {
  const bool has_room = !AtLimit() || EvictOne();
  if (has_room || HasReclaimable()) last_reclaimable_at_ = Now();
  return has_room;
}

bool ConnectionTable::HasReclaimable() const {
  return std::ranges::any_of(connections_,
                             [](const auto& connection) { return connection->IsReclaimable(); });
}

bool ConnectionTable::HasPendingWork(Millis now) const {
  return std::ranges::any_of(connections_,
                             [now](const auto& connection) { return connection->HasPendingWork(now); });
}

bool ConnectionTable::EvictOne() {
  const Millis now = Now();
  Oldest idle(now - kMinIdleTimeMs);
  Oldest stalled(now - kMinStallTimeMs);
  Oldest incomplete(now - kMinIncompleteTimeMs);
  Oldest lingering(now - kMinLingerTimeMs);
  for (const auto& connection : connections_) {
    idle.Consider(connection, connection->phase_entered_at(), &ClientConnection::IsIdle);
    stalled.Consider(connection, connection->last_progress_at(), &ClientConnection::IsRequestStalled);
    incomplete.Consider(connection, connection->request_started_at(), &ClientConnection::IsRequestStalled);
    lingering.Consider(connection, connection->phase_entered_at(), &ClientConnection::IsLingering);
  }
  if (idle.connection()) {
    idle.connection()->Close();
  } else if (const auto& refused = stalled.connection() ? stalled.connection() : incomplete.connection()) {
    refused->RefuseStalled();
  } else if (lingering.connection()) {
    lingering.connection()->Close();
  } else {
    return false;
  }
  ++evictions_;
  return true;
}

void ConnectionTable::RefuseUnsent(std::size_t bytes) {
  std::vector<std::pair<std::size_t, std::shared_ptr<ClientConnection>>> unsent;
  for (const auto& connection : connections_) {
    if (const std::size_t unsent_bytes = connection->UnsentBytes())
      unsent.emplace_back(unsent_bytes, connection);
  }
  std::ranges::sort(unsent, std::greater(), [](const auto& entry) { return entry.first; });
  std::size_t refused_bytes = 0;
  for (const auto& [unsent_bytes, connection] : unsent) {
    if (refused_bytes >= bytes) return;
    refused_bytes += unsent_bytes;
    connection->RefuseUnsent();
  }
}

bool ConnectionTable::ShedsNewClients() const { return Now() - last_reclaimable_at_ >= kShedDelayMs; }

bool ConnectionTable::HasRoomToShed() const { return connections_.size() < limit_ + kMaxShedConnections; }

}  // namespace gateway::proxy
