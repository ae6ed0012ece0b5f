// The order in which gateways select endpoints for their subsets: a ring on which the endpoints of each
// machine type are evenly spaced. All gateways use the same order.
//
// The position of an endpoint is its rank by hash among the endpoints of its type, divided by the number of
// endpoints of this type.
// Positions are not stored. Insertion and removal take O(log n), finding a position on the ring takes O(k log
// n) for k machine types, and each further endpoint O(log k).
#ifndef GATEWAY_POLICY_ENDPOINT_RING_HPP_
#define GATEWAY_POLICY_ENDPOINT_RING_HPP_

#include <cstddef>
#include <map>
#include <memory>
#include <vector>

namespace gateway::policy {

struct Endpoint;
struct MachineType;

// Stores pointers to endpoints, which the caller must erase from the ring before it destroys them.
class EndpointRing {
 public:
  EndpointRing();
  ~EndpointRing();
  EndpointRing(EndpointRing&&) noexcept;
  EndpointRing& operator=(EndpointRing&&) noexcept;

  // Adds an endpoint that is not on the ring. Its machine type and hash must not change while it is on the
  // ring.
  void Insert(Endpoint& endpoint);
  // Removes the endpoint. Does nothing if it is not on the ring.
  void Erase(Endpoint& endpoint);
  std::size_t size() const { return size_; }

  // Iterates over the ring from a given position. After the last endpoint, the walk continues with the first
  // one. A change of the ring invalidates the walk. Next() must not be called on an empty ring.
  class Walk {
   public:
    // Starts with the endpoint that has the index `first` on the ring. `first` must be less than the ring's
    // size.
    Walk(const EndpointRing& ring, std::size_t first);
    ~Walk();
    Endpoint& Next();

   private:
    struct Cursor;
    // Starts the walk at `position`. Returns the number of endpoints before `position`.
    std::size_t BeginAt(double position);

    const EndpointRing& ring_;
    std::vector<Cursor> heap_;  // min-heap of the next endpoint of each machine type
  };

 private:
  struct Order;  // ordered endpoints of one machine type
  std::map<const MachineType*, std::unique_ptr<Order>> orders_;
  std::size_t size_ = 0;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_ENDPOINT_RING_HPP_
