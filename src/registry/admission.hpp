// Admission control of the registry service: connections of clients and operators, and the rate of full
// lists.
#ifndef GATEWAY_REGISTRY_ADMISSION_HPP_
#define GATEWAY_REGISTRY_ADMISSION_HPP_

#include <cstddef>
#include <cstdint>
#include <unordered_set>

#include "base/millis.hpp"

namespace gateway::registry {

class Session;

struct AdmissionLimits {
  std::size_t clients = 0;           // sessions that read the list or renew leases
  std::size_t operators = 0;         // sessions beyond these, for all other calls
  double full_lists_per_second = 0;  // also the burst that is admitted
};

// No I/O and no clock: times are of the caller's monotonic clock. Not thread-safe.
class Admission {
 public:
  explicit Admission(AdmissionLimits limits);

  // Whether `connections` may be open at once, the new one included.
  bool AdmitsConnections(std::size_t connections) const {
    return connections <= limits_.clients + limits_.operators;
  }
  // Counts the session as a client until Release(). Returns false, and does not, if there are too many.
  bool AdmitClient(const Session& session);
  void Release(const Session& session) { clients_.erase(&session); }

  // Takes one full list out of the token bucket. Returns false if it is empty.
  bool AdmitFullList();
  // Adds the tokens for the time since the last call.
  void Refill(base::Millis now);

  void CountRejected() { ++rejected_; }
  // Counts a rejected request, and returns the seconds after which the client may retry. Successive clients
  // are spread over 1 to 4 s.
  int RejectWithRetryAfter();
  std::uint64_t rejected() const { return rejected_; }

 private:
  const AdmissionLimits limits_;
  std::unordered_set<const Session*> clients_;
  double full_list_tokens_;
  base::Millis refilled_at_ = 0;  // 0: never
  std::uint64_t rejected_ = 0;
};

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_ADMISSION_HPP_
