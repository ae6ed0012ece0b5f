// The order in which gateways draw servers into their subsets: a ring on which the servers of each kind lie
// evenly, in an order that all gateways share. No decisions, no I/O; one thread.
//
// A server's position is its rank among the servers of its kind, by hash, over their number. Positions are
// not stored: insertion and removal cost O(log n), finding a place on the ring O(k log n) for k kinds, and
// each further server O(log k).
#ifndef GATEWAY_POLICY_SERVER_RING_HPP_
#define GATEWAY_POLICY_SERVER_RING_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace gateway::policy {

struct Backend;
struct Kind;

class ServerRing {
 public:
  ServerRing();
  ~ServerRing();
  ServerRing(ServerRing&&) noexcept;
  ServerRing& operator=(ServerRing&&) noexcept;

  // The server must not be on the ring already; its kind and hash must not change while it is.
  void Insert(Backend& server);
  void Erase(Backend& server);
  std::size_t size() const { return size_; }

  // Goes round the ring from a place on it, over and over. Invalid once the ring changes; on an empty ring
  // there is no next server.
  class Walk {
   public:
    // `first`: how many servers in the ring's order come before the first one; below the ring's size.
    Walk(const ServerRing& ring, std::size_t first);
    ~Walk();
    Backend& Next();

   private:
    struct Cursor;
    std::size_t BeginAt(double position);  // how many servers lie before it

    const ServerRing& ring_;
    std::vector<Cursor> heap_;  // the next server of each kind, the first in the ring's order on top
  };

 private:
  struct Order;  // of the servers of one kind
  std::map<const Kind*, std::unique_ptr<Order>> kinds_;
  std::size_t size_ = 0;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_SERVER_RING_HPP_
