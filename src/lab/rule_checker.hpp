// Checks the rules that no gateway may violate. Hosts and clients report what they observe. The checker is a
// state machine without I/O and clock.
#ifndef GATEWAY_LAB_RULE_CHECKER_HPP_
#define GATEWAY_LAB_RULE_CHECKER_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/millis.hpp"

namespace gateway::lab {

using base::Millis;

// Number of violations by rule.
struct ViolationCounts {
  std::uint64_t ran_twice = 0;      // a request that is not idempotent was executed again
  std::uint64_t attempts_over = 0;  // a request was attempted more often than the settings allow
  std::uint64_t unknown = 0;        // an attempt of a request that no client sent
  std::uint64_t late_sends = 0;     // an attempt to a draining or removed host after the grace period
  std::uint64_t cold_falls = 0;     // a host was overloaded while it warmed up
  std::uint64_t forged = 0;         // a response that no host produced for the request
  std::uint64_t lost = 0;           // a request without a final response
  std::uint64_t crashed = 0;        // a gateway process ended unexpectedly or was not ready in time

  // Returns the counts by the names of their figures.
  std::map<std::string, std::uint64_t> ByName() const;
};

// Counts the rule violations of the gateways. The record of a request is removed some time after the request
// was sent, so that memory grows with the request rate and not with the length of the run. Times must not
// decrease. Must be used by one thread at a time.
class RuleChecker {
 public:
  // `drain_grace`: how long a gateway may still send to a draining host after it was notified of the drain.
  RuleChecker(int max_attempts, Millis drain_grace)
      : max_attempts_(max_attempts), drain_grace_(drain_grace) {}

  // Sets the seed of the marks in responses. Must be called before the first response.
  void SetSeed(std::uint64_t seed) { seed_ = seed; }

  // Called when a client has sent a request. `work` is the CPU time in ms that it costs a host.
  void OnRequestSent(Millis now, const std::string& id, bool idempotent, Millis work);

  // Called when an attempt has arrived at a host. `notified_at` is when its gateway was notified that the
  // host drains or is removed; negative if it was not.
  void OnAttempt(Millis now, const std::string& id, Millis notified_at);

  // Called when a host has begun to execute an attempt.
  void OnExecution(const std::string& id);

  // Called when a client has received a response with status 200.
  void OnResponse(const std::string& id, const std::string& body);

  void OnRequestLost(const std::string& id, const std::string& description);
  void OnHostOverloaded(const std::string& host);
  void OnGatewayCrashed(const std::string& description);

  // Returns the work of a request; empty if no client sent the request.
  std::optional<Millis> FindWork(const std::string& id) const;

  // Whether any attempt of the request has arrived at a host.
  bool HasArrived(const std::string& id) const;

  // The mark with which a host's response to this request begins. A gateway can't forge it without the seed.
  static std::string ResponseMark(const std::string& id, std::uint64_t seed);

  const ViolationCounts& violations() const { return violations_; }

  // Descriptions of the first few violations.
  const std::vector<std::string>& examples() const { return examples_; }

 private:
  struct RequestRecord {
    bool idempotent = true;
    Millis work = 0;
    int attempts = 0;
    int executions = 0;
  };

  void AddViolation(std::uint64_t& count, const std::string& description);
  void RemoveOldRequests(Millis now);

  const int max_attempts_;
  const Millis drain_grace_;
  std::uint64_t seed_ = 0;
  std::unordered_map<std::string, RequestRecord> requests_;
  std::vector<std::pair<Millis, std::string>> sent_;  // requests in the order in which they were sent
  std::size_t removed_count_ = 0;  // entries at the start of `sent_` that were removed from `requests_`
  ViolationCounts violations_;
  std::vector<std::string> examples_;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_RULE_CHECKER_HPP_
