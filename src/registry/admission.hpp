// Admission control of the registry service. Limits the connections of clients and operators, and the rate of
// full lists.
#ifndef GATEWAY_REGISTRY_ADMISSION_HPP_
#define GATEWAY_REGISTRY_ADMISSION_HPP_

#include <cstddef>
#include <cstdint>
#include <unordered_set>

#include "base/millis.hpp"

namespace gateway::registry {

class Session;

struct AdmissionLimits {
  std::size_t clients = 0;           // maximum sessions that read the list or renew leases
  std::size_t operators = 0;         // additional sessions for all other calls
  double full_lists_per_second = 0;  // maximum rate, and maximum number of full lists in a burst
};

// Does no I/O and reads no clock: the caller passes the time of a monotonic clock. Not thread-safe.
class Admission {
 public:
  explicit Admission(AdmissionLimits limits);

  // Returns whether `connections`, including the new one, may be open at once.
  bool AdmitsConnections(std::size_t connections) const {
    return connections <= limits_.clients + limits_.operators;
  }
  // Counts the session as a client until Release(). Returns false without counting it if the limit is
  // reached.
  bool AdmitClient(const Session& session);
  void Release(const Session& session) { clients_.erase(&session); }

  // Takes the token for one full list from the token bucket. Returns false if the bucket is empty.
  bool AdmitFullList();
  // Adds the tokens for the time since the previous call.
  void Refill(base::Millis now);

  void CountRejected() { ++rejected_; }
  // Counts a rejected request and returns the number of seconds after which the client may retry. Successive
  // calls return different delays of 1 to 4 s, which spreads the retries.
  int RejectWithRetryAfter();
  std::uint64_t rejected() const { return rejected_; }

 private:
  const AdmissionLimits limits_;
  std::unordered_set<const Session*> clients_;
  double full_list_tokens_;
  base::Millis refilled_at_ = 0;  // 0 before the first refill
  std::uint64_t rejected_ = 0;
};

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_ADMISSION_HPP_
