// The order in which gateways draw endpoints into their subsets: a ring on which the endpoints of each
// machine type lie evenly, in an order that all gateways share.
//
// The position of an endpoint is its rank by hash among the endpoints of its type, over their number.
// Positions are not stored: insertion and removal cost O(log n), finding a position on the ring O(k log n)
// for k machine types, and each further endpoint O(log k).
#ifndef GATEWAY_POLICY_ENDPOINT_RING_HPP_
#define GATEWAY_POLICY_ENDPOINT_RING_HPP_

#include <cstddef>
#include <map>
#include <memory>
#include <vector>

namespace gateway::policy {

struct Endpoint;
struct MachineType;

// Holds pointers to endpoints of the caller, who erases each before it ends.
class EndpointRing {
 public:
  EndpointRing();
  ~EndpointRing();
  EndpointRing(EndpointRing&&) noexcept;
  EndpointRing& operator=(EndpointRing&&) noexcept;

  // The endpoint must not be on the ring already. Its machine type and hash must not change while it is.
  void Insert(Endpoint& endpoint);
  void Erase(Endpoint& endpoint);
  std::size_t size() const { return size_; }

  // Goes round and round the ring from a position on it. Invalid once the ring changes; an empty ring has no
  // next endpoint.
  class Walk {
   public:
    // `first`: number of endpoints in the ring's order before the first one; below the ring's size.
    Walk(const EndpointRing& ring, std::size_t first);
    ~Walk();
    Endpoint& Next();

   private:
    struct Cursor;
    std::size_t BeginAt(double position);  // returns the number of endpoints before it

    const EndpointRing& ring_;
    std::vector<Cursor> heap_;  // the next endpoint of each machine type, the first of the ring on top
  };

 private:
  struct Order;  // of the endpoints of one machine type
  std::map<const MachineType*, std::unique_ptr<Order>> orders_;
  std::size_t size_ = 0;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_ENDPOINT_RING_HPP_
