// The order in which gateways select endpoints for their subsets: a ring on which the endpoints of each
// machine type are evenly spaced. All gateways use the same order.
//
// The position of an endpoint is its rank by hash among the endpoints of its type, divided by the number of
// endpoints of this type. Positions are not stored. For n endpoints and k machine types, insertion and
// removal take O(log n), the start of a walk takes O(k log n), and each step of a walk takes O(log k).
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
  // Removes the endpoint. Does nothing if the endpoint is not on the ring.
  void Erase(Endpoint& endpoint);
  std::size_t size() const { return size_; }

  // Iterates over the endpoints in ring order, starting at a given index. After the last endpoint, the walk
  // continues with the first endpoint. A change of the ring invalidates the walk.
  class Walk {
   public:
    // Starts at the index `first` of the ring, which must be less than the size of the ring.
    Walk(const EndpointRing& ring, std::size_t first);
    ~Walk();
    // Returns the next endpoint. The ring must not be empty.
    Endpoint& Next();

   private:
    struct Cursor;
    // Starts the walk at `position`. Returns the number of endpoints before `position`.
    std::size_t BeginAt(double position);

    const EndpointRing& ring_;
    std::vector<Cursor> heap_;  // min-heap of the next endpoint of each machine type
  };

 private:
  struct Order;  // the endpoints of one machine type, ordered by hash
  std::map<const MachineType*, std::unique_ptr<Order>> orders_;
  std::size_t size_ = 0;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_ENDPOINT_RING_HPP_
