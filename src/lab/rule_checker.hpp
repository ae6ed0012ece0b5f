// Checks the rules that no gateway may violate, from what hosts and clients see. A state machine without I/O
// and clock.
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

// Violations by rule.
struct ViolationCounts {
  std::uint64_t ran_twice = 0;      // a request that is not idempotent was executed again
  std::uint64_t attempts_over = 0;  // more attempts than the settings allow
  std::uint64_t unknown = 0;        // an attempt of a request that no client sent
  std::uint64_t late_sends = 0;     // an attempt to a host that drained or was removed, beyond the grace
  std::uint64_t cold_falls = 0;     // a host that warmed up was overloaded
  std::uint64_t forged = 0;         // a response that no host made for the request
  std::uint64_t lost = 0;           // a request without a final answer
  std::uint64_t crashed = 0;        // a gateway process ended though no fault ended it

  // By the names that results use.
  std::map<std::string, std::uint64_t> ByName() const;
};

// Forgets a request some time after it was sent, so that memory grows with the rate of requests and not with
// the length of the run. Times never run backwards. To be used in one thread at a time.
class RuleChecker {
 public:
  // `drain_grace`: how long after its notification a gateway may still send to a host that drains.
  RuleChecker(int max_attempts, Millis drain_grace)
      : max_attempts_(max_attempts), drain_grace_(drain_grace) {}

  // Of the marks that hosts write; to be called before the first response.
  void SetSeed(std::uint64_t seed) { seed_ = seed; }

  // A client has sent a request. `work` is what it costs a host, in ms.
  void OnRequestSent(Millis now, const std::string& id, bool idempotent, Millis work);

  // An attempt has arrived at a host. `notified_at` is when its gateway was notified that the host drains or
  // is removed; negative where it was not.
  void OnAttempt(Millis now, const std::string& id, Millis notified_at);

  // A host has begun to execute an attempt.
  void OnExecution(const std::string& id);

  // A client has received a response with status 200.
  void OnResponse(const std::string& id, const std::string& body);

  void OnRequestLost(const std::string& id, const std::string& description);
  void OnHostOverloaded(const std::string& host);
  void OnGatewayCrashed(const std::string& description);

  // The work that a request costs; nothing where no client sent it.
  std::optional<Millis> WorkOf(const std::string& id) const;

  // Whether any attempt of the request has arrived at a host.
  bool HasArrived(const std::string& id) const;

  // The mark at the start of a host's response to this request, which no gateway can make up.
  static std::string ResponseMark(const std::string& id, std::uint64_t seed);

  const ViolationCounts& violations() const { return violations_; }

  // Descriptions of the first violations.
  const std::vector<std::string>& examples() const { return examples_; }

 private:
  struct RequestRecord {
    bool idempotent = true;
    Millis work = 0;
    int attempts = 0;
    int executions = 0;
  };

  void AddViolation(std::uint64_t& count, const std::string& description);
  void ForgetOld(Millis now);

  const int max_attempts_;
  const Millis drain_grace_;
  std::uint64_t seed_ = 0;
  std::unordered_map<std::string, RequestRecord> requests_;
  std::vector<std::pair<Millis, std::string>> sent_;  // requests by the time at which they were sent
  std::size_t forgotten_ = 0;                         // of `sent_`, from its start
  ViolationCounts violations_;
  std::vector<std::string> examples_;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_RULE_CHECKER_HPP_
