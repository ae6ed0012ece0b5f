// Active requests: requests from their arrival until they are answered and all of their attempts have ended.
#ifndef GATEWAY_POLICY_ACTIVE_REQUEST_HPP_
#define GATEWAY_POLICY_ACTIVE_REQUEST_HPP_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <unordered_map>
#include <vector>

#include "gateway/events.hpp"
#include "gateway/time.hpp"

namespace gateway::policy {

struct Endpoint;

// One attempt of a request at an endpoint.
struct Attempt {
  Endpoint* endpoint;
  Millis sent_at;
  bool in_flight = true;
  bool holds_slot = true;  // counts against the concurrency limit of the endpoint
  bool may_have_executed = true;
  bool streaming = false;  // the gateway is sending the response of this attempt to the client
};

// The state of one active request.
struct ActiveRequest {
  std::string id;
  std::size_t class_index = 0;  // index in Settings::classes
  std::uint64_t key_hash = 0;   // hash of the routing key; 0 = no key
  Millis arrived_at = 0;
  Millis objective_ends_at = 0;  // a response after this time does not meet the latency objective
  Millis deadline_at = 0;        // time at which the client times out
  // Latest time at which a retry may start if an earlier attempt may have been executed. Limited only for
  // requests with an idempotency key, since endpoints drop repeats only within the deduplication window.
  Millis repeat_deadline_at = std::numeric_limits<Millis>::infinity();
  bool within_quota = true;
  bool answered = false;
  bool queued = false;
  bool complete = true;  // the client has sent the complete request
  bool buffered = true;  // the gateway stores the complete request and can send it again
  std::vector<Attempt> attempts;

  bool HasAttemptInFlight() const { return std::ranges::any_of(attempts, &Attempt::in_flight); }

  // Returns the first attempt that may have been executed, or null.
  const Attempt* FirstPossiblyExecuted() const {
    const auto found = std::ranges::find_if(attempts, &Attempt::may_have_executed);
    return found == attempts.end() ? nullptr : &*found;
  }

  // Returns the attempt with this index, or null.
  Attempt* FindAttempt(int index) {
    if (index < 0 || index >= static_cast<int>(attempts.size())) return nullptr;
    return &attempts[static_cast<std::size_t>(index)];
  }
};

// The active requests of a Policy by id. Pointers to a request stay valid until it is erased.
class ActiveRequests {
 public:
  // Adds a request with this id. Returns null if the id is already in use.
  ActiveRequest* Add(const std::string& id) {
    const auto [entry, added] = requests_.try_emplace(id);
    if (!added) return nullptr;
    entry->second.id = id;
    return &entry->second;
  }

  ActiveRequest* Find(const std::string& id) {
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : &found->second;
  }

  bool Contains(const std::string& id) const { return requests_.contains(id); }

  void Erase(const std::string& id) { requests_.erase(id); }

 private:
  std::unordered_map<std::string, ActiveRequest> requests_;  // never iterated, since the order is unspecified
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_ACTIVE_REQUEST_HPP_
