// A request from its arrival until it is answered and all of its attempts have ended.
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

// Whether an attempt that ended like this may have been executed by its endpoint.
inline bool MayHaveExecuted(AttemptResult result) {
  return result != AttemptResult::kRejected && result != AttemptResult::kConnectFailed &&
         result != AttemptResult::kNotSent;
}

struct Attempt {
  Endpoint* endpoint;
  Millis sent_at;
  bool in_flight = true;
  bool may_have_executed = true;
  bool streaming = false;  // its response has begun and belongs to the client
};

struct ActiveRequest {
  std::string id;
  std::size_t class_index = 0;  // in Settings::classes
  std::uint64_t key_hash = 0;   // of the routing key; 0 = none
  Millis arrived_at = 0;
  Millis objective_ends_at = 0;  // end of the latency objective
  Millis deadline_at = 0;        // the client gives up
  // A repeat of what may have been executed has to begin by then, while endpoints still drop repeats.
  Millis repeat_deadline_at = std::numeric_limits<Millis>::infinity();
  bool within_quota = true;
  bool answered = false;
  bool queued = false;
  bool buffered = true;  // the gateway could send it again
  std::vector<Attempt> attempts;

  bool HasAttemptInFlight() const { return std::ranges::any_of(attempts, &Attempt::in_flight); }

  // The first attempt that may have been executed, or null.
  const Attempt* FirstPossiblyExecuted() const {
    const auto found = std::ranges::find_if(attempts, &Attempt::may_have_executed);
    return found == attempts.end() ? nullptr : &*found;
  }

  // The attempt of that index, or null.
  Attempt* FindAttempt(int index) {
    if (index < 0 || index >= static_cast<int>(attempts.size())) return nullptr;
    return &attempts[static_cast<std::size_t>(index)];
  }
};

// The active requests of a Policy by id. References stay valid until the request is erased.
class ActiveRequests {
 public:
  // Adds a request of that id; null if there is one already.
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
  std::unordered_map<std::string, ActiveRequest> requests_;  // looked up, never iterated
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_ACTIVE_REQUEST_HPP_
